"""Tests of claims of idempotency keys."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.error import base
from tests.quetzalsill_router.durable import harness, virtual


class RepeatTest(unittest.TestCase):
    """Two requests with the same idempotency key."""

    def test_concurrent_repeat_on_one_router(self):
        """Two claims of one key must not go into the same transaction.

        A request is sent twice within a millisecond. The conditions of a
        transaction are checked before its writes, so both claims would
        succeed and both requests would run.
        """

        async def scenario():
            cluster = harness.Cluster(['a'])
            await asyncio.sleep(1)
            router = cluster.routers['a']
            responses = [
                router.serve(harness.make_entry(name, key='k'))
                for name in ('order', 'again')
            ]
            await asyncio.sleep(20)
            self.assertEqual(cluster.runs('order') + cluster.runs('again'), 1)
            self.assertEqual(responses[0].request, responses[1].request)
            self.assertEqual(responses[0].answer, responses[1].answer)

        virtual.run(scenario)

    def test_answer_lost_after_the_write(self):
        """A claim whose response was lost is recognized as the router's own.

        The retry finds the key held by its own request. The router must then
        run the request instead of waiting for itself.
        """

        async def scenario():
            cluster = harness.Cluster(['a'])
            await asyncio.sleep(1)
            cluster.routers['a'].link.faults['claims'].append('lost')
            response = cluster.routers['a'].serve(
                harness.make_entry('order', key='k')
            )
            await asyncio.sleep(20)
            self.assertEqual(response.ran, base.Ran.YES)
            self.assertEqual(cluster.runs('order'), 1)

        virtual.run(scenario)

    def test_same_key_with_different_body(self):
        """A request that reuses a key with another body is refused, not run."""

        async def scenario():
            cluster = harness.Cluster(['a', 'b'])
            await asyncio.sleep(1)
            cluster.routers['a'].serve(harness.make_entry('order', key='k'))
            await asyncio.sleep(1)
            other = harness.make_entry('other', key='k', digest='e')
            response = cluster.routers['b'].serve(other)
            await asyncio.sleep(20)
            self.assertEqual(response.ran, base.Ran.NO)
            self.assertEqual(cluster.runs('other'), 0)

        virtual.run(scenario)

    def test_refused_key_is_free(self):
        """The key of a request that was refused as not run can be reused.

        The responses to the claim are lost, so the request is refused. The
        retry must be served even though the first claim reaches the table
        later.
        """

        async def scenario():
            cluster = harness.Cluster(['a', 'b'])
            await asyncio.sleep(1)
            cluster.routers['a'].link.faults['claims'].extend(['late'] * 3)
            first = cluster.routers['a'].serve(
                harness.make_entry('o1', key='k')
            )
            await asyncio.sleep(10)
            second = cluster.routers['b'].serve(
                harness.make_entry('o2', key='k')
            )
            await asyncio.sleep(20)
            self.assertEqual(first.ran, base.Ran.NO)
            self.assertEqual(second.ran, base.Ran.YES)
            self.assertEqual(cluster.runs('o1'), 0)

        virtual.run(scenario)


if __name__ == '__main__':
    unittest.main()
