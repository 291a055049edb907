"""Tests of the end of what was kept."""

from __future__ import annotations

import asyncio
import dataclasses
import unittest

from quetzalsill.error import request as request_error
from tests.quetzalsill_router.durable import harness, virtual

RETENTION_S = 200.0
CFG = dataclasses.replace(harness.CFG, retention_s=RETENTION_S)


def rows(cluster, table):
    return [row.key for row in cluster.platform.rows.scan(table)]


class ExpiryTest(unittest.TestCase):
    """Requests older than the retention."""

    def test_settled_requests_are_erased(self):
        """Answers, keys and index rows go, also those of a dead router."""

        async def scenario():
            cluster = harness.Cluster(['a', 'b'], cfg=CFG)
            await asyncio.sleep(1)
            entries = [
                harness.make_entry(f'r{node}{n}', key=f'k{node}{n}')
                for node in ('a', 'b')
                for n in range(20)
            ]
            for n, entry in enumerate(entries):
                cluster.routers['ab'[n // 20]].serve(entry)
                await asyncio.sleep(0.1)
            await asyncio.sleep(20)
            cluster.routers['a'].kill()
            await asyncio.sleep(RETENTION_S / 2)
            answers = cluster.routers['b'].state.answers
            for entry in entries:
                stored = await answers.get(harness.ACCOUNT, entry.request)
                self.assertEqual(
                    stored.answer.events[0].split()[0], entry.payload
                )
            await asyncio.sleep(2 * RETENTION_S)
            self.assertEqual(rows(cluster, 'routers'), ['b.1.1'])
            self.assertEqual(rows(cluster, 'claims'), [])
            self.assertEqual(rows(cluster, 'answers'), [])
            (seal,) = cluster.platform.objects
            self.assertTrue(seal.startswith('journal/a.1.1/'))
            with self.assertRaises(request_error.NotFoundError):
                await answers.get(harness.ACCOUNT, entries[0].request)

        virtual.run(scenario)

    def test_unsettled_request_is_kept(self):
        """A plan that waits longer than the retention is still recovered.

        Its record lies far behind the end of the log, with much settled
        since, when its router dies. Erasing its segment would lose it.
        """

        async def scenario():
            cluster = harness.Cluster(['a', 'b'], cfg=CFG)
            await asyncio.sleep(1)
            waiting = harness.make_entry('plan')
            await cluster.routers['a'].state.journal.accept(waiting)
            for n in range(200):
                cluster.routers['a'].serve(harness.make_entry(f'r{n}'))
                await asyncio.sleep(3)
            cluster.routers['a'].kill()
            answer = (
                await cluster.routers['b'].state.answers.wait(
                    harness.ACCOUNT, waiting.request, 60
                )
            ).answer
            self.assertEqual(answer.events, [b'plan planner-0 1'])

        virtual.run(scenario)


if __name__ == '__main__':
    unittest.main()
