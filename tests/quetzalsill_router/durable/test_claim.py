"""Tests of claims of idempotency keys."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.error import base
from tests.quetzalsill_router.durable import harness, virtual


class RepeatTest(unittest.TestCase):
    """The same key comes twice."""

    def test_concurrent_repeat_on_one_router(self):
        """An app sends an order twice within a millisecond.

        Both claims go into one transaction. Its conditions are checked
        before its writes, so both would succeed and two trucks would go.
        """

        async def scenario():
            cluster = harness.Cluster(['a'])
            await asyncio.sleep(1)
            router = cluster.routers['a']
            response = [
                router.serve(harness.make_entry(name, key='k'))
                for name in ('order', 'again')
            ]
            await asyncio.sleep(20)
            self.assertEqual(cluster.runs('order') + cluster.runs('again'), 1)
            self.assertEqual(response[0].request, response[1].request)
            self.assertEqual(response[0].answer, response[1].answer)

        virtual.run(scenario)

    def test_answer_lost_after_the_write(self):
        """An order is claimed, but the store's answer to that is lost.

        The router repeats the claim and finds the key held. The holder is
        its own request, so it must go on instead of waiting for itself.
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
        """A key comes again with another body: refused, and not run."""

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
        """An order is refused as not run, so its repeat must be served.

        The table is down when the key is to be claimed: the order is
        refused. When the retailer sends it again, the key must be free even
        though the first claim may have reached the table after all.
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
