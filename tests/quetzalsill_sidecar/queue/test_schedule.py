"""Expected wait of the queue."""

from __future__ import annotations

import unittest

from quetzalsill_sidecar.queue import (
    admission_baseline,
    order_fifo,
    policy,
    schedule,
)

SERVICE_S = 5.0
RANK = 9


class ExpectedWaitTest(unittest.TestCase):
    """A wait is expected only if admission held something back."""

    def setUp(self):
        self.now = 0.0
        self.queue = schedule.Schedule(
            order_fifo.FifoOrder(),
            admission_baseline.admit_all,
            max_running=4,
            clock=lambda: self.now,
        )

    def push(self, *names):
        for name in names:
            self.queue.push(policy.Demand(attempt=name))

    def serve_one(self):
        self.push('first')
        self.assertEqual(list(self.queue.start_admitted()), ['first'])
        self.now += SERVICE_S
        self.queue.release('first', whole=True)

    def test_burst_on_an_idle_engine_is_told_no_wait(self):
        """Requests are refused for a long wait although the engine is idle.

        One response has taken 5 s. Four requests arrive within one tick,
        before any was offered to the engine, and the wait of the last is
        computed from a queue of three that nothing holds back.
        """
        self.serve_one()
        self.push('a', 'b', 'c', 'd')
        self.assertEqual(self.queue.expected_wait_s(RANK), 0.0)
        self.assertEqual(len(list(self.queue.start_admitted())), 4)

    def test_full_engine_is_told_by_service_time(self):
        self.serve_one()
        self.push('a', 'b', 'c', 'd', 'e', 'f')
        self.assertEqual(len(list(self.queue.start_admitted())), 4)
        wait_s = self.queue.expected_wait_s(RANK)
        self.assertAlmostEqual(wait_s, 2 * SERVICE_S / 4)


if __name__ == '__main__':
    unittest.main()
