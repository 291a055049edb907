"""What is logged and counted of the choice of an upstream."""

from __future__ import annotations

import types
import unittest
from unittest import mock

from quetzalsill.telemetry import metric
from quetzalsill_gateway.balance import choice_log, upstream_stats
from quetzalsill_gateway.fleet import upstream

COUNTER = 'quetzalsill_gateway_pace_misses_total{kind="test"}'


def pace_misses():
    """Returns the value of the counter."""
    for line in metric.render().decode().splitlines():
        if line.startswith(COUNTER):
            return float(line.rpartition(' ')[2])
    return 0.0


class PaceMissTest(unittest.IsolatedAsyncioTestCase):
    """A generation that was sent to an engine that is too slow for it."""

    async def test_misses_are_counted(self):
        """Operators don't see that too few engines are fast enough."""
        found = upstream.Upstream('e', 's', ('10.0.0.1', 1), 'z')
        core = mock.Mock(stats_table=upstream_stats.StatsTable())
        core.upstreams.available.return_value = [found]
        core.holder.age_s = core.upstreams.age_s = 0.0
        route = types.SimpleNamespace(
            name='r', kind=types.SimpleNamespace(value='test')
        )
        for pace_miss, count in ((False, 0.0), (True, 1.0), (True, 2.0)):
            req = types.SimpleNamespace(
                id_text='i',
                route=route,
                late_probability=0.4,
                pace_miss=pace_miss,
            )
            with mock.patch('quetzalsill_gateway.event.note') as note:
                choice_log.log_choice(core, req, found, 4000)
            self.assertEqual(pace_misses(), count)
            logged = note.call_args.args[0]
            self.assertEqual(logged.pace_miss, pace_miss)
            self.assertEqual(logged.late_probability, 0.4)


if __name__ == '__main__':
    unittest.main()
