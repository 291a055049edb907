"""Order of queued requests."""

from __future__ import annotations

import unittest

from quetzalsill_gateway.balance import queue_entry


def entry(sequence, late_at_s, tag=None, first_at_s=100.0):
    """Returns an entry; without a tag, shares are disabled."""
    return queue_entry.QueueEntry(
        1,
        0,
        sequence,
        late_at_s,
        1_000,
        first_at_s=first_at_s,
        start_tag=None if tag is None else lambda: tag,
    )


class QueueEntryTest(unittest.TestCase):
    """Keys and precedence at loop time 0."""

    def test_shares_go_behind_starving_requests_and_before_lateness(self):
        """A merge of two orders could drop one of them."""
        found = [
            entry(0, 2.0, 5.0, first_at_s=0.0),
            entry(4, 9.0, 1.0),
            entry(2, 3.0, 2.0),
            entry(3, 4.0, 2.0),
            entry(1, 1.0, 7.0),
        ]
        ordered = sorted(found, key=lambda one: one.sort_key(0.0))
        self.assertEqual(ordered, found)

    def test_only_a_share_counts_as_yielding(self):
        """An order by lateness was logged as held back for a share."""
        later = entry(1, 5.0, 1.0)
        self.assertTrue(entry(0, 4.0, 2.0).yields_to(later, 0.0))
        for own, other in (
            (entry(0, 6.0), entry(1, 5.0)),
            (entry(0, 6.0, 1.0), later),
            (entry(0, 6.0, 2.0), later),
            (entry(0, 4.0, 0.5), later),
            (entry(0, 4.0, 2.0), entry(1, 5.0, 1.0, first_at_s=0.0)),
        ):
            with self.subTest(own=own, other=other):
                self.assertFalse(own.yields_to(other, 0.0))
