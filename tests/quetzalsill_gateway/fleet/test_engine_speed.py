"""Estimated speeds of engines, as one gateway and its peers know them."""

from __future__ import annotations

import contextlib
import math
import random
import types
import unittest
from unittest import mock

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway import error
from quetzalsill_gateway.balance import upstream_stats
from quetzalsill_gateway.fleet import engine_load, engine_speed, upstream
from quetzalsill_gateway.peers import frame, update_codec

EVENT_S = 0.04
FACTORS = (0.6, 1.0, 1.6)
SLOWDOWN_S = 0.3
SLOWDOWN_SHARE = 0.15


class EngineSpeedsTest(unittest.TestCase):
    """Engines of one service; peers' updates arrive when the test says so."""

    def setUp(self):
        self.now = 1000.0
        loop = types.SimpleNamespace(time=lambda: self.now)
        patched = mock.patch('asyncio.get_running_loop', return_value=loop)
        patched.start()
        self.addCleanup(patched.stop)
        self.engines = [
            upstream.Upstream(f'e-{n}', 's', ('10.0.0.1', n), 'z')
            for n in range(len(FACTORS))
        ]
        self.new = upstream.Upstream('new', 's', ('10.0.0.1', 9), 'z')
        self.stats_table = upstream_stats.StatsTable()
        self.speeds = self.stats_table.engine_speeds
        self.announced = []
        self.speeds.set_announcer(self.announced.append)

    def run_load(self, samples, seed=1):
        """Takes samples of each engine at a load that changes slowly."""
        rng = random.Random(seed)
        ends_s = [0.0] * len(FACTORS)
        runs = 3
        pause_s = SLOWDOWN_S / SLOWDOWN_SHARE - SLOWDOWN_S
        for _ in range(samples):
            self.now += 0.1
            runs = min(14, max(0, runs + rng.choice((-1, 0, 1))))
            for number, factor in enumerate(FACTORS):
                if self.now > ends_s[number] and rng.random() < 0.1 / pause_s:
                    ends_s[number] = self.now + SLOWDOWN_S
                is_prefilling = rng.random() < 0.25
                gap_s = EVENT_S * factor * (1 + 0.02 * runs)
                gap_s *= 2.4 if is_prefilling else 1.0
                gap_s *= 2.5 if self.now < ends_s[number] else 1.0
                self.speeds.record_event(
                    self.engines[number],
                    gap_s * rng.uniform(0.95, 1.05),
                    runs,
                    is_prefilling=is_prefilling,
                )

    def receive(self, node, key, event_s=0.0, per_s=0.0, samples=40, age_s=0.0):
        speed = engine_speed.Speed(
            key, event_s, per_s, samples, self.now - age_s
        )
        self.speeds.receive(engine_speed.SpeedUpdate((speed,), node))
        self.speeds.identify([*self.engines, self.new])

    def receive_three(self):
        for one, factor in zip(self.engines, FACTORS, strict=True):
            self.receive('peer', one.key, EVENT_S * factor, 7000 / factor)

    def test_it_converges_in_spite_of_slowdowns(self):
        """A short slowdown makes an engine count as slow."""
        for seed in range(10):
            with self.subTest(seed=seed):
                self.setUp()
                self.run_load(40, seed)
                self.now += 1.0
                for one, factor in zip(self.engines, FACTORS, strict=True):
                    self.assertAlmostEqual(
                        self.speeds.slowness(one) / factor, 1.0, delta=0.1
                    )

    def test_noise_and_load_are_found(self):
        """Slowdowns and prefills are not told apart from slow engines."""
        self.run_load(400)
        noise = self.speeds.noise('s')
        self.assertAlmostEqual(noise.share, SLOWDOWN_SHARE, delta=0.05)
        self.assertAlmostEqual(noise.factor, 2.5, delta=0.4)
        self.assertAlmostEqual(
            noise.onsets_per_s, SLOWDOWN_SHARE / SLOWDOWN_S, delta=0.2
        )
        self.assertAlmostEqual(self.speeds.prefill_share('s'), 0.25, delta=0.1)
        quiet_s, beside_s = (
            self.speeds.pause_s(self.engines[1], 2, is_prefilling=value)
            for value in (False, True)
        )
        self.assertAlmostEqual(beside_s / quiet_s, 2.4, delta=0.24)

    def test_before_any_sample(self):
        self.assertIsNone(self.speeds.event_s(self.new))
        self.assertIsNone(self.speeds.prefill_per_s(self.new))
        self.assertIsNone(self.speeds.pause_s(self.new, 3, is_prefilling=True))
        self.assertEqual(self.speeds.slowness(self.new), 1.0)
        self.assertEqual(self.speeds.noise('s'), engine_speed.Noise())
        self.receive('peer', 'e-0', EVENT_S)
        self.assertEqual(
            self.speeds.pause_s(self.engines[0], 3, is_prefilling=True),
            self.speeds.pause_s(self.engines[0], 3, is_prefilling=False) * 2,
        )

    def test_an_engine_that_has_just_joined(self):
        """A new engine counts as fast because nothing is known of it."""
        self.receive_three()
        self.assertFalse(self.speeds.is_known(self.new))
        self.assertAlmostEqual(self.speeds.event_s(self.new), EVENT_S)
        self.assertAlmostEqual(
            self.speeds.prefill_per_s(self.new), 7000 / FACTORS[-1]
        )

    def test_one_value_is_derived_from_the_other(self):
        self.receive_three()
        self.receive('peer', self.new.key, 0.0, 3500)
        self.assertAlmostEqual(
            self.speeds.event_s(self.new), 2 * EVENT_S, delta=0.01 * EVENT_S
        )

    def test_an_estimate_loses_weight_with_age(self):
        """An engine that was slow once never gets work again."""
        for one, factor in zip(self.engines, FACTORS, strict=True):
            self.receive('peer', one.key, EVENT_S * factor)
        self.assertAlmostEqual(self.speeds.slowness(self.engines[2]), 1.6)
        self.now += 30.0
        self.assertAlmostEqual(self.speeds.slowness(self.engines[2]), 1.6**0.5)
        self.now += 600.0
        self.assertAlmostEqual(self.speeds.slowness(self.engines[2]), 1.0, 4)

    def test_estimates_of_peers_are_weighted_by_samples(self):
        self.receive('one', 'e-0', 0.05, samples=60)
        self.receive('two', 'e-0', 0.1, samples=20)
        self.assertAlmostEqual(
            self.speeds.event_s(self.engines[0]), 0.05 * 2**0.25
        )
        self.receive('two', 'e-0', 0.05, samples=20)
        self.now += 1.0
        self.assertAlmostEqual(self.speeds.event_s(self.engines[0]), 0.05)

    def test_number_of_announcements_is_bounded(self):
        """Each gateway announces each engine again and again."""
        self.run_load(100)
        first = len(self.announced)
        self.assertLessEqual(first, 3 * 4)
        for one, factor in zip(self.engines, FACTORS, strict=True):
            self.assertIn(one.key, {u.speeds[0].key for u in self.announced})
            self.receive('peer', one.key, EVENT_S * factor)
        self.run_load(300, seed=2)
        self.assertLessEqual(len(self.announced) - first, 3)
        [repeated] = self.speeds.recent()
        self.assertEqual(len(repeated.speeds), 3)

    def test_a_known_estimate_is_not_announced_by_each_gateway(self):
        """28 gateways announce the same engine when it joins."""
        self.receive('peer', 'e-1', EVENT_S)
        for _ in range(40):
            self.now += 0.1
            self.speeds.record_event(
                self.engines[1], EVENT_S * 1.1, 2, is_prefilling=False
            )
        self.assertEqual(self.announced, [])

    def test_engines_that_are_gone_are_dropped(self):
        self.receive_three()
        self.now += 60.0
        self.speeds.expire(self.engines[:2])
        self.assertTrue(self.speeds.is_known(self.engines[0]))
        self.assertFalse(self.speeds.is_known(self.engines[2]))

    def test_unknown_keys_are_bounded(self):
        """A faulty peer replaces the estimates of all engines."""
        self.receive_three()
        self.speeds.expire(self.engines)
        for number in range(1000):
            self.receive('faulty', f'x-{number}', EVENT_S)
        self.assertTrue(self.speeds.is_known(self.engines[0]))
        self.assertFalse(
            self.speeds.is_known(upstream.Upstream('x-999', 's', ('', 1), 'z'))
        )

    def test_averages_are_used_unless_engines_differ(self):
        """Similar engines are told apart by the error of their estimates."""
        reservation = upstream_stats.Reservation(1000, 2000)
        table, slow = self.stats_table, self.engines[2]
        self.receive('peer', 'e-0', EVENT_S, 7000)
        self.receive('peer', 'e-2', EVENT_S * 1.5, 4000)
        self.assertEqual(table.prefill_s(700, slow), table.prefill_s(700))
        self.receive_three()
        self.now += 1.0
        self.assertAlmostEqual(table.prefill_s(700, slow), 0.16, delta=0.01)
        self.assertGreater(
            table.generation_s(reservation, slow),
            1.3 * table.generation_s(reservation),
        )

    def test_the_longest_duration_covers_a_slow_engine_and_any_output(self):
        """Guards against a bound that a run exceeds at a slow engine."""
        table, slow = self.stats_table, self.engines[2]
        self.receive_three()
        self.now += 1.0
        output = upstream_stats.Reservation(0, 1000)
        self.assertGreater(
            table.longest_s(700, 1000, slow),
            table.generation_s(output, slow) + table.prefill_s(700, slow),
        )
        self.assertGreater(
            table.longest_s(700, 1000, slow), table.longest_s(700, 1000)
        )
        self.assertEqual(table.longest_s(700, 0, slow), math.inf)


