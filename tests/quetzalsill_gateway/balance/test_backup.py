"""Tests of the choice of the engine that backs up a run."""

from __future__ import annotations

import dataclasses
import unittest

from quetzalsill_gateway import routing_table
from quetzalsill_gateway.balance import backup, upstream_stats
from quetzalsill_gateway.fleet import upstream

ENGINE = routing_table.Engine(24, 30_000, 18432.0, 2700.0, can_back_up=True)


class DestinationTest(unittest.TestCase):
    """One engine with a run, and the engines of the membership."""

    def test_an_engine_is_no_backup_of_its_own(self):
        """An engine is never asked to back up its own run.

        If an engine's entry lapses and is written again, the run's engine and
        the one in the membership are two objects of the same incarnation.
        Compared by identity, the engine was chosen as its own backup, and the
        run was lost with it.
        """
        source = upstream.Upstream(
            'e-1', 'writers', ('10.0.0.1', 1), 'z', incarnation=7
        )
        entered_again = dataclasses.replace(source)
        found = backup.destination(
            [entered_again],
            upstream_stats.StatsTable(),
            source,
            ENGINE,
            b'r',
            1000,
        )
        self.assertIsNone(found)


if __name__ == '__main__':
    unittest.main()
