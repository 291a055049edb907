"""Tests of the routing policies."""

from __future__ import annotations

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill.wire import message
from quetzalsill_router.routing import affinity, baseline, expected_wait, query
from tests.quetzalsill_router.request import fake

ZONES = ('ikeja-hall', 'apapa-hall', 'lekki-hall')


def load(wait_ms=0, *, queued=0, used=0, models=(fake.MODEL,), healthy=True):
    """Returns a load report."""
    return message.Load(
        queued, 0, used, 1000, wait_ms, 10.0, list(models), False, healthy, 1
    )


def ask(prefix='', prompt_tokens=100):
    """Returns a query from the first zone."""
    return query.Query(fake.MODEL, False, ZONES[0], prefix, prompt_tokens)


def fresh():
    """Returns the expected-wait policy with a fixed seed."""
    return expected_wait.expected_wait(random.Random(1))


loads = strategies.builds(
    load,
    strategies.integers(0, 60_000),
    queued=strategies.integers(0, 50),
    used=strategies.integers(0, 1000),
    healthy=strategies.booleans(),
)
peers = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(ZONES), strategies.none() | loads
    ),
    max_size=9,
).map(
    lambda drawn: [
        fake.Peer(f'up-{index}', zone=zone, load=report)
        for index, (zone, report) in enumerate(drawn)
    ]
)


class PoliciesTest(unittest.TestCase):
    """Properties of every policy."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(peers, strategies.text(max_size=2))
    def test_chooses_one_of_the_candidates(self, candidates, prefix):
        for policy in (
            fresh(),
            baseline.rotate(),
            baseline.fewest_outstanding(),
        ):
            for _ in range(3):
                found = policy(ask(prefix), candidates)
                if candidates:
                    self.assertIn(found, candidates)
                else:
                    self.assertIsNone(found)

    def test_rotate_is_even(self):
        candidates = [fake.Peer(name) for name in 'abc']
        policy = baseline.rotate()
        found = [policy(ask(), candidates).upstream for _ in range(9)]
        self.assertEqual(set(collections.Counter(found).values()), {3})

    def test_fewest_outstanding(self):
        one, two = fake.Peer('one'), fake.Peer('two')
        one.outstanding = 2
        policy = baseline.fewest_outstanding()
        self.assertIs(policy(ask(), [one, two]), two)


class ExpectedWaitTest(unittest.TestCase):
    """Costs in the expected-wait policy."""

    def test_shorter_wait_goes_before_the_own_zone(self):
        near = fake.Peer('near', load=load(800))
        far = fake.Peer('far', zone=ZONES[1], load=load(0))
        self.assertIs(fresh()(ask(), [near, far]), far)

    def test_own_zone_decides_between_equals(self):
        far = fake.Peer('far', zone=ZONES[1], load=load(0))
        near = fake.Peer('near', load=load(0))
        self.assertIs(fresh()(ask(), [far, near]), near)

    def test_loaded_and_healthy_go_first(self):
        best = fake.Peer('best', zone=ZONES[2], load=load(5000))
        unhealthy = fake.Peer('sick', load=load(healthy=False))
        empty = fake.Peer('empty', load=load(models=()))
        self.assertIs(fresh()(ask(), [unhealthy, empty, best]), best)

    def test_burst_between_two_reports_is_spread(self):
        """100 requests within one reporting interval use all engines.

        By its stale load report one engine stays the best. If all requests
        were sent there, they would queue while the others are idle.
        """
        candidates = [
            fake.Peer(f'up-{index}', load=load(index)) for index in range(4)
        ]
        policy = fresh()
        found = collections.Counter(
            policy(ask(), candidates).upstream for _ in range(100)
        )
        self.assertEqual(len(found), 4)
        self.assertLess(max(found.values()), 40)

    def test_prefix_returns_to_its_cache_unless_that_is_busy(self):
        one = fake.Peer('one', load=load())
        two = fake.Peer('two', load=load())
        policy = fresh()
        request = ask('prefix', 2000)
        first = policy(request, [one, two])
        for _ in range(5):
            self.assertIs(policy(request, [one, two]), first)
        first.load = load(5000, queued=9)
        self.assertIsNot(policy(request, [one, two]), first)


class AffinityTest(unittest.TestCase):
    """Prefix affinity."""

    def test_decays_and_is_bounded(self):
        now = [0.0]
        prefixes = affinity.Affinity(lambda: now[0])
        prefixes.record('a', 'one')
        self.assertEqual(prefixes.cache_likelihood('a', 'one'), 1.0)
        now[0] = affinity.HALF_LIFE_S
        self.assertEqual(prefixes.cache_likelihood('a', 'one'), 0.5)
        for index in range(affinity.MAX_PREFIXES):
            prefixes.record(str(index), 'one')
        self.assertEqual(prefixes.upstreams_of('a'), [])


class MoveTest(unittest.TestCase):
    """Moves of queued attempts."""

    def test_only_to_an_idle_peer_and_only_if_it_is_worth_it(self):
        slow = fake.Peer('slow', load=load(4000, queued=3))
        idle = fake.Peer('idle', load=load(0))
        busy = fake.Peer('busy', load=load(100, queued=1))
        better = query.has_better_peer
        self.assertTrue(better(slow, [slow, idle]))
        self.assertFalse(better(slow, [slow, busy]))
        self.assertFalse(better(slow, [slow]))
        self.assertFalse(better(idle, [slow, busy]))
