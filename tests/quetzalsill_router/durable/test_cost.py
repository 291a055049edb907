"""Counts the calls to the platform, at the pace of 480 routers."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import unittest

from tests.quetzalsill_router.durable import harness, virtual

ROUTERS = 480
SPAN_S = 300.0
TAIL_S = 60.0
# One router on its part of the budget keeps the pace that each of 480 has.
CFG = dataclasses.replace(
    harness.CFG,
    heartbeat_s=3.0,
    retention_s=60.0,
    writes_per_s=harness.CFG.writes_per_s / ROUTERS,
)
READS = ('get', 'scan', 'read')
WRITES = ('put', 'delete', 'transact')


async def calls_per_s(requests_per_s, keyed):
    """Counts calls a second by kind while requests are served."""
    cluster = harness.Cluster(['a'], cfg=CFG)
    await asyncio.sleep(SPAN_S)
    cluster.platform.counts.clear()
    for n in range(int(SPAN_S * requests_per_s)):
        key = f'k{n}' if keyed else ''
        cluster.routers['a'].serve(harness.make_entry(f'r{n}', key=key))
        await asyncio.sleep(1 / requests_per_s)
    counts = collections.Counter(
        {kind: n / SPAN_S for kind, n in cluster.platform.counts.items()}
    )
    await asyncio.sleep(TAIL_S)
    return counts, all(response.answer for response in cluster.responses)


def total(counts, kinds):
    return sum(counts[kind] for kind in kinds)


class CostTest(unittest.TestCase):
    """Calls of one of 480 routers."""

    def test_writes_do_not_grow_with_requests(self):
        """Ten times the requests cost no more writes, within the budget."""
        few, few_answered = virtual.run(calls_per_s, 1, True)
        many, many_answered = virtual.run(calls_per_s, 10, True)
        self.assertTrue(few_answered and many_answered)
        self.assertLess(total(many, WRITES), 1.3 * total(few, WRITES))
        for counts in (few, many):
            self.assertLess(total(counts, WRITES), CFG.writes_per_s)


if __name__ == '__main__':
    unittest.main()
