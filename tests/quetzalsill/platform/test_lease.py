"""Tests of `quetzalsill.platform.lease`."""

from __future__ import annotations

import asyncio
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from quetzalsill.platform import error, lease
from quetzalsill_dev.platform_standin import table
from tests.quetzalsill.platform import gated, standin

TTL_S = 1.0
HOLDERS = 2
ALL_EVENTS = 1000
INDEXES = st.integers(0, HOLDERS - 1)
NAME = 'upstream/ikeja-1'


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Holders that are paused anywhere, over a store that loses answers.

    Time passes only by `advance`, and each call's effect and answer come when
    a rule says so: to the lease that is a pause of any length at any point.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.now = 0.0
        self.gates = [gated.Gate() for _ in range(HOLDERS)]
        rows = table.Rows()
        self.leases = [
            lease.Lease(
                gated.GatedTable(gate, rows),
                NAME,
                f'{i}',
                TTL_S,
                self._clock(i),
            )
            for i, gate in enumerate(self.gates)
        ]
        self.running = {}
        self.fences = {}

    def _clock(self, index):
        return lambda: self.now + 1000.0 * index

    def _settle(self):
        self.loop.run_until_complete(gated.settle())
        for gate in self.gates:
            gate.drop_done()
        for index in [i for i, task in self.running.items() if task.done()]:
            exc = self.running.pop(index).exception()
            assert exc is None or isinstance(exc, error.PlatformError), exc

    def _unanswered(self, index):
        calls = self.gates[index].calls
        return next((call for call in calls if not call.answer.done()), None)

    def _work(self, index, events):
        """Lets calls of one holder through, up to a number of events."""
        for _ in range(events):
            call = self._unanswered(index)
            if call is None:
                return
            if call.effected:
                call.deliver()
            else:
                call.effect()
            self._settle()

    @stateful.rule(
        after_s=st.sampled_from([0.0, 0.0, 0.1, 0.85]),
        index=INDEXES,
        name=st.sampled_from(['acquire', 'acquire', 'renew', 'release']),
        events=st.sampled_from([ALL_EVENTS] * 4 + [1, 2, 3]),
    )
    def start(self, after_s, index, name, events):
        self.now += after_s
        if index not in self.running:
            call = getattr(self.leases[index], name)
            self.running[index] = self.loop.create_task(call())
            self._settle()
            self._work(index, events)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        after_s=st.sampled_from([0.0, 0.1, 0.85]),
        index=INDEXES,
        event=st.sampled_from(['work', 'work', 'lose', 'refuse']),
    )
    def go_on(self, after_s, index, event):
        self.now += after_s
        call = self._unanswered(index)
        if event == 'work':
            self._work(index, ALL_EVENTS)
        elif call is not None and event == 'lose':
            call.lose()
        elif call is not None and not call.effected:
            call.refuse()
        self._settle()

    @stateful.precondition(lambda self: any(g.calls for g in self.gates))
    @stateful.rule(index=INDEXES)
    def late_effect(self, index):
        for call in self.gates[index].calls:
            if call.answer.done():
                call.effect()
                break
        self._settle()

    @stateful.invariant()
    def one_holder_at_a_time(self):
        valid = [i for i in range(HOLDERS) if self.leases[i].valid()]
        assert len(valid) <= 1, valid
        for index in valid:
            fence = self.leases[index].fence
            newest = max(self.fences, default=0)
            assert fence >= newest
            assert self.fences.setdefault(fence, index) == index

    def teardown(self):
        for index in range(HOLDERS):
            self._work(index, ALL_EVENTS)
        assert not self.running
        self.loop.close()


LeaseMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=50,
)
LeaseMachineTest = LeaseMachine.TestCase


