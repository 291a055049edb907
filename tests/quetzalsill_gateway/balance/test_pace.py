"""Tests of matching work to engines by the gaps that they are expected to make.

The load: two kinds of generations, long and short, at engines of which a third
has half the speed, with short slowdowns.
"""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill_gateway.balance import pace, upstream_stats
from quetzalsill_gateway.fleet import engine_load, engine_speed, upstream

MAX_GAP_S = 0.18
NOISE = engine_load.Noise(0.15, 2.5, 0.25)
LONG = pace.Work(MAX_GAP_S, duration_s=6.0, prefill_s=0.4)
SHORT = pace.Work(MAX_GAP_S, duration_s=0.1, prefill_s=0.3)
# The target: fewer than 8 late generations, of 42 before.
TARGET_SHARE = 8 / 42
FAST = pace.Gaps(0.03, 0.06)
SLOW = FAST.scaled(1.7)


class ProbabilityTest(unittest.TestCase):
    """Probabilities at an engine that keeps up and one that does not always."""

    def test_long_generation_on_a_slow_engine(self):
        late = pace.late_probability(SLOW, NOISE, LONG, 0.4)
        self.assertGreater(late, pace.MAX_LATE_PROBABILITY)

    def test_few_events_on_a_slow_engine(self):
        """Two events there are hardly ever late, so they may go there."""
        late = pace.late_probability(SLOW, NOISE, SHORT, 0.4)
        self.assertLess(late, pace.MAX_LATE_PROBABILITY)

    def test_engine_that_keeps_up(self):
        self.assertEqual(pace.late_probability(FAST, NOISE, LONG, 0.4), 0.0)
        self.assertEqual(
            pace.delay_probability(FAST, NOISE, MAX_GAP_S, 0.4), 0.0
        )

    def test_engine_that_exceeds_the_limit_without_load(self):
        gaps = pace.Gaps(0.2, 0.4)
        self.assertEqual(pace.late_probability(gaps, NOISE, SHORT, 0.0), 1.0)

    def test_run_that_would_be_late_without_the_prefill(self):
        """A prefill is not charged for runs that are late without it."""
        gaps = pace.Gaps(0.1, 0.11)
        self.assertEqual(
            pace.delay_probability(gaps, NOISE, MAX_GAP_S, 1.0), 0.0
        )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.floats(0.0, 10.0),
        strategies.floats(1.0, 10.0),
        strategies.floats(0.0, 1.0),
        strategies.floats(1.0, 100.0),
        strategies.floats(0.0, 100.0),
        strategies.floats(0.0, 1e4),
        strategies.floats(0.0, 100.0),
        strategies.floats(0.0, 1.0),
    )
    def test_any_estimate_gives_probabilities(
        self, quiet_s, ratio, share, factor, onsets, duration_s, prefill_s, busy
    ):
        """Wrong estimates must not raise or give costs out of range."""
        gaps = pace.Gaps(quiet_s, quiet_s * ratio)
        noise = engine_load.Noise(share, factor, onsets)
        work = pace.Work(MAX_GAP_S, duration_s, prefill_s)
        late = pace.late_probability(gaps, noise, work, busy)
        delayed = pace.delay_probability(gaps, noise, MAX_GAP_S, prefill_s)
        self.assertTrue(0.0 <= late <= 1.0)
        self.assertTrue(0.0 <= delayed <= 1.0)


class Engine:
    """An engine that prefills prompts one after another, with slowdowns."""

    def __init__(self, name, factor):
        self.upstream = upstream.Upstream(name, 's', ('10.0.0.1', 1), 'z')
        self.factor = factor
        self.busy_until_s = 0.0
        self.runs = []
        self.slow = set()

    def is_slow_at(self, now):
        return int(now / 0.6) in self.slow

    def add(self, now, work, is_matched):
        start_s = max(now, self.busy_until_s)
        self.busy_until_s = start_s + work.prefill_s * self.factor
        self.runs = [run for run in self.runs if run['end_s'] > now]
        run = {
            'start_s': self.busy_until_s,
            'end_s': self.busy_until_s + work.duration_s * self.factor,
            'late': False,
            'is_long': work is LONG,
            'is_matched': is_matched,
        }
        self.runs.append(run)
        return run, start_s


class MatchingTest(unittest.TestCase):
    """A third of the engines at half speed, at half and at full load.

    At full load the engines prefill for about four fifths of the time.
    """

    def setUp(self):
        self.now = 0.0
        self.speeds = engine_speed.EngineSpeeds(lambda: self.now)
        self.table = upstream_stats.StatsTable(self.speeds)
        self.engines = [
            Engine(f'u-{number}', 2.0 if number % 3 == 0 else 1.0)
            for number in range(12)
        ]
        rng = random.Random(7)
        for engine in self.engines:
            engine.slow = {k for k in range(200) if rng.random() < 0.15}
            for number in range(40):
                self.now += 0.05
                is_slow = number % 7 == 0
                gap_s = 0.03 * engine.factor * (2.5 if is_slow else 1.0)
                self.speeds.record_event(
                    engine.upstream, gap_s, 0, is_prefilling=False
                )
                self.speeds.record_event(
                    engine.upstream, gap_s * 2, 0, is_prefilling=True
                )

    def play(self, load, is_matching):
        """Returns how many long and short generations were late."""
        rng = random.Random(11)
        runs, t = [], 0.0
        while t < 40.0:
            t += rng.expovariate(24.0 * load)
            work = LONG if rng.random() < 0.45 else SHORT
            engine = self.choose(t, work, is_matching, rng)
            run, prefill_s = engine.add(t, work, is_matching)
            runs.append(run)
            self.mark_late(engine, prefill_s)
        return (
            sum(run['late'] for run in runs if run['is_long']),
            sum(run['late'] for run in runs if not run['is_long']),
        )

    def choose(self, t, work, is_matching, rng):
        def cost(engine):
            wait_s = max(0.0, engine.busy_until_s - t)
            if is_matching:
                stats = self.table.of(engine.upstream)
                stats.reservations = set(
                    range(sum(run['end_s'] > t for run in engine.runs))
                )
                assessor = pace.Assessor(self.speeds, 's', work)
                found = assessor.assess(engine.upstream, stats.runs)
                wait_s += 10.0 * found.cost
            return wait_s + 0.02 * len(engine.runs) + 0.01 * rng.random()

        return min(self.engines, key=cost)

    def mark_late(self, engine, prefill_s):
        """Marks the runs beside the newest prefill if it meets a slowdown."""
        if engine.factor < 2.0:
            return
        for run in engine.runs[:-1]:
            begin_s = max(prefill_s, run['start_s'])
            end_s = min(engine.busy_until_s, run['end_s'])
            steps = range(int(begin_s / 0.1), int(end_s / 0.1))
            if any(engine.is_slow_at(step * 0.1) for step in steps):
                run['late'] = True

    def test_two_kinds(self):
        for load in (0.5, 1.0):
            with self.subTest(load=load):
                long_before, short_before = self.play(load, False)
                for engine in self.engines:
                    engine.runs, engine.busy_until_s = [], 0.0
                long_after, short_after = self.play(load, True)
                self.assertGreater(long_before, 20)
                self.assertLess(long_after, TARGET_SHARE * long_before)
                self.assertLessEqual(short_after, short_before)
