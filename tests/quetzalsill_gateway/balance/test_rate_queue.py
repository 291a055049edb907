"""Order of the calls that wait for a limited rate."""

from __future__ import annotations

import unittest

from quetzalsill_gateway.balance import rate_queue


class RateQueueTest(unittest.TestCase):
    """Calls of different urgency."""

    def test_the_most_urgent_goes_first_then_the_earliest(self):
        queue = rate_queue.RateQueue()
        late = queue.enter('s', 2)
        first, second = queue.enter('s', 0), queue.enter('s', 0)
        other = queue.enter('t', 1)
        found = [queue.ahead(one) for one in (late, first, second, other)]
        self.assertEqual(found, [2, 0, 1, 0])
        queue.leave(first)
        self.assertEqual(queue.ahead(second), 0)
        for one in (late, second, other):
            queue.leave(one)
        self.assertEqual(queue._waiting, {})


if __name__ == '__main__':
    unittest.main()
