"""Tests of the limits of client accounts."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill.config import model
from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill_router.limit import length, shares

MINUTE_S = 60.0
STEP_S = 0.25
ACCOUNT = 'retailers'


class Clock:
    """A clock that is advanced by hand."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_fleet(count):
    """Returns a clock and limiters of `count` routers that share it."""
    clock = Clock()
    return clock, [shares.Limiter(lambda: count, clock) for _ in range(count)]


def admit(limiter, limits, estimate=0):
    """Admits one request; returns None if it is refused."""
    try:
        return limiter.admit(ACCOUNT, limits, estimate)
    except request_error.LimitError:
        return None


calls = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 4),
        strategies.floats(0, 3),
        strategies.integers(0, 60),
    ),
    min_size=1,
    max_size=120,
)


class BoundTest(unittest.TestCase):
    """Limits are not exceeded by more than the stated error bounds."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        routers=strategies.integers(1, 5),
        limit=strategies.integers(1, 6),
        turns=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 4), strategies.integers(0, 5)
            ),
            max_size=80,
        ),
    )
    def test_concurrency(self, routers, limit, turns):
        _, fleet = make_fleet(routers)
        limits = model.Limits(concurrency=limit)
        held = [[] for _ in fleet]
        for number, ends in turns:
            grants = held[number % routers]
            if ends == 0 and grants:
                grants.pop().release()
                continue
            grant = admit(fleet[number % routers], limits)
            if grant is not None:
                grants.append(grant)
            self.assertLessEqual(sum(map(len, held)), limit + routers - 1)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        routers=strategies.integers(1, 5),
        limit=strategies.integers(1, 600),
        turns=calls,
    )
    def test_requests(self, routers, limit, turns):
        clock, fleet = make_fleet(routers)
        limits = model.Limits(requests_per_minute=limit)
        start, granted = clock.now, 0
        burst = max(limit * shares.BURST_S / MINUTE_S, routers)
        for number, pause_s, _ in turns:
            clock.now += pause_s
            granted += admit(fleet[number % routers], limits) is not None
            allowed = limit * (clock.now - start) / MINUTE_S + burst
            self.assertLessEqual(granted, allowed + 1e-6)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        routers=strategies.integers(1, 4),
        limit=strategies.integers(60, 6000),
        estimate=strategies.integers(1, 50),
        turns=calls,
    )
    def test_tokens(self, routers, limit, estimate, turns):
        clock, fleet = make_fleet(routers)
        limits = model.Limits(tokens_per_minute=limit)
        start, charged, beyond = clock.now, 0, 0
        burst = max(limit * shares.BURST_S / MINUTE_S, routers)
        for number, pause_s, tokens in turns:
            clock.now += pause_s
            grant = admit(fleet[number % routers], limits, estimate)
            if grant is None:
                continue
            grant.charge(tokens)
            grant.release()
            charged += tokens
            beyond = max(beyond, tokens, estimate)
            allowed = limit * (clock.now - start) / MINUTE_S + burst
            self.assertLessEqual(charged, allowed + routers * beyond + 1e-6)


class LimiterTest(unittest.TestCase):
    """Refusals, refunds and changed limits."""

    def test_retry_after_is_sufficient(self):
        clock, (limiter,) = make_fleet(1)
        limits = model.Limits(requests_per_minute=30)
        while admit(limiter, limits) is not None:
            pass
        with self.assertRaises(request_error.LimitError) as caught:
            limiter.admit(ACCOUNT, limits, 0)
        self.assertIs(caught.exception.ran, base.Ran.NO)
        clock.now += caught.exception.retry_after_s
        self.assertIsNotNone(admit(limiter, limits))

    def test_unused_reservation_is_refunded(self):
        _, (limiter,) = make_fleet(1)
        limits = model.Limits(tokens_per_minute=600)
        for _ in range(50):
            grant = limiter.admit(ACCOUNT, limits, 100)
            grant.release()
            grant.release()

    def test_token_debt_is_repaid_before_admission(self):
        clock, (limiter,) = make_fleet(1)
        limits = model.Limits(tokens_per_minute=600)
        grant = limiter.admit(ACCOUNT, limits, 10)
        grant.charge(1100)
        grant.release()
        self.assertIsNone(admit(limiter, limits, 10))
        clock.now += 101
        self.assertIsNotNone(admit(limiter, limits, 10))

    def test_edit_takes_effect_on_the_next_request(self):
        _, (limiter,) = make_fleet(1)
        grants = [admit(limiter, model.Limits(concurrency=1))]
        self.assertIsNone(admit(limiter, model.Limits(concurrency=1)))
        grants.append(admit(limiter, model.Limits(concurrency=2)))
        self.assertIsNone(admit(limiter, model.Limits(concurrency=2)))
        grants.append(admit(limiter, model.Limits()))
        self.assertNotIn(None, grants)

    def test_accounts_do_not_share(self):
        _, (limiter,) = make_fleet(1)
        limits = model.Limits(concurrency=1)
        self.assertIsNotNone(admit(limiter, limits))
        limiter.admit('depot-clerks', limits, 0)


class LengthsTest(unittest.TestCase):
    """Output length estimates."""

    def test_follows_what_is_observed(self):
        lengths = length.Lengths()
        first = lengths.estimate('m', 'patient', 100_000)
        for _ in range(200):
            lengths.observe('m', 'patient', 5000)
        self.assertAlmostEqual(
            lengths.estimate('m', 'patient', 100_000), 5000, delta=50
        )
        self.assertEqual(lengths.estimate('m', 'prompt', 100_000), first)
        self.assertEqual(lengths.estimate('m', 'patient', 16), 16)
