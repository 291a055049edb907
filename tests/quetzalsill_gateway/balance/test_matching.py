"""Matching of a request to engines that are fast enough for its gaps."""

from __future__ import annotations

import types
import unittest
from unittest import mock

from quetzalsill_gateway import routing_table
from quetzalsill_gateway.balance import matching, pace, upstream_stats
from quetzalsill_gateway.fleet import engine_load, engine_speed, upstream
from quetzalsill_gateway.stream import migration

OBJECTIVE_S = 4.0
MAX_GAP_S = 0.18
RESERVATION = upstream_stats.Reservation(3000, 3800)


class MatcherTest(unittest.TestCase):
    """Three fast engines, two slow ones and one that has just joined."""

    def setUp(self):
        self.now = 1000.0
        loop = types.SimpleNamespace(time=lambda: self.now)
        patched = mock.patch('asyncio.get_running_loop', return_value=loop)
        patched.start()
        self.addCleanup(patched.stop)
        self.table = upstream_stats.StatsTable()
        self.speeds = self.table.engine_speeds
        self.fast = [self.engine(f'fast-{n}') for n in range(3)]
        self.slow = [self.engine(f'slow-{n}') for n in range(2)]
        self.new = self.engine('new')
        self.req = types.SimpleNamespace(
            service=types.SimpleNamespace(name='s'),
            route=types.SimpleNamespace(
                max_gap_s=MAX_GAP_S, objective_s=OBJECTIVE_S
            ),
            widest_gap_s=0.0,
        )

    def engine(self, name):
        return upstream.Upstream(name, 's', ('10.0.0.1', 1), 'z')

    def observe(self, fast_s, slow_s):
        speeds = tuple(
            engine_speed.Speed(one.key, event_s, 120.0 / event_s, 40, self.now)
            for engines, event_s in ((self.fast, fast_s), (self.slow, slow_s))
            for one in engines
        )
        # What delays events is kept only for services with an own sample.
        self.speeds.record_event(self.fast[0], fast_s, 0, is_prefilling=False)
        seen = engine_load.Interference(
            engine_load.Noise(0.1, 2.0, 0.25), prefill_share=0.4, samples=300
        )
        self.speeds.receive(
            engine_speed.SpeedUpdate(speeds, 'peer', {'s': seen})
        )
        self.speeds.identify([*self.fast, *self.slow, self.new])
        self.now += 1.0

    def matcher(self):
        late_at_s = self.now + 0.75 * OBJECTIVE_S
        return matching.Matcher(self.table, self.req, RESERVATION, late_at_s)

    def test_waits_while_its_first_event_can_be_in_time(self):
        """A generation waits for a fast engine until it is late."""
        self.observe(0.03, 0.1)
        matcher = self.matcher()
        everyone = [*self.slow, *self.fast]
        self.assertEqual(matcher.match(everyone, self.now)[0], self.fast)
        self.assertEqual(matcher.match(self.slow, self.now)[0], [])
        own_s = self.table.prefill_s(RESERVATION.prompt_tokens)
        self.now += 0.75 * OBJECTIVE_S - own_s - matching.MATCH_MARGIN_S
        found, assessments = matcher.match(self.slow, self.now)
        self.assertEqual(found, self.slow)
        for one in found:
            self.assertFalse(assessments[one.key].is_match)

    def test_late_request_needs_no_fast_engine(self):
        """A request that is late takes a fast engine from one that is not."""
        self.observe(0.03, 0.2)
        matcher = self.matcher()
        matcher.match(self.slow, self.now)
        self.now += 0.76 * OBJECTIVE_S
        found, assessments = matcher.match(self.slow, self.now)
        self.assertEqual(found, self.slow)
        self.assertTrue(all(one.is_match for one in assessments.values()))

    def test_no_engine_is_fast_enough(self):
        """All generations wait for an engine that does not exist."""
        self.observe(0.2, 0.4)
        found, _ = self.matcher().match(self.slow, self.now)
        self.assertEqual(found, self.slow)

    def test_engines_that_are_alike(self):
        """Nothing may change where no engine is better than another."""
        self.observe(0.2, 0.21)
        self.assertFalse(self.speeds.differ('s'))
        self.assertFalse(pace.is_needed(self.speeds, 's', MAX_GAP_S))
        self.assertEqual(
            self.matcher().match(self.slow, self.now), (self.slow, {})
        )

    def test_route_without_a_limit(self):
        self.observe(0.03, 0.2)
        self.req.route.max_gap_s = None
        self.assertEqual(
            self.matcher().match(self.slow, self.now), (self.slow, {})
        )

    def test_no_estimate_at_all(self):
        """A gateway that has just started sends nothing."""
        self.assertEqual(
            self.matcher().match(self.slow, self.now), (self.slow, {})
        )

    def test_engine_that_has_just_joined(self):
        """It is a mixture: better than a slow engine, worse than a fast one."""
        self.observe(0.03, 0.1)
        assessments = self.matcher().assess(
            [self.fast[0], self.new, self.slow[0]], self.now
        )
        costs = [one.cost for one in assessments.values()]
        self.assertEqual(sorted(costs), costs)
        self.assertLess(costs[0], costs[1])
        self.assertLess(costs[1], costs[2])

    def test_engine_that_was_slow_once(self):
        """It is kept without a long generation for ever."""
        self.observe(0.03, 0.1)
        self.assertEqual(self.matcher().match(self.slow, self.now)[0], [])
        self.now += 10 * engine_speed.HALF_LIFE_S
        found, _ = self.matcher().match(self.slow, self.now)
        self.assertEqual(found, self.slow)

    def test_destination_of_a_move(self):
        """A run that is on time moves to an engine that makes it late."""
        self.observe(0.03, 0.1)
        core = types.SimpleNamespace(
            stats_table=self.table,
            engine_speeds=self.speeds,
            live=mock.Mock(),
            quota=mock.Mock(),
            upstreams=mock.Mock(),
        )
        core.quota.allows.return_value = True
        core.upstreams.available.return_value = [*self.slow, *self.fast]
        self.req.regions, self.req.request_id = None, b'r'
        stream = types.SimpleNamespace(
            exchange=self.req, reservation=RESERVATION, origin=None
        )
        leaving = mock.Mock()
        leaving.upstream = self.engine('leaving')
        leaving.spec = routing_table.Engine(24, 30_000, 18432.0, 2700.0)
        leaving.leaves_at_s, leaving.move_s.return_value = self.now + 9.0, 0.1
        moves = migration.Migration(core)
        order = moves._destinations(stream, leaving)
        self.assertEqual({one.id for one in order}, {o.id for o in self.fast})
        self.req.widest_gap_s = MAX_GAP_S + 0.01
        order = moves._destinations(stream, leaving)
        self.assertNotEqual(
            {one.id for one in order},
            {one.id for one in self.fast},
            'a run that is late already can use a slow engine',
        )


if __name__ == '__main__':
    unittest.main()
