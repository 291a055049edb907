"""Shares of client accounts, in virtual time and without a network."""

from __future__ import annotations

import dataclasses
import heapq
import random
import statistics
import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill_gateway import routing_table
from quetzalsill_gateway.balance import search, shares
from quetzalsill_gateway.fleet import account_usage

STEP_S = 0.02
DELAY_S = 0.1
LOSS = 0.1
# 21 engines of 26,948 tokens, as in docs/design/hard-load.md: 7 runs each. A
# long generation takes about 8 s, a short one 0.7 s, one in three is long.
SLOTS = 147
RUN_S = 3.2
TOKENS = 3_700
# 3,000 tokens at 7,000 per second.
PREFILL_S = 0.43
CAPACITY_PER_S = SLOTS / RUN_S


@dataclasses.dataclass
class Request:
    """A queued request of the fake fleet."""

    account: bytes
    arrived_s: float
    sequence: int


class Fleet:
    """Gateways in front of a server of a fixed token rate."""

    def __init__(self, gateways, weights=None, cut_off=(), is_enabled=True):
        weights = weights or {}
        self.rng = random.Random(5)
        self.gateways = [
            shares.Shares(
                lambda name: weights.get(name, 1.0), is_enabled=is_enabled
            )
            for _ in range(gateways)
        ]
        self.queues = [[] for _ in self.gateways]
        self.cut_off = cut_off
        self.ends = []
        self.waits = {}
        self.served = {}
        self.sequence = 0

    def run(self, rates, end_s, served_from_s=0.0):
        """Serves Poisson arrivals, by account and per second."""
        arrivals = []
        for name, per_s in sorted(rates.items()):
            # Seeded by account, so that the others' arrivals are the same.
            rng = random.Random(name)
            at_s = rng.expovariate(per_s)
            while at_s < end_s:
                gateway = rng.randrange(len(self.gateways))
                arrivals.append((at_s, name, gateway))
                at_s += rng.expovariate(per_s)
        arrivals.sort()
        mail, now, first = [], 0.0, 0
        while now < end_s:
            while first < len(arrivals) and arrivals[first][0] <= now:
                at_s, name, gateway = arrivals[first]
                self.enter(gateway, name, at_s, now)
                first += 1
            while self.ends and self.ends[0] <= now:
                heapq.heappop(self.ends)
            while mail and mail[0][0] <= now:
                _, _, target, update = heapq.heappop(mail)
                self.gateways[target].receive(update, now)
            for index in self.rng.sample(
                range(len(self.queues)), len(self.queues)
            ):
                self.poll(index, now, served_from_s)
                self.announce(index, now, mail)
            now += STEP_S

    def enter(self, gateway, name, at_s, now):
        self.sequence += 1
        self.queues[gateway].append(Request(name, at_s, self.sequence))
        self.gateways[gateway].enter(name, TOKENS, now)

    def poll(self, index, now, served_from_s):
        """Tries the first request, as `EngineSearch.try_choose` does."""
        queue, own = self.queues[index], self.gateways[index]
        while queue:
            ahead = min(
                queue,
                key=lambda one: (own.start_tag(one.account), one.sequence),
            )
            left = (SLOTS - len(self.ends)) * TOKENS
            elsewhere = TOKENS * (sum(map(len, self.queues)) - len(queue))
            first, rival_share = 0, 1.0
            if own.is_enabled:
                first, rival_share = own.waiting_at_peers(ahead.account, now)
            first = min(first, elsewhere)
            left -= first
            if left < TOKENS:
                return
            rivals = rival_share * (elsewhere - first)
            share = search.RACE_SHARE * left / (rivals + TOKENS)
            if elsewhere and self.rng.random() >= share:
                return
            queue.remove(ahead)
            own.leave(ahead.account, TOKENS)
            own.record(ahead.account, TOKENS, now, was_queued=True)
            heapq.heappush(self.ends, now + RUN_S)
            wait_s = now - ahead.arrived_s
            self.waits.setdefault(ahead.account, []).append(wait_s)
            if now >= served_from_s:
                self.served[ahead.account] = (
                    self.served.get(ahead.account, 0) + 1
                )

    def announce(self, index, now, mail):
        if index in self.cut_off or not any(self.queues):
            return
        update = self.gateways[index].usage(now)
        if update is None:
            return
        update = dataclasses.replace(update, sender=f'g-{index}')
        for target in range(len(self.gateways)):
            if target in (index, *self.cut_off):
                continue
            if self.rng.random() >= LOSS:
                self.sequence += 1
                heapq.heappush(
                    mail, (now + DELAY_S, self.sequence, target, update)
                )

    def first_event_s(self, names):
        """Returns the mean time to first event."""
        waits = [one for name in names for one in self.waits[name]]
        return PREFILL_S + statistics.mean(waits)


