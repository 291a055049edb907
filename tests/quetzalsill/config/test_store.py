"""Tests of `quetzalsill.config.store`."""

from __future__ import annotations

import asyncio
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from quetzalsill.config import revision, store
from quetzalsill.platform import error
from tests.quetzalsill.platform import gated, standin

TIMEOUT_S = 0.4
OPERATORS = 3


class _Edit:
    """An edit that is published once or several times.

    Attributes:
      sendings: How many times it was published.
      doubtful: Its outcome was reported as unknown: it may still take effect.
      refused: It was reported that it will never take effect.
    """

    def __init__(self, name):
        self.name = name
        self.document = f'document of {name}'.encode()
        self.sendings = 0
        self.doubtful = False
        self.refused = False


class PublishMachine(stateful.RuleBasedStateMachine):
    """Racing operators over a store that loses and delays what it likes."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.now = 0.0
        self.gate = gated.Gate()
        self.table = gated.GatedTable(self.gate)
        self.objects = gated.GatedObjects(self.gate)
        self.store = store.ConfigStore(
            self.table, self.objects, 1.0, lambda: self.now, self._sleep
        )
        self.edits = []
        self.running = {}
        self.line = []

    async def _sleep(self, duration_s):
        self.now += duration_s

    def _settle(self):
        self.loop.run_until_complete(gated.settle())
        self.gate.drop_done()
        for task in [task for task in self.running if task.done()]:
            self._check_outcome(self.running.pop(task), task)

    def _start(self, edit, expected):
        edit.refused = False
        edit.sendings += 1
        task = self.loop.create_task(
            self.store.publish(
                edit.document, expected, edit.name, 'operator', 'note'
            )
        )
        self.running[task] = edit
        self._settle()

    def _check_outcome(self, edit, task):
        self._read_line()
        accepted = [name for name, _ in self.line]
        try:
            number = task.result()
        except (store.RevisionConflictError, error.PlatformUnavailableError):
            assert edit.sendings > 1 or edit.name not in accepted
            is_last = edit not in self.running.values() and not edit.doubtful
            edit.refused = is_last and edit.name not in accepted
        except store.OutcomeUnknownEditError:
            edit.doubtful = True
        else:
            assert self.line[number - 1] == (edit.name, edit.document)

    def _read_line(self):
        """Reads the revisions; those seen before must stand unchanged."""
        row = self.table.rows.get('config', 'head')
        head = revision.parse_head(row.value) if row else revision.Head()
        rows = self.table.rows.scan('config', 'revision/')
        entries = [revision.parse_revision(row.value) for row in rows]
        numbers = [entry.revision for entry in entries]
        assert numbers == list(range(1, head.revision + 1))
        line = [
            (entry.edit, self.objects.objects[entry.document])
            for entry in entries
        ]
        assert line[: len(self.line)] == self.line
        assert len(line) <= len(self.line) + 1
        assert not line or line[-1][0] == head.edit
        self.line = line

    def _waiting(self, data, predicate):
        calls = [call for call in self.gate.calls if predicate(call)]
        if not calls:
            return None
        return calls[data.draw(st.integers(0, len(calls) - 1))]

    @stateful.precondition(lambda self: len(self.running) < OPERATORS)
    @stateful.rule(behind=st.sampled_from([0, 0, 0, 1]))
    def edit(self, behind):
        edit = _Edit(f'edit-{len(self.edits)}')
        self.edits.append(edit)
        self._start(edit, max(0, len(self.line) - behind))

    @stateful.precondition(
        lambda self: self.edits and len(self.running) < OPERATORS
    )
    @stateful.rule(data=st.data(), behind=st.sampled_from([0, 0, 1]))
    def send_again(self, data, behind):
        edit = data.draw(st.sampled_from(self.edits))
        self._start(edit, max(0, len(self.line) - behind))

    @stateful.rule(count=st.integers(1, 4))
    def work_well(self, count):
        for call in self.gate.calls[:count]:
            if not call.effected:
                call.effect()
            if not call.answer.done():
                call.deliver()
            self._settle()

    @stateful.rule(data=st.data(), answered=st.booleans())
    def take_effect(self, data, answered):
        call = self._waiting(data, lambda call: not call.effected)
        if call is None:
            return
        call.effect()
        if answered and not call.answer.done():
            call.deliver()
        self._settle()

    @stateful.rule(
        data=st.data(), fault=st.sampled_from(['none', 'lose', 'refuse'])
    )
    def answer(self, data, fault):
        call = self._waiting(data, lambda call: not call.answer.done())
        if call is None:
            return
        if call.effected and fault == 'none':
            call.deliver()
        elif not call.effected and fault == 'refuse':
            call.refuse()
        else:
            call.lose()
        self._settle()

    @stateful.invariant()
    def one_line_of_revisions(self):
        self._read_line()
        accepted = [name for name, _ in self.line]
        assert len(set(accepted)) == len(accepted)
        for edit in self.edits:
            assert not (edit.refused and edit.name in accepted), edit.name

    def teardown(self):
        while self.gate.calls:
            call = self.gate.calls[0]
            if not call.effected:
                call.effect()
            if not call.answer.done():
                call.deliver()
            self._settle()
            self.one_line_of_revisions()
        assert not self.running
        self.loop.close()


PublishMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)
PublishTest = PublishMachine.TestCase


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """The store with the platform stand-in, over real connections."""

    async def asyncSetUp(self):
        self.standin = await standin.start(self, 'all')
        self.clients = await standin.open_clients(
            self, self.standin.url, TIMEOUT_S
        )
        self.store = store.ConfigStore(self.clients.table, self.clients.objects)
        self.switches = self.standin.faults.switches
        self.counts = self.standin.faults.counts

    async def publish(self, name, expected):
        return await self.store.publish(
            name.encode(), expected, name, 'ada', 'why'
        )

    def after_put(self, action):
        """Runs an action after an edit's document is stored."""
        put = self.clients.objects.put

        async def put_then_act(*args):
            await put(*args)
            action()

        self.clients.objects.put = put_then_act

    async def test_publishes_loads_and_lists(self):
        self.assertEqual((await self.store.head()).revision, 0)
        for number in range(1, 4):
            name = f'edit-{number}'
            self.assertEqual(await self.publish(name, number - 1), number)
        self.assertEqual(await self.store.load(2), b'edit-2')
        history = await self.store.history(2)
        self.assertEqual(
            [entry.edit for entry in history], ['edit-3', 'edit-2']
        )
        with self.assertRaises(store.RevisionMissingError):
            await self.store.load(4)

    async def test_three_racing_operators(self):
        """Three operators publish different edits of revision 0 concurrently.

        Exactly one edit is accepted; the two others fail with the current
        revision. Without the condition on the head's version the last write
        would silently overwrite the others.
        """
        outcomes = await asyncio.gather(
            *(self.publish(f'edit-{i}', 0) for i in range(3)),
            return_exceptions=True,
        )
        conflicts = [
            exc.current
            for exc in outcomes
            if isinstance(exc, store.RevisionConflictError)
        ]
        self.assertEqual(conflicts, [1, 1])
        winner = outcomes.index(1)
        self.assertEqual(await self.store.load(1), f'edit-{winner}'.encode())

    async def test_response_lost_after_the_write(self):
        """An edit is accepted, but the store's response is lost.

        It must be reported as accepted, not as failed: if the operator sent it
        again as a new edit, it would conflict with its own revision. The
        responses to the write of the document and to that of the head are
        lost here.
        """
        self.switches.lose_answers = 1
        self.assertEqual(await self.publish('first', 0), 1)
        self.after_put(lambda: setattr(self.switches, 'lose_answers', 1))
        self.assertEqual(await self.publish('second', 1), 2)
        self.assertEqual(self.counts['lost'], 2)
        self.assertEqual(self.counts['conflict'], 1)

    async def test_write_that_takes_effect_late(self):
        """A slow store applies an edit after the call has timed out.

        The head is still unchanged after the timeout; reporting the edit as
        rejected at this point would be wrong.
        """
        self.after_put(lambda: setattr(self.switches, 'slow_s', 2 * TIMEOUT_S))
        task = asyncio.create_task(self.publish('slow', 0))
        async with asyncio.timeout(10):
            while not self.counts['row_written']:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.switches.slow_s = 0.0
        self.assertEqual(await task, 1)
        self.assertEqual((await self.store.head()).edit, 'slow')

    async def test_store_down(self):
        """An operator publishes an edit while the store is down.

        The call must report that nothing was accepted, and the same edit must
        succeed after the store has recovered.
        """
        self.switches.down = True
        with self.assertRaises(error.PlatformUnavailableError):
            await self.publish('patient', 0)
        self.switches.down = False
        self.assertEqual(await self.publish('patient', 0), 1)

    async def test_store_fails_permanently_during_an_edit(self):
        """The store fails after the head is written, before it responds.

        The outcome must be reported as unknown, together with the edit's id;
        publishing the same edit again returns the final outcome.
        """

        def lose_then_disconnect():
            self.switches.lose_answers = 1
            transact = self.clients.table.transact

            async def transact_then_disconnect(*args):
                try:
                    return await transact(*args)
                finally:
                    self.switches.reset = True

            self.clients.table.transact = transact_then_disconnect

        self.after_put(lose_then_disconnect)
        short_store = store.ConfigStore(
            self.clients.table, self.clients.objects, publish_timeout_s=0.3
        )
        with self.assertRaises(store.OutcomeUnknownEditError) as caught:
            await short_store.publish(b'x', 0, 'edit-x', 'ada', '')
        self.assertIn('edit-x', caught.exception.detail)
        self.switches.reset = False
        again = await self.store.publish(b'x', 0, 'edit-x', 'ada', '')
        self.assertEqual(again, 1)

    async def test_edit_id_used_for_another_document(self):
        await self.publish('edit', 0)
        with self.assertRaises(store.EditReusedError):
            await self.store.publish(b'other', 1, 'edit', 'ada', '')


if __name__ == '__main__':
    unittest.main()
