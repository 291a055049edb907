"""What is over never looks like what was never seen."""

from __future__ import annotations

import unittest

from quetzalsill.wire import message
from quetzalsill_sidecar.attempt import tombstone


class TombstonesTest(unittest.TestCase):
    """Bounded by number and time."""

    def test_dropped_attempt_is_not_taken_for_one_never_seen(self):
        """An order is called "not run" hours after it was taken.

        Its router died with the answer, and no other was there to ask before
        the sidecar had dropped what it knew.
        """
        for drop in ('time', 'space'):
            with self.subTest(drop):
                now = [0.0]
                tombstones = tombstone.Tombstones(2, lambda now=now: now[0])
                for number in (3, 4, 5) if drop == 'space' else (3,):
                    name = f'entry-1/7/{number}'
                    tombstones.add(name, message.Withdrawn(name), 60.0)
                now[0] = 61.0 if drop == 'time' else 0.0
                tombstones.expire()
                self.assertEqual(tombstones.find('entry-1/7/3').ran, 'unknown')
                self.assertIsNone(tombstones.find('entry-1/7/6'))
                self.assertIsNone(tombstones.find('entry-2/7/3'))


if __name__ == '__main__':
    unittest.main()
