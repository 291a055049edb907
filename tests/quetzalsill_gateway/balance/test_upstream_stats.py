"""The table of statistics while upstreams come and go."""

from __future__ import annotations

import unittest

from quetzalsill_gateway.balance import upstream_stats
from quetzalsill_gateway.fleet import upstream, usage


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


if __name__ == '__main__':
    unittest.main()