class InterferenceTest(unittest.TestCase):
    """Slowdowns of a service, as several gateways have seen them."""

    def setUp(self):
        self.now = 1000.0
        self.speeds = engine_speed.EngineSpeeds(lambda: self.now)
        self.engine = upstream.Upstream('e', 's', ('10.0.0.1', 1), 'z')
        self.speeds.record_event(self.engine, 0.04, 0, is_prefilling=False)

    def receive(self, node, found, service='s'):
        self.speeds.receive(
            engine_speed.SpeedUpdate((), node, {service: found})
        )
        self.now += 1.0

    def test_weighted_by_samples(self):
        """A gateway with a few samples decides for all."""
        self.receive('one', interference(0.2, 3.0, 0.6, 0.5, 300))
        self.receive('two', interference(0.1, 2.0, 0.3, 0.2, 100))
        self.receive('three', interference(1.0, 9.0, 9.0, 1.0, 0))
        noise = self.speeds.noise('s')
        self.assertAlmostEqual(noise.share, (0.2 * 3 + 0.1) / 4)
        # Weighted by the samples in a slowdown: 60 and 10.
        self.assertAlmostEqual(noise.factor, (3.0 * 60 + 2.0 * 10) / 70)
        self.assertAlmostEqual(noise.onsets_per_s, (0.6 * 3 + 0.3) / 4)
        self.assertAlmostEqual(
            self.speeds.prefill_share('s'), (0.5 * 3 + 0.2) / 4
        )

    def test_without_a_slowdown(self):
        """The factor of no samples is a division by zero."""
        self.receive('one', interference(0.0, 1.0, 0.0, 0.0, 50))
        self.assertEqual(self.speeds.noise('s'), engine_speed.Noise())

    def test_a_gateway_that_is_gone(self):
        """What a gateway saw before it ended counts for ever."""
        self.receive('one', interference(0.2, 3.0, 0.6, 0.5, 300))
        self.now += engine_speed.HALF_LIFE_S
        self.assertEqual(self.speeds.noise('s'), engine_speed.Noise())

    def test_number_of_senders_is_bounded(self):
        """A faulty peer fills the memory with names."""
        for number in range(200):
            self.receive(f'g-{number}', interference(0.2, 3.0, 0.6, 0.5, 300))
        kept = self.speeds._peer_loads['s']
        newest = range(200 - engine_speed.MAX_LOAD_SENDERS, 200)
        self.assertEqual(set(kept), {f'g-{number}' for number in newest})

    def test_service_that_is_not_relayed(self):
        """A faulty peer fills the memory with services."""
        found = interference(0.2, 3.0, 0.6, 0.5, 300)
        for number in range(100):
            self.receive('one', found, f'other-{number}')
        self.assertEqual(list(self.speeds._peer_loads), [])
        self.assertEqual(self.speeds.noise('other-1'), engine_speed.Noise())

    def test_number_of_services_sent_is_bounded(self):
        for number in range(50):
            engine = upstream.Upstream(
                f'e-{number}', f's-{number}', ('', 1), ''
            )
            for _ in range(20):
                self.now += 0.01
                self.speeds.record_event(engine, 0.04, 0, is_prefilling=False)
        for update in self.speeds.updates():
            self.assertEqual(
                len(update.interferences), engine_speed.MAX_SERVICES
            )


