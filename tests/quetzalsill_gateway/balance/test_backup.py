"""Which engine keeps a copy of a run's memory."""

from __future__ import annotations

import dataclasses
import unittest

from quetzalsill_gateway import routing_table
from quetzalsill_gateway.balance import backup, upstream_stats
from quetzalsill_gateway.fleet import upstream

ENGINE = routing_table.Engine(24, 30_000, 18432.0, 2700.0, can_back_up=True)


class DestinationTest(unittest.TestCase):
    """One engine with a run, and what the source of membership names."""

    def test_an_engine_is_no_backup_of_its_own(self):
        """A plan is lost with its engine although it was to have a copy.

        The engine's entry lapsed and was written again, so that the run's
        engine and the one that stands in the table are two objects of the same
        start. The engine was asked to keep its copy itself.
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
