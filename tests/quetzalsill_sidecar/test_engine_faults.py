"""The engine, or the connection to it, fails in mid-answer."""

from __future__ import annotations

import unittest
from unittest import mock

from quetzalsill.wire import message
from quetzalsill_dev.engine_standin import engine as engine_standin
from quetzalsill_sidecar.upstream import generate, http
from tests.quetzalsill_sidecar import support


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A relay stands between sidecar and engine."""

    async def asyncSetUp(self):
        self.engine, url = await self.enterAsyncContext(
            support.engine(costs=support.costs(0.005))
        )
        self.relay = await support.start_relay(url)
        self.addAsyncCleanup(self.relay.stop)
        self.sidecar = await self.enterAsyncContext(
            support.sidecar(
                support.url_of(self.relay), stall_s=0.4, resume_s=0.6
            )
        )
        self.router = await self.enterAsyncContext(
            support.router(self.sidecar.port)
        )

    async def start_streaming(self, **changes) -> tuple[str, list[int]]:
        """Dispatches; gives the attempt and the first indexes received."""
        attempt = self.router.dispatch(**changes)
        received: list[int] = []
        while not received:
            received += support.indexes([await self.router.receive(attempt)])
        return attempt, received

    async def assert_resumes(self, attempt, received, tokens):
        messages = await self.router.receive_all(attempt)
        received += support.indexes(messages)
        self.assertEqual(received, list(range(tokens)))
        self.assertIsInstance(messages[-1], message.Finished)
        self.assertEqual(len(self.engine.audit()['runs']), 1)

    async def test_cut_connection_is_resumed(self):
        """A plan breaks off though its engine goes on making it.

        The connection between sidecar and engine is reset in mid-answer,
        and once more after the answer was resumed.
        """
        attempt, received = await self.start_streaming(tokens=150)
        for _ in range(2):
            self.relay.cut()
            goal = len(received) + 20
            while len(received) < goal:
                msg = await self.router.receive(attempt)
                received += support.indexes([msg])
        await self.assert_resumes(attempt, received, 150)

    async def test_silent_connection_is_replaced(self):
        """An answer hangs for ever while others stream.

        Something between the ends loses track of the connection: it stays
        open, nothing arrives any more, and new connections work.
        """
        attempt, received = await self.start_streaming(tokens=100)
        self.relay.silence()
        await self.assert_resumes(attempt, received, 100)

    async def test_request_lost_on_its_way_is_proved_gone(self):
        """A plan is called lost, is begun elsewhere, and runs here too.

        The request is written to a connection that has gone silent; it may
        still arrive after the engine said that it knows nothing of it.
        """
        self.relay.up.silent = True
        attempt = self.router.dispatch()
        self.assertIsInstance(
            await self.router.receive(attempt), message.Started
        )
        self.relay.up.silent = False
        messages = await self.router.receive_all(attempt)
        self.assertEqual(messages[-1].code, 'upstream_failed')
        self.assertTrue(messages[-1].gone)
        with self.assertRaises(engine_standin.ForbiddenRequestError):
            support.start_on_engine(self.engine, attempt)

    async def test_engine_out_of_reach_is_given_up_and_cancelled_later(self):
        """A clerk waits until the deadline for an engine that is gone."""
        attempt, _ = await self.start_streaming(tokens=3000)
        self.relay.refusing = True
        self.relay.cut()
        messages = await self.router.receive_all(attempt)
        self.assertEqual(messages[-1].code, 'upstream_failed')
        self.assertFalse(messages[-1].gone)
        self.relay.refusing = False
        while self.sidecar.queue.running:
            await self.router.receive_other(message.Load)
        self.assertTrue(self.engine.audit()['runs'][0]['cancelled'])


class CrashTest(unittest.IsolatedAsyncioTestCase):
    """A fault of the sidecar's own program."""

    async def test_attempt_ends_and_leaves_its_place(self):
        """A caller waits for its deadline, and the queue for ever."""
        async with (
            support.engine() as (_, url),
            support.sidecar(url) as sidecar,
            support.router(sidecar.port) as router,
        ):
            with mock.patch.object(generate, 'run', side_effect=KeyError):
                messages = await router.receive_all(router.dispatch())
            self.assertEqual(messages[-1].code, 'request_failed')
            self.assertEqual(messages[-1].ran, 'unknown')
            while sidecar.queue.running:
                await router.receive_other(message.Load)
            messages = await router.receive_all(router.dispatch())
            self.assertIsInstance(messages[-1], message.Finished)
            self.assertFalse(sidecar.runner.task_count)


class DeadEngineTest(unittest.IsolatedAsyncioTestCase):
    """The engine process ends in mid-answer."""

    async def start_then_stop_engine(self, refused_s: float) -> None:
        """Begins an answer and ends the engine behind it."""
        async with support.engine(costs=support.costs(0.005)) as (_, url):
            self.port = http.Origin.parse(url).port
            sidecar = await self.enterAsyncContext(
                support.sidecar(url, resume_s=60.0, refused_s=refused_s)
            )
            self.router = await self.enterAsyncContext(
                support.router(sidecar.port)
            )
            self.attempt = self.router.dispatch(tokens=3000)
            received: list[int] = []
            while not received:
                msg = await self.router.receive(self.attempt)
                received += support.indexes([msg])

    async def test_generation_of_a_replaced_engine_is_gone(self):
        """A plan ends in the tokens of another generation.

        The engine dies in mid-answer and another takes its address.
        """
        await self.start_then_stop_engine(refused_s=60.0)
        async with support.engine(port=self.port):
            messages = await self.router.receive_all(self.attempt)
        self.assertEqual(messages[-1].code, 'upstream_failed')
        self.assertTrue(messages[-1].gone)

    async def test_dead_engine_is_given_up_before_a_lost_one(self):
        """A clerk waits a minute for an engine whose process is dead."""
        await self.start_then_stop_engine(refused_s=0.3)
        messages = await self.router.receive_all(self.attempt)
        self.assertEqual(messages[-1].code, 'upstream_failed')
        self.assertFalse(messages[-1].gone)


if __name__ == '__main__':
    unittest.main()