VALUE = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.integers(0, 100_000),
    st.floats(),
    st.text(max_size=5),
    st.binary(max_size=5),
    st.lists(st.integers(0, 9), max_size=2),
)
VALID = ('e', 40_000, 7000, 12, 250)


SLOWDOWNS = ('s', 150, 2500, 500, 250, 120)


def _replaced(valid, number, value):
    """Returns a valid item with one value replaced."""
    return valid[:number] + (value,) + valid[number + 1 :]


ITEM = st.builds(_replaced, st.just(VALID), st.integers(0, 4), VALUE)
SLOWDOWNS_ITEM = st.builds(
    _replaced, st.just(SLOWDOWNS), st.integers(0, 5), VALUE
)


def interference(share, factor, onsets_per_s, prefill_share, samples):
    """Returns what a gateway has seen of a service."""
    noise = engine_load.Noise(share, factor, onsets_per_s)
    return engine_load.Interference(noise, prefill_share, samples)


class CodecTest(unittest.TestCase):
    """Datagrams between gateways whose clocks differ."""

    def setUp(self):
        loop = types.SimpleNamespace(time=lambda: 1e5)
        patched = mock.patch('asyncio.get_running_loop', return_value=loop)
        patched.start()
        self.addCleanup(patched.stop)

    def test_round_trip(self):
        sent = engine_speed.Speed('e\n7', 0.041, 7000.0, 12, 1e5 - 2.5)
        data = update_codec.encode('a', engine_speed.SpeedUpdate((sent,)))
        node, update = update_codec.decode(*frame.unpack(data))
        self.assertEqual((node, update.speeds), ('a', (sent,)))

    @settings(derandomize=True, deadline=None)
    @given(VALUE, VALUE | st.lists(st.tuples(*[VALUE] * 5) | VALUE, max_size=2))
    def test_malformed_fields(self, node, items):
        """A faulty peer stops this gateway."""
        with contextlib.suppress(error.PeerError):
            update_codec.decode(frame.Kind.SPEEDS, [node, items, []])

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(ITEM, max_size=2))
    def test_invalid_values_have_no_effect(self, items):
        """A faulty peer distorts the estimates of this gateway."""
        fields = msgpack.unpackb(msgpack.packb(('peer', items, [])))
        speeds = engine_speed.EngineSpeeds()
        try:
            _, update = update_codec.decode(frame.Kind.SPEEDS, fields)
        except error.PeerError:
            return
        for item in fields[1]:
            self.assertEqual(
                [type(value) for value in item], [str, int, int, int, int]
            )
        speeds.receive(update)
        speeds.updates()
        for speed in update.speeds:
            self.assertLessEqual(speed.samples, engine_speed.MAX_SAMPLES)
            found = upstream.Upstream(speed.key, 's', ('', 1), 'z')
            event_s, per_s = speeds.event_s(found), speeds.prefill_per_s(found)
            self.assertTrue(event_s is None or 1e-5 < event_s < 11)
            self.assertTrue(per_s is None or 0.5 < per_s <= 1e6)

    def test_too_large_lists_are_refused(self):
        fields = ['a', [VALID] * 32, [SLOWDOWNS] * 8]
        update_codec.decode(frame.Kind.SPEEDS, fields)
        for number, value in ((1, [VALID] * 33), (2, [SLOWDOWNS] * 9)):
            with self.assertRaises(error.PeerError):
                update_codec.decode(
                    frame.Kind.SPEEDS,
                    [*fields[:number], value, *fields[number + 1 :]],
                )

    def test_round_trip_of_interference(self):
        sent = engine_speed.SpeedUpdate(
            (),
            interferences={
                's': interference(0.15, 2.5, 0.5, 0.25, 120),
                # An estimate beyond the bounds must not void the datagram.
                't': interference(1.0, 20.0, 1e4, 1.0, 300),
            },
        )
        data = update_codec.encode('a', sent)
        _, update = update_codec.decode(*frame.unpack(data))
        found = update.interferences
        self.assertEqual(found['s'], sent.interferences['s'])
        self.assertEqual(found['t'].noise.onsets_per_s, 100.0)

    def test_extreme_estimates_are_sent(self):
        """One engine out of range voids the estimates of all others."""
        speeds = tuple(
            engine_speed.Speed(f'e-{event_s}', event_s, 7000.0, 12, 1e5)
            for event_s in (1e-6, 0.04, 25.0)
        )
        data = update_codec.encode('a', engine_speed.SpeedUpdate(speeds))
        _, update = update_codec.decode(*frame.unpack(data))
        self.assertEqual(
            [one.event_s for one in update.speeds], [1e-4, 0.04, 10.0]
        )

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(VALUE | st.lists(st.tuples(*[VALUE] * 6) | VALUE, max_size=2))
    def test_malformed_interference(self, items):
        """A faulty peer stops this gateway."""
        with contextlib.suppress(error.PeerError):
            update_codec.decode(frame.Kind.SPEEDS, ['peer', [], items])

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(SLOWDOWNS_ITEM, max_size=2))
    def test_invalid_interference_has_no_effect(self, items):
        """A faulty peer makes all engines count as slow."""
        fields = msgpack.unpackb(msgpack.packb(('peer', [], items)))
        speeds = engine_speed.EngineSpeeds()
        found = upstream.Upstream('e', 's', ('', 1), 'z')
        speeds.record_event(found, EVENT_S, 0, is_prefilling=False)
        try:
            _, update = update_codec.decode(frame.Kind.SPEEDS, fields)
        except error.PeerError:
            return
        for item in fields[2]:
            self.assertEqual([type(value) for value in item], [str, *[int] * 5])
        speeds.receive(update)
        noise = speeds.noise('s')
        self.assertTrue(0.0 <= noise.share <= 1.0)
        self.assertTrue(1.0 <= noise.factor <= 20.0)
        self.assertTrue(0.0 <= noise.onsets_per_s <= 100.0)
        self.assertTrue(0.0 <= speeds.prefill_share('s') <= 1.0)