class TimingTest(unittest.IsolatedAsyncioTestCase):
    """Two holders whose calls are completed one by one by the test."""

    def setUp(self):
        self.now = 0.0
        self.gate = gated.Gate()
        rows = gated.GatedTable(self.gate)
        self.first, self.second = (
            lease.Lease(rows, NAME, owner, TTL_S, lambda: self.now)
            for owner in ('first', 'second')
        )

    async def next_call(self):
        await gated.settle()
        self.gate.drop_done()
        return next(c for c in self.gate.calls if not c.answer.done())

    async def complete_calls(self, count):
        for _ in range(count):
            call = await self.next_call()
            call.effect()
            call.deliver()
        await gated.settle()

    async def run_with_calls(self, lease_call, count):
        task = asyncio.create_task(lease_call)
        await self.complete_calls(count)
        return await task

    async def test_late_response(self):
        """An acquisition takes effect; its response arrives 0.85 s later.

        Others measure the TTL from when they read the write. A holder that
        measured it from the response would consider its lease valid after
        another process has taken it.
        """
        task = asyncio.create_task(self.first.acquire())
        await self.complete_calls(1)
        write = await self.next_call()
        write.effect()
        second_acquire = asyncio.create_task(self.second.acquire())
        await gated.settle()
        read = self.gate.calls[-1]
        read.effect()
        read.deliver()
        self.assertFalse(await second_acquire)
        self.now += 0.85 * TTL_S
        write.deliver()
        self.assertTrue(await task)
        self.assertTrue(self.first.valid())
        self.now += 0.2 * TTL_S
        self.assertTrue(await self.run_with_calls(self.second.acquire(), 2))
        self.assertFalse(self.first.valid())

    async def test_renewal_without_effect_extends_nothing(self):
        """A renewal is lost; reading back returns the previous write.

        That row is the holder's own, but others measure the TTL from when it
        was written. Mistaking it for the renewal would result in two holders.
        """
        self.assertTrue(await self.run_with_calls(self.first.acquire(), 2))
        self.assertFalse(await self.run_with_calls(self.second.acquire(), 1))
        self.now += 0.85 * TTL_S
        task = asyncio.create_task(self.first.renew())
        write = await self.next_call()
        write.lose()
        await self.complete_calls(1)
        self.assertTrue(await task)
        self.now += 0.2 * TTL_S
        self.assertTrue(await self.run_with_calls(self.second.acquire(), 2))
        self.assertFalse(self.first.valid())
        write.effect()
        self.assertTrue(await self.run_with_calls(self.second.renew(), 1))


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    """Leases with the platform stand-in and a fake clock."""

    async def asyncSetUp(self):
        self.now = 0.0
        self.standin = await standin.start(self, 'store')
        opened = await standin.open_clients(self, self.standin.url, 1.0)
        self.first, self.second = (
            lease.Lease(opened.table, NAME, owner, TTL_S, lambda: self.now)
            for owner in ('first', 'second')
        )

    async def test_renewed_lease_is_not_taken(self):
        self.assertTrue(await self.first.acquire())
        for _ in range(4):
            self.assertFalse(await self.second.acquire())
            self.now += 0.6 * TTL_S
            self.assertTrue(await self.first.renew())
        self.assertTrue(self.first.valid())

    async def test_released_lease_is_free_at_once(self):
        await self.first.acquire()
        await self.first.release()
        self.assertFalse(self.first.valid())
        self.assertTrue(await self.second.acquire())
        self.assertEqual(self.second.fence, 2)

    async def test_paused_holder_resumes(self):
        """A sidecar is paused, its lease expires and another one takes over.

        If the first continued after the pause, the engine would receive
        commands from both. Its own clock must be past the deadline when it
        resumes, so its lease is invalid, and its fence must be lower than that
        of the new holder.
        """
        await self.first.acquire()
        self.assertFalse(await self.second.acquire())
        self.now += TTL_S
        self.assertTrue(await self.second.acquire())
        self.assertFalse(self.first.valid())
        self.assertGreater(self.second.fence, self.first.fence)
        self.assertFalse(await self.first.renew())

    async def test_response_to_acquire_lost(self):
        """The store applies the acquisition, but its response is lost.

        A holder that did not recognize its own write would wait for a full TTL
        until it expired, and its upstream would receive no commands meanwhile.
        """
        self.standin.faults.switches.lose_answers = 1
        self.assertTrue(await self.first.acquire())
        self.assertTrue(self.first.valid())
        self.assertEqual(self.standin.faults.counts['lost'], 1)
        self.assertTrue(await self.first.renew())

    async def test_lease_expires_while_the_store_is_down(self):
        """The store fails and the holder cannot renew its lease.

        The lease must stay valid until its deadline, which precedes the time
        at which others may take it, and no longer.
        """
        await self.first.acquire()
        self.standin.faults.switches.down = True
        with self.assertRaises(error.PlatformUnavailableError):
            await self.first.renew()
        self.assertTrue(self.first.valid())
        self.now += TTL_S * (1 - lease.CLOCK_DRIFT_MARGIN)
        self.assertFalse(self.first.valid())


if __name__ == '__main__':
    unittest.main()
