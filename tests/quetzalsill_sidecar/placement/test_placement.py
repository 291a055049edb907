"""Tests of commands, and of the rows and slots that hold them back."""

from __future__ import annotations

import asyncio
import types
import unittest
import unittest.mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from quetzalsill.config import model
from quetzalsill.platform import error as platform_error
from quetzalsill.platform import lease
from quetzalsill_dev.platform_standin import table as standin_table
from quetzalsill_sidecar import error, settings
from quetzalsill_sidecar.placement import loaded, placer, plan, slot
from quetzalsill_sidecar.upstream import engine
from tests.quetzalsill.platform import gated

NAMES = ('ikeja-1', 'apapa-1')
MODEL = 'plan'
TTL_S = 2.0
INDEXES = st.integers(0, len(NAMES) - 1)


class OpenGate:
    """Answers each call at once."""

    async def call(self, apply, is_write):
        await asyncio.sleep(0)
        return apply()


class UnloadMachine(stateful.RuleBasedStateMachine):
    """Sidecars that all want the same model out, over a slow, lossy store."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.gates = [gated.Gate() for _ in NAMES]
        shared = standin_table.Rows()
        self.rows = [
            loaded.LoadedRows(
                gated.GatedTable(gate, shared), name, 0.0, lambda: 0.0
            )
            for gate, name in zip(self.gates, NAMES, strict=True)
        ]
        self.loaded = [True for _ in NAMES]
        self.running = {}

    async def step(self, index):
        """What a placer does: confirm, ask, unload, which may come late."""
        rows, others = self.rows[index], NAMES[:index] + NAMES[index + 1 :]
        await rows.confirm([MODEL] if self.loaded[index] else [])
        if self.loaded[index] and await rows.take_out(MODEL, others):
            await self.gates[index].call(lambda: self.unload(index), False)

    def unload(self, index):
        self.loaded[index] = False

    def settle(self):
        self.loop.run_until_complete(gated.settle())
        for gate in self.gates:
            gate.drop_done()
        for index in [i for i, task in self.running.items() if task.done()]:
            exc = self.running.pop(index).exception()
            assert exc is None or isinstance(exc, platform_error.PlatformError)

    def calls(self, index):
        return [c for c in self.gates[index].calls if not c.answer.done()]

    def work(self, index, events):
        for _ in range(events):
            for call in self.calls(index)[:1]:
                call.deliver() if call.effected else call.effect()
                self.settle()

    @stateful.rule(index=INDEXES, events=st.sampled_from([1, 2, 3, 5, 20]))
    def go_on(self, index, events):
        if index not in self.running:
            self.running[index] = self.loop.create_task(self.step(index))
            self.settle()
        self.work(index, events)

    @stateful.rule(index=INDEXES)
    def load(self, index):
        if index not in self.running:
            self.loaded[index] = True

    @stateful.rule(index=INDEXES)
    def lose(self, index):
        for call in self.calls(index)[:1]:
            if call._is_write:
                call.lose()
                self.settle()

    @stateful.invariant()
    def one_is_left(self):
        assert any(self.loaded)

    def teardown(self):
        for index in range(len(NAMES)):
            self.work(index, 50)
        self.loop.close()


UnloadMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)
UnloadMachineTest = UnloadMachine.TestCase


class PlacementTest(unittest.IsolatedAsyncioTestCase):
    """Plans, slots, and the checks before a command is sent."""

    async def asyncSetUp(self):
        self.rows = gated.GatedTable(OpenGate())

    def test_plan(self):
        """Loads come first, so that a model is unloaded only after its load."""
        wanted = model.Upstream('model', 'x:1', 'z', models=['a', 'b'])
        wanted.adapters = ['x']
        report = engine.EngineReport(
            models=['a', 'c'], adapters=['y'], role='decode'
        )
        found = [(o.kind, o.name) for o in plan.commands(wanted, report)]
        expected = [
            ('load_model', 'b'),
            ('load_adapter', 'x'),
            ('set_role', 'mixed'),
            ('unload_adapter', 'y'),
            ('unload_model', 'c'),
        ]
        self.assertEqual(found, expected)

    async def test_slots_bound_the_loads(self):
        """Many engines that start at once overload the weight store."""
        loading = []

        async def load(name):
            slots = slot.Slots(self.rows, name, 60.0)
            while (taken := await slots.acquire(2)) is None:  # noqa: ASYNC110
                await asyncio.sleep(0)
            loading.append(name)
            self.assertLessEqual(len(loading), 2)
            for _ in range(20):
                await asyncio.sleep(0)
            loading.remove(name)
            await taken.release()

        async with asyncio.timeout(20):
            await asyncio.gather(*(load(f'm-{n}') for n in range(9)))

    async def test_row_of_a_dead_upstream_does_not_count(self):
        """The last copy of a model is unloaded as a dead upstream lists it."""
        here, there = (
            loaded.LoadedRows(self.rows, name, 0.0, lambda: 0.0)
            for name in NAMES[:2]
        )
        for one in (here, there):
            await one.confirm([MODEL])
        for _ in range(3):
            self.assertFalse(await here.take_out(MODEL, NAMES[1:]))
        await there.confirm([MODEL])
        self.assertTrue(await here.take_out(MODEL, NAMES[1:]))

    async def send_after(self, interrupt):
        """Calls `interrupt` while a connection is opened for a command."""
        sent = []

        class Engine:
            async def report(self):
                return engine.EngineReport(role='mixed')

            async def send_command(self, kind, name, fence, timeout_s, check):
                interrupt()
                check()
                sent.append((kind, name, fence))
                raise error.ResponseLostError('not read back here')

        tested = self.placer(Engine())
        head = {'revision': 4, 'edit': 'e', 'author': 'a', 'at': 'now'}
        self.rows.rows.transact(
            [], [standin_table.Write('config', 'head', head)]
        )
        with self.assertRaises(error.ExchangeError) as caught:
            await tested._step()
        return sent, caught.exception

    def placer(self, served):
        """Returns a placer whose engine is configured for another role."""
        cfg = model.Configuration(revision=4)
        cfg.upstreams[NAMES[0]] = model.Upstream(
            'model', 'x:1', 'z', role='decode'
        )
        self.holder = types.SimpleNamespace(current=cfg, revision=4)
        sidecar = types.SimpleNamespace(
            settings=types.SimpleNamespace(
                upstream=types.SimpleNamespace(name=NAMES[0]),
                node=types.SimpleNamespace(name=NAMES[0]),
                placement=settings.Placement(lease_s=TTL_S),
            ),
            incarnation=1,
            runner=types.SimpleNamespace(engine=served),
            leaving=types.SimpleNamespace(refusal_reason=lambda: ''),
            configuration=self.holder,
        )
        platform = types.SimpleNamespace(table=self.rows, objects=None)
        return placer.Placer(sidecar, platform)

    def slot_version(self):
        return self.rows.rows.get('lease', 'load-slot/0').version

    async def test_a_long_load_keeps_its_slot(self):
        """Loads that outlast the slots' TTL overload the weight store."""
        slots = slot.Slots(self.rows, NAMES[0], TTL_S)
        taken = await slots.acquire(1)
        async with (
            asyncio.timeout(20 * TTL_S),
            self.placer(None)._renewing([taken]),
        ):
            while self.slot_version() < 4:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        self.assertTrue(taken.valid())

    async def test_order_after_a_pause_is_withheld(self):
        """An engine gets a role that was configured before a pause.

        The sidecar is paused right before it sends the command, until its
        lease has expired and its successor has sent another one; or a newer
        revision arrives during the pause.
        """
        sent, exc = await self.send_after(lambda: None)
        self.assertEqual(sent, [('set_role', 'decode', 4)])
        self.assertIsInstance(exc, error.ResponseLostError)
        now = lease.suspend_aware_clock()
        expired_clock = unittest.mock.patch.object(
            lease.time, 'clock_gettime', lambda _: now + 60
        )
        self.addCleanup(unittest.mock.patch.stopall)

        def install_newer_revision():
            self.holder.revision = 5

        for interrupt in (install_newer_revision, expired_clock.start):
            with self.subTest(interrupt):
                self.rows = gated.GatedTable(OpenGate())
                sent, exc = await self.send_after(interrupt)
                self.assertEqual(sent, [])
                self.assertIsInstance(exc, error.OrderWithheldError)


if __name__ == '__main__':
    unittest.main()
