"""Which runs of a leaving engine are copied in time."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway import dialect, routing_table
from quetzalsill_gateway.stream import schedule

ENGINE = routing_table.Engine(token_bytes=18432.0, link_mbps=2700.0)
RUNS = st.lists(
    st.builds(
        dialect.Run,
        st.uuids().map(str),
        st.integers(0, 9000),
        st.integers(0, 500),
    ),
    max_size=12,
)


class ScheduleTest(unittest.TestCase):
    """Gateways that read the same report must come to the same order."""

    @settings(derandomize=True, deadline=None)
    @given(RUNS, st.randoms())
    def test_the_order_is_the_same_for_all(self, runs, random):
        shuffled = list(runs)
        random.shuffle(shuffled)
        first = schedule.turns(runs, ENGINE)
        self.assertEqual(first, schedule.turns(shuffled, ENGINE))

    @settings(derandomize=True, deadline=None)
    @given(RUNS)
    def test_copies_follow_one_another_the_smallest_first(self, runs):
        turns = schedule.turns(runs, ENGINE)
        by_size = sorted(runs, key=lambda run: run.tokens)
        times = [turns[run.request_id].end_s for run in by_size]
        ends = sorted(turn.end_s for turn in turns.values())
        self.assertEqual(sorted(times), ends)
        starts = sorted(turn.start_s for turn in turns.values())
        self.assertEqual(starts, [0.0, *ends][: len(runs)])
        tokens = sum(run.tokens for run in runs)
        least_s = tokens * 18432 * 8 / 2.7e9
        self.assertGreaterEqual(max(times, default=0.0), least_s)


if __name__ == '__main__':
    unittest.main()
