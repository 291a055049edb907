"""What is told: the whole, what has changed, or nothing."""

from __future__ import annotations

import dataclasses
import random
import unittest

from quetzalsill_gateway.balance import upstream_stats
from quetzalsill_gateway.fleet import publish_timing
from quetzalsill_gateway.fleet import usage as usage_lib
from quetzalsill_gateway.peers import delta, state

FEW = 4


def current(**held):
    """Returns a state in which so many tokens are held at engines."""
    return state.State(
        'entry-1',
        0,
        0,
        {key: usage_lib.Usage(tokens, 0, 1) for key, tokens in held.items()},
    )


class DeltaTrackerTest(unittest.TestCase):
    """One process that tells, and one that hears."""

    def setUp(self):
        self.tracker = delta.DeltaTracker('entry-1', 7)
        self.first = self.tracker.next_state(5.0, current(a=1, b=2), FEW)

    def test_the_whole_comes_first_and_then_at_intervals(self):
        self.assertTrue(self.first.is_full)
        self.assertIsNone(self.tracker.next_state(5.1, current(a=1, b=2), FEW))
        again = self.tracker.next_state(
            5.0 + publish_timing.FULL_STATE_S, current(a=1, b=2), FEW
        )
        self.assertTrue(again.is_full)
        self.assertEqual(again.usage, self.first.usage)

    def test_a_change_tells_only_what_is_new(self):
        told = self.tracker.next_state(5.1, current(a=1, b=3, c=4), FEW)
        self.assertFalse(told.is_full)
        self.assertEqual(set(told.usage), {'b', 'c'})
        told = self.tracker.next_state(5.2, current(a=1, c=4), FEW)
        self.assertEqual(told.usage, {'b': usage_lib.NO_USAGE})

    def test_who_leaves_is_told_once_and_with_the_whole(self):
        """Two dozen engines leave, and each has a name of 27 letters.

        In every datagram to 300 gateways they were most of what a thin link
        took in.
        """
        leaving = dataclasses.replace(current(a=1), leaving=('x', 'y'))
        told = self.tracker.next_state(5.1, leaving, FEW)
        self.assertEqual(told.leaving, ('x', 'y'))
        more = dataclasses.replace(current(a=2), leaving=('x', 'y', 'z'))
        self.assertEqual(
            self.tracker.next_state(5.2, more, FEW).leaving, ('z',)
        )
        whole = self.tracker.next_state(
            5.2 + publish_timing.FULL_STATE_S, more, FEW
        )
        self.assertEqual(whole.leaving, ('x', 'y', 'z'))

    def test_numbers_grow_with_all_that_is_told(self):
        numbers = [self.first.sequence]
        numbers.append(self.tracker.full_state().sequence)
        numbers.append(self.tracker.next_state(5.1, current(a=9), FEW).sequence)
        numbers.append(self.tracker.full_state().sequence)
        self.assertEqual(numbers, sorted(set(numbers)))

    def test_who_hears_every_change_knows_the_whole(self):
        """Runs begin and end at random; some datagrams are lost.

        With every whole, at the latest, the hearer knows what the teller holds.
        """
        rng = random.Random(3)
        heard = upstream_stats.StatsTable()
        held = {}
        now = 5.0
        for _ in range(400):
            now += 0.05
            key = rng.choice('abcdef')
            held[key] = rng.randrange(0, 5)
            there = {name: tokens for name, tokens in held.items() if tokens}
            told = self.tracker.next_state(now, current(**there), FEW)
            if told is None or (not told.is_full and rng.random() < 0.2):
                continue
            if told.is_full:
                heard.replace_peer_loads('entry-1', told.usage)
                for name in 'abcdef':
                    self.assertEqual(
                        heard._get_or_create(name).reserved_tokens,
                        there.get(name, 0),
                    )
            else:
                heard.update_peer_loads('entry-1', told.usage)


if __name__ == '__main__':
    unittest.main()
