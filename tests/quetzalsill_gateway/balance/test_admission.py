"""Tests of the admission queue: waiting for memory, order and refusals."""

from __future__ import annotations

import asyncio
import random
import time
import types
import unittest

from quetzalsill_gateway import routing_table
from quetzalsill_gateway.balance import (
    admission,
    forecast,
    queue_entry,
    shares,
    upstream_stats,
)
from quetzalsill_gateway.fleet import revision, software_versions, upstream
from quetzalsill_gateway.http import message
from tests.quetzalsill_gateway import quotas

BOUND_S = 10.0
ENGINE = routing_table.Engine(24, 10_000, 18432.0, 2700.0)
SERVICE = routing_table.Service('s', engine=ENGINE)


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """A gateway with one engine whose memory is full."""

    async def asyncSetUp(self):
        self.upstreams = upstream.Upstreams()
        self.engine = upstream.Upstream('u-1', 's', ('10.0.0.1', 1), 'z')
        self.upstreams.put(self.engine, revision.Revision(0, 1))
        self.stats_table = upstream_stats.StatsTable()
        # Memory is released soon, so that no wait is too long to be queued.
        self.stats_table.mean_held_s = 0.2
        self.stats = self.stats_table.of(self.engine)
        self.shares = shares.Shares(is_enabled=False)
        self.admission = admission.Admission(
            self.upstreams,
            self.stats_table,
            'z',
            quotas.unbounded(),
            random.Random(7),
            self.shares,
        )
        self.served = []
        self.full = upstream_stats.Reservation(0, 10_000, False)
        self.stats.reservations.add(self.full)

    def ask(
        self,
        name,
        priority=1,
        objective_s=60.0,
        age_s=0.0,
        tokens=5000,
        left_s=60.0,
        engine=ENGINE,
        account=b'a',
        origin=None,
    ):
        """Starts a request that needs half of the engine's memory."""
        now = asyncio.get_running_loop().time()
        route = routing_table.Route(
            'r',
            b'h',
            b'/',
            routing_table.Kind.STREAM,
            (),
            objective_s=objective_s,
            timeout_s=60.0,
        )
        req = types.SimpleNamespace(
            service=SERVICE,
            priority=priority,
            route=route,
            request=message.Request(
                b'POST', b'/', message.Fields(), message.Body(), now - age_s
            ),
            deadline_s=now + left_s,
            remaining_s=left_s,
            id_text=name,
            retry_after_s=0.1,
            held_s=0.0,
            regions=None,
            is_suspect=False,
            account=account,
        )
        task = asyncio.create_task(
            self.serve(name, req, tokens, engine, origin)
        )
        self.addCleanup(task.cancel)
        task.req = req
        return task

    async def serve(self, name, req, tokens, engine, origin=None):
        held = upstream_stats.Reservation(1000, tokens, is_prefilling=False)
        found = await self.admission.acquire_engine(
            req, engine, held, frozenset(), origin
        )
        if found is not None:
            self.served.append(name)
            self.stats_table.of(found).reservations.add(held)
        return found

    async def until_served(self, count):
        async with asyncio.timeout(BOUND_S):
            while len(self.served) < count:  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def add_version(self):
        """Adds an idle engine of another version; returns both origins."""
        self.engine.software_version = 'v1'
        self.upstreams.versions.record('s', 'v1')
        idle = upstream.Upstream(
            'u-2', 's', ('10.0.0.1', 2), 'z', software_version='v2'
        )
        self.upstreams.put(idle, revision.Revision(0, 2))
        return [software_versions.origin_of(one) for one in (self.engine, idle)]

    async def test_a_full_version_does_not_hold_up_another(self):
        """New requests queue behind one whose version alone is full."""
        full, _ = await self.add_version()
        bound = self.ask('bound', origin=full)
        await asyncio.sleep(0.05)
        self.ask('new')
        await self.until_served(1)
        self.assertEqual(self.served, ['new'])
        self.stats.reservations.discard(self.full)
        self.assertIs(await bound, self.engine)

    async def test_requests_of_a_version_go_first_at_its_engines(self):
        """A new request takes the room that another one waits for."""
        full, idle = await self.add_version()
        self.stats_table.of(self.upstreams.get('u-2')).reservations.add(
            upstream_stats.Reservation(0, 10_000, False)
        )
        new = self.ask('new')
        await asyncio.sleep(0.05)
        bound = self.ask('bound', origin=full, tokens=10_000)
        await asyncio.sleep(0.05)
        self.stats.reservations.discard(self.full)
        self.assertIs(await bound, self.engine)
        self.assertFalse(new.done())

    async def test_it_waits_until_there_is_room(self):
        """A burst is queued instead of sent to a full engine.

        The engine would accept all requests, and preempt the newest.
        """
        waiting = self.ask('a')
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        self.stats.reservations.discard(self.full)
        self.assertIs(await waiting, self.engine)

    async def test_the_first_in_time_comes_first(self):
        self.ask('late', objective_s=10.0, age_s=20.0, left_s=40.0)
        await asyncio.sleep(0)
        self.ask('a')
        await asyncio.sleep(0)
        self.ask('b')
        await asyncio.sleep(0.1)
        self.stats.reservations.discard(self.full)
        await self.until_served(2)
        await asyncio.sleep(0.1)
        self.assertEqual(self.served, ['a', 'b'])

    async def test_urgent_requests_come_first(self):
        """An urgent request waits for room, but ahead of others.

        Sent to a full engine, it would preempt a long run, whose caller would
        see a long pause and whose prompt would be prefilled twice.
        """
        self.ask('long')
        await asyncio.sleep(0.05)
        urgent = self.ask('urgent', priority=0)
        await asyncio.sleep(0.1)
        self.assertFalse(urgent.done())
        self.stats.reservations.discard(self.full)
        await self.until_served(2)
        self.assertEqual(self.served, ['urgent', 'long'])

    async def test_an_account_ahead_of_its_share_is_passed_over(self):
        """A backlog of one account does not hold back the others."""
        self.shares.is_enabled = True
        now = asyncio.get_running_loop().time()
        self.shares.record(b'heavy', 100_000, now, was_queued=False)
        for name, account in (('1', b'heavy'), ('2', b'heavy'), ('3', b'b')):
            self.ask(name, account=account)
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        self.assertFalse(self.shares.should_log(b'heavy', now + 0.5))
        self.stats.reservations.discard(self.full)
        await self.until_served(2)
        self.assertEqual(self.served, ['3', '1'])

    async def test_account_order_is_ignored_while_disabled(self):
        now = asyncio.get_running_loop().time()
        self.shares.record(b'heavy', 100_000, now, was_queued=False)
        for name, account in (('1', b'heavy'), ('2', b'b')):
            self.ask(name, account=account)
            await asyncio.sleep(0)
        self.stats.reservations.discard(self.full)
        await self.until_served(2)
        self.assertEqual(self.served, ['1', '2'])

    async def test_queued_prefill_holds_it_back(self):
        """A request waits while too much prefill is queued ahead of it.

        An engine prefills prompts sequentially: if it were sent every prompt
        that fits its memory, the last would start too late.
        """
        self.stats.reservations.discard(self.full)
        ahead = upstream_stats.Reservation(4000, 4000)
        self.stats.reservations.add(ahead)
        waiting = self.ask('a', objective_s=0.8)
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        ahead.is_prefilling = False
        self.assertIs(await waiting, self.engine)

    async def test_room_is_shared_with_other_gateways(self):
        """Gateways do not all fill a new engine with their own queues.

        While much more is queued at peers than there is room for, a request
        rarely takes it in one poll; with nothing queued there, it does at once.
        """
        self.stats.reservations.discard(self.full)
        self.stats_table.set_peer_waiting('entry-2', {'s': {1: 10**9}})
        rival = self.ask('a')
        await asyncio.sleep(0.1)
        self.assertFalse(rival.done())
        self.stats_table.set_peer_waiting('entry-2', {})
        self.assertIs(await rival, self.engine)

    async def test_late_requests_at_peers_do_not_compete(self):
        self.stats.reservations.discard(self.full)
        late = queue_entry.LATE_RANK
        self.stats_table.set_peer_waiting('entry-2', {'s': {late: 10**9}})
        self.assertIs(await self.ask('a'), self.engine)

    async def test_a_long_wait_is_refused_at_once(self):
        """A caller with half a minute of work ahead of it is refused at once.

        Queued, it would time out and retry at an arbitrary moment. Refused at
        once, it retries when there may be room.
        """
        self.stats_table.mean_held_s = 300.0
        refused = self.ask('a', objective_s=10.0)
        self.assertIsNone(await asyncio.wait_for(refused, 1.0))
        self.assertGreater(refused.req.retry_after_s, 10.0)

    def cut_off_from_the_source(self):
        """Makes the source unavailable, so that no engine can join."""
        self.upstreams._confirmed_s -= 10.0

    async def test_requests_ahead_take_the_freed_memory(self):
        """A long request is refused if short ones will take all freed memory.

        The store is unavailable, so no engine can join. Queued, the long
        request would be refused after five seconds and retry late. A short one
        is still queued.
        """
        self.stats_table.mean_held_s = 1.0
        admission = self.admission
        admission._size_class('r', upstream_stats.Reservation(1000, 3000))
        now = asyncio.get_running_loop().time()
        demand = admission._demand.setdefault('s', forecast.Demand())
        for _ in range(40):
            demand.record_arrival(now, 1, 0, 10_000)
        self.upstreams.mark_confirmed()
        patient = self.ask('patient', tokens=6000, objective_s=10.0)
        await asyncio.sleep(0.1)
        self.assertFalse(patient.done(), 'a burst passes')
        self.cut_off_from_the_source()
        long = self.ask('long', tokens=6000, objective_s=10.0)
        self.assertIsNone(await asyncio.wait_for(long, 1.0))
        self.assertLess(long.req.held_s, 0.1)
        short = self.ask('short', tokens=1500)
        await asyncio.sleep(0.1)
        self.assertFalse(short.done())

    async def test_engines_that_leave_while_nobody_can_enter(self):
        """Memory of engines that leave and are not replaced does not count.

        While the store is unavailable, engines leave and none can join. With
        their memory included in the estimate, 84 generations waited in vain.
        While the store answers, other engines take their place.
        """
        self.stats_table.mean_held_s = 1.0
        for number in range(8):
            gone = upstream.Upstream(f'g-{number}', 's', ('10.0.0.9', 1), 'z')
            self.upstreams.put(gone, revision.Revision(0, 2))
            self.upstreams.remove(gone.id, revision.Revision(0, 3))
        self.upstreams.mark_confirmed()
        patient = self.ask('patient', tokens=2000, objective_s=10.0)
        await asyncio.sleep(0.1)
        self.assertFalse(patient.done())
        self.cut_off_from_the_source()
        refused = self.ask('refused', tokens=2000, objective_s=10.0)
        self.assertIsNone(await asyncio.wait_for(refused, 1.0))
        self.assertGreater(refused.req.retry_after_s, 1.0)

    async def test_the_expected_wait_is_checked_again(self):
        """A queued request is refused when its expected wait grows too long.

        Room was expected soon, but then the store becomes unavailable.
        """
        self.stats_table.mean_held_s = 0.3
        self.upstreams.mark_confirmed()
        waiting = self.ask('a', objective_s=10.0)
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        self.cut_off_from_the_source()
        self.stats_table.mean_held_s = 300.0
        self.assertIsNone(await asyncio.wait_for(waiting, 2.0))

    async def test_a_late_retry_is_behind_timely_requests(self):
        """A retry that is past its objective is queued behind timely requests.

        Treated as new, it would make a request late that can still be in time.
        """
        self.stats.reservations.discard(self.full)
        await self.ask('first')
        self.stats.reservations = {self.full}
        back = self.ask('back', objective_s=1.0, left_s=40.0)
        await asyncio.sleep(0.05)
        timely = self.ask('timely', objective_s=20.0)
        await asyncio.sleep(0.05)
        self.stats.reservations.discard(self.full)
        await asyncio.gather(back, timely)
        self.assertEqual(self.served, ['first', 'timely', 'back'])

    async def test_the_shorter_of_two_comes_first(self):
        """A short generation is served before a long one of the same priority.

        The long one would hold the memory of three short ones for as long as
        all three take.
        """
        for tokens in (1500, 6000):
            self.admission._size_class(
                'r', upstream_stats.Reservation(1000, tokens)
            )
        self.ask('long', tokens=6000)
        await asyncio.sleep(0.05)
        self.ask('short', tokens=1500)
        await asyncio.sleep(0.05)
        self.stats.reservations.discard(self.full)
        await self.until_served(2)
        self.assertEqual(self.served, ['short', 'long'])

    async def test_memory_is_left_for_runs_of_a_leaving_engine(self):
        """New work does not take the memory that runs to be moved need.

        Otherwise the runs of a leaving engine find no destination and are lost.
        Some engines leave without a notice: their rows are removed.
        """
        for is_removed in (False, True):
            leaving = upstream.Upstream('u-2', 's', ('10.0.0.2', 1), 'z')
            self.upstreams.put(leaving, revision.Revision(0, 2))
            runs = self.stats_table.of(leaving).reservations
            runs.add(upstream_stats.Reservation(0, 10_000, is_prefilling=False))
            leaving.leaving = True
            if is_removed:
                self.upstreams.remove('u-2', revision.Revision(0, 3))
            self.stats.reservations.clear()
            waiting = self.ask('a', tokens=8000)
            await asyncio.sleep(0.3)
            self.assertFalse(waiting.done())
            runs.clear()
            self.assertIs(await waiting, self.engine)

    async def test_runs_of_leaving_engines_may_move_to_any_engine(self):
        """Three engines leave at a peak, and their runs fit elsewhere.

        The memory that they need was subtracted from that of the one engine
        with room for the waiting request, which was held for seconds.
        """
        for number in range(2, 9):
            one = upstream.Upstream(
                f'u-{number}', 's', ('10.0.0.2', number), 'z'
            )
            self.upstreams.put(one, revision.Revision(0, number))
            one.leaving = number < 5
            held = 4000 if one.leaving else 7000
            self.stats_table.of(one).reservations.add(
                upstream_stats.Reservation(0, held, is_prefilling=False)
            )
        self.stats.reservations.discard(self.full)
        found = await asyncio.wait_for(self.ask('a', tokens=5000), 1.0)
        self.assertIs(found, self.engine)

    async def test_no_prefill_in_the_time_left(self):
        """A request with a time limit of 6 s is sent only if it suffices.

        Its prompt takes 0.14 s to prefill, so it would be cut before its first
        event, and an engine would have prefilled it in vain.
        """
        self.stats.reservations.discard(self.full)
        self.assertIsNone(await self.ask('a', left_s=0.1))
        self.assertIs(await self.ask('b', left_s=0.5), self.engine)

    async def test_a_pause_of_the_process_does_not_extend_the_wait(self):
        """The process is paused while requests wait, beyond their deadline."""
        waiting = self.ask('a', left_s=0.6)
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        time.sleep(0.6)  # noqa: ASYNC251
        self.stats.reservations.discard(self.full)
        self.assertIsNone(await waiting)

    async def test_it_is_queued_while_engines_prefill(self):
        """All engines are busy with prefill while memory is free.

        The wait ends within the time for which callers stay, so the request is
        served late instead of refused: its objective and the two seconds after
        its arrival have passed by then.
        """
        self.stats.reservations.discard(self.full)
        ahead = upstream_stats.Reservation(24_500, 4000)
        self.stats.reservations.add(ahead)
        waiting = self.ask('a', objective_s=1.5, left_s=40.0)
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        ahead.is_prefilling = False
        self.assertIs(await waiting, self.engine)

    async def test_a_prefill_that_takes_too_long_is_refused_at_once(self):
        """Far more prompts are queued than can be prefilled in time.

        The expected wait was 0, and the request was refused after 5 s.
        """
        self.stats.reservations.discard(self.full)
        ahead = upstream_stats.Reservation(70_000, 4000)
        self.stats.reservations.add(ahead)
        refused = self.ask('a', objective_s=1.5, left_s=40.0)
        self.assertIsNone(await asyncio.wait_for(refused, 1.0))
        self.assertEqual(refused.req.held_by, 'prefill')
        self.assertGreater(refused.req.retry_after_s, 5.0)

    async def test_it_is_not_held_longer_than_callers_stay(self):
        """A burst of one kind on a full engine: callers give up after 2 s.

        Room is expected within the bound, but does not become free.
        """
        self.stats_table.mean_held_s = 2.0
        refused = self.ask('a', objective_s=0.4, left_s=40.0)
        self.assertIsNone(await asyncio.wait_for(refused, 3.0))
        self.assertGreater(refused.req.retry_after_s, 0.5)

    async def test_refused_callers_do_not_all_return_at_once(self):
        """A burst of one kind that is refused returns spread over time."""
        self.stats_table.mean_held_s = 10.0
        refused = [self.ask(f'{n}', objective_s=1.0) for n in range(20)]
        await asyncio.gather(*refused)
        delays_s = sorted(one.req.retry_after_s for one in refused)
        self.assertGreaterEqual(delays_s[0], 10.0 * 4000 / 10_000)
        self.assertLessEqual(delays_s[-1], 2 * 10.0 * 5000 / 10_000)
        self.assertGreater(delays_s[-1] - delays_s[0], 2.0)

    async def test_times_to_return_after_stay_below_a_third(self):
        """With hours of work ahead, the spread is within the time left."""
        self.stats_table.mean_held_s = 3000.0
        refused = [self.ask(f'{n}', left_s=9.0) for n in range(20)]
        await asyncio.gather(*refused)
        delays_s = sorted(one.req.retry_after_s for one in refused)
        self.assertLessEqual(delays_s[-1], 3.0)
        self.assertGreater(delays_s[-1] - delays_s[0], 0.3)

    async def test_a_caller_keeps_its_place_at_another_gateway(self):
        """A request that returns to another gateway goes before newer ones.

        Its first attempt, 4 s ago at a gateway that has refused it, is known
        from the time that its caller has left.
        """
        self.stats.reservations.discard(self.full)
        self.assertIs(await self.ask('other'), self.engine)
        self.stats.reservations.add(self.full)
        self.ask('new')
        await asyncio.sleep(0.05)
        self.ask('back', left_s=56.0)
        await asyncio.sleep(0.05)
        self.stats.reservations = set()
        await self.until_served(3)
        self.assertEqual(self.served, ['other', 'back', 'new'])

    async def test_none_waits_forever_behind_others(self):
        """A burst of short requests does not starve a long one.

        After twice its objective, the long one goes first, although it is late
        and would be behind all short ones that can still be in time.
        """
        for tokens in (1500, 6000):
            self.admission._size_class(
                'r', upstream_stats.Reservation(1000, tokens)
            )
        self.ask('long', tokens=6000, objective_s=0.4)
        await asyncio.sleep(0.85)
        self.ask('short', tokens=1500)
        await asyncio.sleep(0.05)
        self.stats.reservations.discard(self.full)
        await self.until_served(2)
        self.assertEqual(self.served, ['long', 'short'])

    async def test_those_queued_for_long_go_first_in_turn(self):
        """A burst in which many are late does not make all others late.

        Going before all others, each would delay those still in time.
        """
        for name in ('old-1', 'old-2'):
            self.ask(name, tokens=1500, objective_s=0.4)
        await asyncio.sleep(0.85)
        for name in 'abcd':
            self.ask(name, tokens=1500)
        await asyncio.sleep(0.05)
        self.stats.reservations.discard(self.full)
        await self.until_served(6)
        self.assertEqual(self.served, ['old-1', 'a', 'b', 'c', 'old-2', 'd'])

    async def test_one_that_goes_first_does_not_hold_up_the_queue(self):
        """All engines are busy with prefill while memory is free.

        A late request would wait for an engine with little of it. As it goes
        first after a while, all others would wait behind it.
        """
        self.stats.reservations.discard(self.full)
        self.stats.reservations.add(upstream_stats.Reservation(3500, 4000))
        late = self.ask('late', objective_s=0.4)
        await asyncio.sleep(0.5)
        self.assertFalse(late.done())
        self.assertIs(await asyncio.wait_for(late, 1.0), self.engine)

    async def test_streams_without_known_memory_do_not_wait(self):
        """Streams of a service without engines are not queued.

        Such a service reports no memory, so they would all be refused in the
        end while its servers are idle.
        """
        found = self.ask('a', engine=routing_table.Engine())
        self.assertIs(await found, self.engine)

    async def test_one_too_large_by_its_hint_goes_to_an_empty_engine(self):
        """A length hint beyond the memory of any engine is capped to it.

        Otherwise the request would wait for more memory than exists, and always
        be refused.
        """
        self.stats.reservations.discard(self.full)
        self.assertIs(await self.ask('a', tokens=50_000), self.engine)

    async def test_none_without_an_engine(self):
        self.engine.leaving = True
        self.assertIsNone(await self.ask('a'))

    async def test_a_caller_that_leaves_leaves_the_queue(self):
        gone = self.ask('gone')
        await asyncio.sleep(0.05)
        gone.cancel()
        self.ask('a')
        await asyncio.sleep(0.05)
        self.stats.reservations.discard(self.full)
        await self.until_served(1)
        self.assertEqual(self.served, ['a'])


if __name__ == '__main__':
    unittest.main()
