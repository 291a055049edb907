"""When the full state, a delta or nothing is published."""

from __future__ import annotations

import dataclasses
import random
import unittest

from quetzalsill_gateway.balance import upstream_stats
from quetzalsill_gateway.fleet import publish_timing
from quetzalsill_gateway.fleet import usage as usage_lib
from quetzalsill_gateway.peers import delta, state

FEW = 4


def current(**usage):
    """Returns a state with the given tokens in use at each engine."""
    return state.State(
        'entry-1',
        0,
        0,
        {key: usage_lib.Usage(tokens, 0, 1) for key, tokens in usage.items()},
    )


class DeltaTrackerTest(unittest.TestCase):
    """States that one process publishes."""

    def setUp(self):
        self.tracker = delta.DeltaTracker('entry-1', 7)
        self.first = self.tracker.next_state(5.0, current(a=1, b=2), FEW)

    def test_full_state_comes_first_and_then_at_intervals(self):
        self.assertTrue(self.first.is_full)
        self.assertIsNone(self.tracker.next_state(5.1, current(a=1, b=2), FEW))
        again = self.tracker.next_state(
            5.0 + publish_timing.FULL_STATE_S, current(a=1, b=2), FEW
        )
        self.assertTrue(again.is_full)
        self.assertEqual(again.usage, self.first.usage)

    def test_delta_contains_only_changes(self):
        published = self.tracker.next_state(5.1, current(a=1, b=3, c=4), FEW)
        self.assertFalse(published.is_full)
        self.assertEqual(set(published.usage), {'b', 'c'})
        published = self.tracker.next_state(5.2, current(a=1, c=4), FEW)
        self.assertEqual(published.usage, {'b': usage_lib.NO_USAGE})

    def test_leaving_keys_are_sent_once_and_with_each_full_state(self):
        """Two dozen engines leave, each with a name of 27 characters.

        Repeated in every datagram to 300 gateways, the names were most of the
        traffic that a slow link received.
        """
        leaving = dataclasses.replace(current(a=1), leaving=('x', 'y'))
        published = self.tracker.next_state(5.1, leaving, FEW)
        self.assertEqual(published.leaving, ('x', 'y'))
        more = dataclasses.replace(current(a=2), leaving=('x', 'y', 'z'))
        self.assertEqual(
            self.tracker.next_state(5.2, more, FEW).leaving, ('z',)
        )
        full = self.tracker.next_state(
            5.2 + publish_timing.FULL_STATE_S, more, FEW
        )
        self.assertEqual(full.leaving, ('x', 'y', 'z'))

    def test_sequence_numbers_increase(self):
        numbers = [self.first.sequence]
        numbers.append(self.tracker.full_state().sequence)
        numbers.append(self.tracker.next_state(5.1, current(a=9), FEW).sequence)
        numbers.append(self.tracker.full_state().sequence)
        self.assertEqual(numbers, sorted(set(numbers)))

    def test_receiver_state_matches_after_each_full_state(self):
        """Runs start and end at random, and some deltas are lost.

        After each full state, the receiver has the sender's usage.
        """
        rng = random.Random(3)
        received = upstream_stats.StatsTable()
        usage = {}
        now = 5.0
        for _ in range(400):
            now += 0.05
            key = rng.choice('abcdef')
            usage[key] = rng.randrange(0, 5)
            in_use = {name: tokens for name, tokens in usage.items() if tokens}
            published = self.tracker.next_state(now, current(**in_use), FEW)
            if published is None or (
                not published.is_full and rng.random() < 0.2
            ):
                continue
            if published.is_full:
                received.replace_peer_loads('entry-1', published.usage)
                for name in 'abcdef':
                    self.assertEqual(
                        received._get_or_create(name).reserved_tokens,
                        in_use.get(name, 0),
                    )
            else:
                received.update_peer_loads('entry-1', published.usage)


if __name__ == '__main__':
    unittest.main()
