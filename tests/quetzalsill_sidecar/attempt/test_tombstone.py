"""Ended attempts stay distinguishable from attempts never seen."""

from __future__ import annotations

import unittest

from quetzalsill.wire import message
from quetzalsill_sidecar.attempt import tombstone


class TombstonesTest(unittest.TestCase):
    """Tombstones dropped by age or number still count as seen."""

    def test_dropped_attempt_is_not_taken_for_one_never_seen(self):
        """An attempt that ran is reported as "not run" hours later.

        Its router died with the response, and another router asked only
        after the sidecar had dropped the tombstone.
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
