"""The table of statistics while upstreams come and go."""

from __future__ import annotations

import random
import unittest

from quetzalsill_gateway.balance import upstream_stats
from quetzalsill_gateway.fleet import upstream, usage

TOKEN_S = 0.0025


class StatsTableTest(unittest.TestCase):
    """Engines are replaced every few seconds for days."""

    def test_upstreams_that_are_gone_are_dropped(self):
        """Statistics without own streams were kept until memory ran out."""
        table = upstream_stats.StatsTable()
        held = usage.Usage(100, 0, 1)
        for number in range(50):
            one = upstream.Upstream(f'u-{number}', 's', ('h', 1), 'z')
            table.of(one)
            for entry in (held, usage.NO_USAGE):
                table.update_peer_loads('entry-2', {one.key: entry})
        used, idle = (
            upstream.Upstream(name, 's', ('h', 1), 'z') for name in 'ab'
        )
        table.of(idle)
        table.update_peer_loads('entry-2', {used.key: held})
        table.expire([idle])
        self.assertEqual(
            {key for key, _ in table.items()}, {used.key, idle.key}
        )
        table.replace_peer_loads('entry-2', {used.key: usage.NO_USAGE})
        table.expire([])
        self.assertEqual((len(table.items()), len(table._keys_by_peer)), (0, 0))

    def test_the_longest_duration_is_not_misled_by_hints(self):
        """Guards against a bound below the true duration after high hints."""
        table, rng = upstream_stats.StatsTable(), random.Random(63)
        for _ in range(500):
            tokens = min(1200, max(4, round(rng.lognormvariate(5.4, 0.9))))
            hint = round(tokens * rng.lognormvariate(0.0, 1.2))
            took_s = tokens * TOKEN_S
            expected = min(1200, int(1.3 * hint))
            table.record_generation(
                upstream_stats.Reservation(0, expected), took_s
            )
            table.record_output(hint, took_s)
        true_s = 1200 * TOKEN_S
        self.assertGreater(table.longest_s(0, 1200), true_s)
        self.assertLess(table.longest_s(0, 1200), 4 * true_s)


if __name__ == '__main__':
    unittest.main()