def others(count, load):
    """Returns the rates of accounts that use a part of the capacity."""
    rate = load * CAPACITY_PER_S / count
    return {b'a-%d' % index: rate for index in range(count)}


class FleetTest(unittest.TestCase):
    """Several gateways, which know of each other by lossy announcements."""

    def test_an_account_at_ten_times_its_share(self):
        """One large account makes all others wait behind its backlog.

        This covers the mean time to first event over all other accounts, not
        its p90 nor that of each account. Only waiting in the queue is modelled;
        the prefill is a constant.
        """
        heavy = {b'heavy': 10 * CAPACITY_PER_S / 24}
        for gateways, load in ((5, 0.62), (5, 0.7), (28, 0.62), (28, 0.7)):
            with self.subTest(gateways=gateways, load=load):
                light = others(23, load)
                alone, together = Fleet(gateways), Fleet(gateways)
                alone.run(light, 40.0)
                together.run(light | heavy, 40.0)
                self.assertTrue(any(together.queues))
                before = alone.first_event_s(light)
                after = together.first_event_s(light)
                self.assertLess(after, 1.2 * before)

    def test_weights_one_and_three(self):
        """Equal demand is served in the ratio of the weights."""
        fleet = Fleet(5, {b'a': 1.0, b'b': 3.0})
        rate = 1.5 * CAPACITY_PER_S
        fleet.run({b'a': rate, b'b': rate}, 50.0, served_from_s=10.0)
        ratio = fleet.served[b'b'] / fleet.served[b'a']
        self.assertTrue(2.7 < ratio < 3.3, ratio)

    def test_what_one_account_leaves_others_use_at_once(self):
        """An account far above its share leaves no slot idle for others."""
        rates = {b'busy': 1.2 * CAPACITY_PER_S, b'idle': 0.5}
        served = []
        for is_enabled in (False, True):
            fleet = Fleet(5, {b'idle': 1000.0}, is_enabled=is_enabled)
            fleet.run(rates, 40.0, served_from_s=10.0)
            served.append(sum(fleet.served.values()))
        self.assertGreater(served[1], 0.95 * served[0])

    def test_a_gateway_that_is_cut_off_divides_by_its_own_counts(self):
        fleet = Fleet(5, cut_off=(0,))
        light = others(23, 0.6)
        fleet.run(light | {b'heavy': CAPACITY_PER_S}, 30.0)
        own = fleet.gateways[0]
        for name in (b'heavy', b'light'):
            own.enter(name, TOKENS, 30.0)
        self.assertLess(own.start_tag(b'light'), own.start_tag(b'heavy'))
        self.assertEqual(own.waiting_at_peers(b'heavy', 30.0), (0, 1.0))


