"""Property-based tests of attempts over failing links and a fake sidecar."""

from __future__ import annotations

import asyncio
import collections
import itertools
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from quetzalsill.config import holder, model
from quetzalsill.wire import error as wire_error
from quetzalsill.wire import message
from quetzalsill_router.peer import backoff, peer
from tests.quetzalsill_router.peer import fake

TOTAL = 12
CALLER_EVENTS = ('withdraw', 'cancel', 'expire')
ROUNDS = 40
NEVER_S = 1e6


class FakeLink:
    """A link that carries messages only when the test delivers them."""

    def __init__(self, sidecar, quiet):
        self.peer = sidecar.welcome()
        self.closed = False
        self.up = collections.deque()
        self.down = collections.deque()
        self._quiet = quiet
        self._inbox = asyncio.Queue()
        sidecar.send = self.down.append

    def send_nowait(self, msg):
        if self.closed:
            raise wire_error.LinkClosedError
        self.up.append(msg)

    def probe(self):
        pass

    async def messages(self):
        while not self.closed:
            self._quiet.set()
            msg = await self._inbox.get()
            if msg is not None:
                yield msg
        raise wire_error.LinkClosedError

    def deliver(self, msg):
        self._quiet.clear()
        self._inbox.put_nowait(msg)

    def close(self):
        self.closed = True
        self._quiet.clear()
        self._inbox.put_nowait(None)

    def reject(self, exc):
        self.close()


class ResumeMachine(stateful.RuleBasedStateMachine):
    """Any order of lost, late, doubled and crossed messages.

    The caller sees each item once, in order, from one generation, and one
    terminal message; "not run" only if the engine never ran the attempt.
    """

    def __init__(self):
        super().__init__()
        patch = mock.patch.object(
            backoff, 'delays', lambda: itertools.repeat(0.0)
        )
        patch.start()
        self.patch = patch
        self.runner = asyncio.Runner()
        self.engine = fake.Engine(TOTAL)
        self.sidecar = fake.FakeSidecar(1, self.engine)
        self.items = []
        self.ends = []
        self.disturbed = False
        self.runner.run(self.begin())

    async def begin(self):
        self.peer = peer.Peer(
            'engine-1',
            model.Upstream('model', '127.0.0.1:1', 'dha-hall'),
            self.connect,
            holder.Holder(),
            NEVER_S,
            lambda revision, peer: None,
        )
        self.quiet = asyncio.Event()
        self.task = asyncio.create_task(self.peer.run())
        await self.settle()
        self.link.deliver(fake.load())
        await self.settle()
        self.attempt = self.peer.open(fake.dispatch(credit=2))

    async def connect(self, host, port, peer):
        self.link = FakeLink(self.sidecar, self.quiet)
        return self.link

    async def settle(self):
        """Waits until the peer is linked and has nothing left to read."""
        async with asyncio.timeout(20):
            await self.quiet.wait()

    def step(self):
        self.runner.run(self.settle())

    @stateful.rule(count=st.integers(1, 3))
    def sidecar_reads(self, count):
        for _ in range(min(count, len(self.link.up))):
            self.sidecar.take(self.link.up.popleft())

    @stateful.rule(count=st.integers(1, 3))
    def router_reads(self, count):
        for _ in range(count):
            if self.link.down:
                self.link.deliver(self.link.down.popleft())
                self.step()

    @stateful.rule()
    def engine_starts(self):
        self.sidecar.start_queued()

    @stateful.rule(count=st.integers(1, TOTAL))
    def engine_produces(self, count):
        for work in self.engine.work.values():
            work.made = min(work.total, work.made + count)
        self.sidecar.pump()

    @stateful.rule()
    def caller_reads(self):
        inbox = self.attempt._inbox
        while not inbox.empty():
            msg = self.runner.run(self.attempt.receive())
            if isinstance(msg, message.Chunk):
                self.items += msg.items
                self.attempt.grant(msg.seq + len(msg.items), len(msg.items))
            elif not isinstance(msg, message.Started | message.Running):
                self.ends.append(msg)

    @stateful.rule()
    def link_is_cut(self):
        self.link.close()
        self.step()

    @stateful.rule()
    def sidecar_restarts(self):
        self.sidecar = fake.FakeSidecar(
            self.sidecar.incarnation + 1, self.engine
        )
        self.link_is_cut()

    @stateful.precondition(lambda self: self.attempt.next_seq != TOTAL)
    @stateful.rule(event=st.sampled_from(('restart', *CALLER_EVENTS)))
    def engine_or_caller_ends_it(self, event):
        self.disturbed = True
        if event == 'restart':
            self.engine.restart()
        else:
            getattr(self.attempt, event)()

    @stateful.initialize(rounds=st.integers(0, 3))
    def the_answer_has_begun(self, rounds):
        for _ in range(rounds):
            self.all_go_on(True)

    @stateful.rule(caller_too=st.booleans())
    def all_go_on(self, caller_too):
        self.sidecar_reads(9)
        self.engine_starts()
        self.engine_produces(2)
        self.router_reads(9)
        if caller_too:
            self.caller_reads()

    @stateful.rule(first=st.integers(0, TOTAL))
    def an_answer_is_doubled_or_comes_too_early(self, first):
        work = self.engine.work.get(self.attempt.id)
        if work is None or first > work.made:
            return
        if first == TOTAL:
            self.link.deliver(message.Finished(self.attempt.id, TOTAL))
        else:
            items = work.items(first, min(work.made, first + 2))
            self.link.deliver(message.Chunk(self.attempt.id, first, items))
        self.step()

    @stateful.rule()
    def a_chunk_of_another_attempt_crosses(self):
        dropped = self.peer.dropped
        self.link.deliver(message.Chunk('other/1/1', 0, [b'9:0']))
        self.step()
        assert self.peer.dropped == dropped + 1

    @stateful.invariant()
    def items_are_of_one_generation_in_order(self):
        generations = {item.split(b':')[0] for item in self.items}
        assert len(generations) <= 1, self.items
        found = [int(item.split(b':')[1]) for item in self.items]
        assert found == [*range(len(found))], self.items
        assert len(self.engine.runs) <= 1

    def teardown(self):
        try:
            for _ in range(ROUNDS):
                self.sidecar_reads(9)
                self.engine_starts()
                self.engine_produces(TOTAL)
                self.router_reads(9)
                self.caller_reads()
            self.check_end()
        finally:
            self.task.cancel()
            self.runner.close()
            self.patch.stop()

    def check_end(self):
        self.items_are_of_one_generation_in_order()
        assert len(self.ends) == 1, self.ends
        end = self.ends[0]
        if not self.disturbed and self.engine.runs:
            assert isinstance(end, message.Finished), end
        if isinstance(end, message.Finished):
            assert len(self.items) == TOTAL
        if isinstance(end, message.Refused | message.Withdrawn):
            assert not self.items
            assert not self.engine.runs


ResumeMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)
ResumeTest = ResumeMachine.TestCase


class EventSequenceTest(unittest.TestCase):
    """Event sequences too rare to rely on random generation."""

    def setUp(self):
        self.machine = ResumeMachine()
        self.addCleanup(self.machine.teardown)

    def test_withdraw_while_a_recover_is_unanswered(self):
        """Work is dispatched a second time while the first run continues.

        The sidecar starts the work and fails before it sends Started. The
        router asks the new sidecar to recover the work and withdraws it as if
        it were still queued. "Withdrawn" would permit a second Dispatch.
        """
        machine = self.machine
        machine.disturbed = True
        machine.sidecar_reads(1)
        machine.engine_starts()
        machine.sidecar_restarts()
        machine.attempt.withdraw()
        machine.sidecar_reads(9)
        machine.router_reads(9)
        machine.caller_reads()
        self.assertEqual(machine.ends, [])

    def test_credit_of_a_recover_that_is_sent_twice(self):
        """An answer stops for good after its sidecar restarted.

        The link breaks again before the new sidecar's first item arrives.
        The sidecar counts the credit of the second Dispatch from the first
        unacknowledged item, exceeds it, and is disconnected repeatedly.
        """
        machine = self.machine
        machine.all_go_on(False)
        machine.sidecar_restarts()
        machine.caller_reads()
        machine.sidecar_reads(1)
        machine.engine_starts()
        machine.engine_produces(4)
        machine.sidecar_reads(1)
        machine.link_is_cut()
        machine.sidecar_reads(9)
        machine.engine_produces(TOTAL)
        link = machine.link
        machine.router_reads(9)
        self.assertIs(machine.link, link)

    def test_not_run_is_rejected_from_a_restarted_engine(self):
        """Work that ran is reported as "not run", and the caller repeats it.

        The host fails after its engine started the work and before Started is
        sent, and restarts; the new engine has no record of the work. Dispatch
        contains the engine's incarnation, so the sidecar can detect this.
        """
        machine = self.machine
        machine.disturbed = True
        machine.sidecar_reads(1)
        machine.engine_starts()
        machine.engine.restart()
        machine.sidecar_restarts()

    def test_credit_of_a_recover_that_was_not_received(self):
        """An answer stops for good after its sidecar restarted.

        The link breaks before the new sidecar reads the Dispatch. It counts
        the credit of the second Dispatch from 0, so the credit is used up
        before the items that are still missing.
        """
        machine = self.machine
        machine.all_go_on(True)
        machine.all_go_on(True)
        machine.sidecar_restarts()
        machine.link_is_cut()

    def test_withdraw_that_is_lost_with_its_link(self):
        machine = self.machine
        machine.sidecar_reads(1)
        machine.attempt.withdraw()
        machine.link_is_cut()
        machine.sidecar_reads(9)
        machine.router_reads(9)
        machine.caller_reads()
        self.assertEqual(machine.ends, [message.Withdrawn(machine.attempt.id)])

    def test_not_run_after_started_is_rejected(self):
        machine = self.machine
        machine.disturbed = True
        machine.all_go_on(False)
        machine.link.deliver(message.Refused(machine.attempt.id, 'x', '', 0))
        machine.step()
        machine.caller_reads()
        self.assertEqual(machine.ends[0].ran, 'yes')


if __name__ == '__main__':
    unittest.main()