class SharesTest(unittest.TestCase):
    """The counters of one gateway."""

    def test_use_of_spare_capacity_is_not_held_against_an_account(self):
        """An account that returns does not go before all others for seconds."""
        found = shares.Shares(is_enabled=True)
        for at_s in range(30):
            found.record(b'busy', 100_000, at_s, was_queued=False)
        found.enter(b'busy', TOKENS, 30.0)
        found.enter(b'back', TOKENS, 30.0)
        served = 0
        while found.start_tag(b'back') < found.start_tag(b'busy'):
            found.record(b'back', TOKENS, 30.0, was_queued=True)
            served += TOKENS
        self.assertGreater(served, 0)
        self.assertLess(served, 1.5 * 100_000)

    def test_nothing_is_counted_while_disabled(self):
        found = shares.Shares()
        found.record(b'a', 1000, 0.0, was_queued=True)
        found.enter(b'a', 1000, 0.0)
        self.assertEqual(found.start_tag(b'a'), 0.0)
        self.assertIsNone(found.usage(1.0))

    def test_many_long_names_stay_bounded(self):
        """Accounts beyond the limit drop the least recently used ones."""
        usage = account_usage.AccountUsage()
        for index in range(10_500):
            name = account_usage.bounded_name(b'%06d' % index + b'n' * 300)
            self.assertEqual(len(name), 200)
            usage.add(name, 20_000, 1.0)
        self.assertEqual(len(usage), 10_000)
        self.assertEqual(len(usage.announced({}, 1.0)), 32)
        names = {b'n' * 300 + b'%d' % index for index in range(9)}
        self.assertEqual(len(set(map(account_usage.bounded_name, names))), 9)

    def test_many_senders_stay_bounded(self):
        usage = account_usage.AccountUsage()
        for index in range(2_000):
            usage.set_peer(f'g-{index}', b'a', 1_000, 1.0)
        self.assertLessEqual(
            len(usage.get(b'a').peers), account_usage.MAX_SENDERS
        )

    def test_a_lost_report_has_no_lasting_effect(self):
        usage = account_usage.AccountUsage()
        usage.set_peer('g', b'a', 100_000, 0.0)
        self.assertAlmostEqual(usage.tokens_per_s(0.0), 10_000)
        self.assertLess(usage.tokens_per_s(50.0), 100)

    def test_counters_survive_a_long_run(self):
        """The growing factor leaves the range of a float within two hours."""
        found = shares.Shares(is_enabled=True)
        for at_s in range(0, 20_000, 7):
            found.enter(b'a', TOKENS, at_s)
            found.enter(b'b', TOKENS, at_s)
            found.record(b'a', TOKENS, at_s, was_queued=True)
            self.assertLess(found.start_tag(b'b'), found.start_tag(b'a'))
            self.assertLess(found.lead_s(b'a', at_s), 60.0)
            found.leave(b'a', TOKENS)
            found.leave(b'b', TOKENS)

    def test_a_report_reads_each_waiting_account_once(self):
        """A report of 32 new accounts took 25 ms beside 28 other gateways."""
        looked_up = []
        found = shares.Shares(
            lambda name: looked_up.append(name) or 1.0, is_enabled=True
        )
        for gateway in range(29):
            looked_up.clear()
            items = tuple(
                account_usage.Item(b'%d-%d' % (gateway, index), 1_000, 1_000)
                for index in range(account_usage.MAX_ITEMS)
            )
            update = account_usage.AccountUpdate(items, f'g-{gateway}')
            found.receive(update, 1.0)
        self.assertLessEqual(len(looked_up), 30 * account_usage.MAX_ITEMS)

    def test_weights_follow_the_configuration(self):
        """A reload changes weights; an odd name must not stop the lookup."""
        accounts = {
            b'k': routing_table.ClientAccount('a', weight=3.0),
            b'l': routing_table.ClientAccount('\ud800'),
        }
        tables = [None, accounts]
        found = shares.Weights(lambda: tables[0])
        self.assertEqual(found(b'a'), 1.0)
        del tables[0]
        self.assertEqual(found(b'a'), 3.0)

    def test_an_account_yields_to_one_that_waits_at_a_peer(self):
        """It takes only the memory that the other does not need."""
        found = shares.Shares(is_enabled=True)
        found.record(b'heavy', 500_000, 0.0, was_queued=True)
        found.record(b'light', 1_000, 0.0, was_queued=True)
        items = (
            account_usage.Item(b'light', 0, 1_000),
            account_usage.Item(b'heavy', 0, 9_000),
        )
        found.receive(account_usage.AccountUpdate(items, 'g'), 0.0)
        first, rival_share = found.waiting_at_peers(b'heavy', 0.0)
        self.assertGreaterEqual(first, 1_000)
        self.assertEqual(rival_share, 1.0)
        self.assertLessEqual(found.waiting_at_peers(b'light', 0.0)[1], 0.1)
        self.assertEqual(found.waiting_at_peers(b'heavy', 5.0), (0, 1.0))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from([b'a', b'b', b'c', b'']),
                strategies.sampled_from(
                    ['enter', 'leave', 'record', 'peer', 'weight', 'wait']
                ),
                strategies.integers(0, 10_000),
            ),
            max_size=60,
        )
    )
    def test_accounts_that_change_in_flight(self, steps):
        """A changed weight or name leaves no request queued forever."""
        weights, queued, now = {}, [], 0.0
        found = shares.Shares(lambda one: weights.get(one, 1), is_enabled=True)
        for name, step, value in steps:
            if step == 'enter':
                found.enter(name, value, now)
                queued.append((name, value))
            elif step == 'leave' and queued:
                found.leave(*queued.pop(0))
            elif step == 'record':
                found.record(name, value, now, was_queued=True)
            elif step == 'peer':
                item = account_usage.Item(name, value, value)
                found.receive(account_usage.AccountUpdate((item,), 'g'), now)
            elif step == 'weight':
                weights[name] = 0.001 + value / 10
            now += value / 100 if step == 'wait' else 0.01
            self.assertGreaterEqual(found.start_tag(name), 0.0)
            self.assertGreaterEqual(found.lead_s(name, now), 0.0)
            self.assertGreaterEqual(min(found.waiting_at_peers(name, now)), 0)
        for entry in queued:
            found.leave(*entry)
        self.assertEqual(found.lead_s(b'other', now + 2.0), 0.0)
