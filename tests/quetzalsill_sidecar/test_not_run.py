"""A refusal means not run, whatever order messages come in."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.wire import message
from tests.quetzalsill_sidecar import support

SLOW = support.costs(0.02)


def run_ids(engine) -> list[str]:
    return [run['request_id'] for run in engine.audit()['runs']]


class NotRunTest(unittest.IsolatedAsyncioTestCase):
    """Refused and Withdrawn are true, and stay true."""

    async def asyncSetUp(self):
        self.engine, url = await self.enterAsyncContext(
            support.engine(costs=SLOW)
        )
        self.sidecar = await self.enterAsyncContext(support.sidecar(url))
        self.router = await self.enterAsyncContext(
            support.router(self.sidecar.port)
        )

    async def test_dispatch_that_arrives_after_its_withdrawal_is_refused(self):
        """A brief is billed twice.

        The router gives an attempt up over a new link and sends the brief
        elsewhere; its Dispatch was stuck on the way and arrives only now.
        """
        late = support.make_dispatch(self.router.incarnation)
        self.router.send(message.Withdraw(late.attempt))
        answer = await self.router.receive(late.attempt)
        self.assertIsInstance(answer, message.Withdrawn)
        self.router.send(late)
        answer = await self.router.receive(late.attempt)
        self.assertIsInstance(answer, message.Withdrawn)
        await self.barrier()
        self.assertNotIn(late.attempt, run_ids(self.engine))

    async def test_refused_dispatch_stays_refused(self):
        """A refused order is served after all.

        The router was told "not run" and moved on; the same Dispatch comes
        again when the cause of the refusal is over.
        """
        sent = support.make_dispatch(self.router.incarnation, queue_ms=-1)
        for _ in range(2):
            self.router.send(sent)
            answer = await self.router.receive(sent.attempt)
            self.assertIsInstance(answer, message.Refused)
            sent.queue_ms = 30_000
        await self.barrier()
        self.assertNotIn(sent.attempt, run_ids(self.engine))

    async def test_burst_at_an_idle_engine_is_taken(self):
        """Handsets get "overloaded" from an engine that has nothing to do.

        Two queries arrive in one read of the link. While the second is
        judged the first still waits for the end of the loop's turn, and
        counts as a queue before an engine that makes long answers.
        """
        await self.router.receive_all(self.router.dispatch())
        burst = [self.router.dispatch(queue_ms=0) for _ in range(3)]
        for attempt in burst:
            messages = await self.router.receive_all(attempt)
            self.assertIsInstance(messages[-1], message.Finished)

    async def test_repeated_dispatch_runs_once(self):
        """A plan is made twice.

        A router repeats a Dispatch because the link broke before any answer
        came; the first had arrived.
        """
        sent = support.make_dispatch(self.router.incarnation)
        self.router.send(sent)
        self.router.send(sent)
        messages = await self.router.receive_all(sent.attempt)
        self.assertIsInstance(messages[-1], message.Finished)
        self.assertEqual(run_ids(self.engine).count(sent.attempt), 1)

    async def test_started_attempt_is_never_called_not_run(self):
        """A plan that is being made is sent to a second engine.

        The router withdraws an attempt at the moment when it starts.
        """
        attempt = self.router.dispatch(tokens=50)
        self.assertIsInstance(
            await self.router.receive(attempt), message.Started
        )
        self.router.send(message.Withdraw(attempt))
        messages = await self.router.receive_all(attempt)
        kinds = {type(msg) for msg in messages}
        self.assertIn(message.Running, kinds)
        self.assertFalse(kinds & {message.Withdrawn, message.Refused})
        self.assertIsInstance(messages[-1], message.Finished)

    async def test_resume_of_an_unknown_attempt_forbids_it(self):
        """A request that the router has given up runs late.

        The link broke with the Dispatch still in it; the router asks on the
        new link, is told "not run", and the Dispatch arrives then.
        """
        late = support.make_dispatch(self.router.incarnation)
        self.router.send(message.Resume(late.attempt, 0, 100))
        answer = await self.router.receive(late.attempt)
        self.assertIsInstance(answer, message.Refused)
        self.router.send(late)
        answer = await self.router.receive(late.attempt)
        self.assertIsInstance(answer, message.Refused)

    async def test_lower_fence_is_refused(self):
        """Two routers run one durable plan.

        The first owner was paused, its request was taken over with a higher
        fence, and it wakes and dispatches as if it still owned it.
        """
        owner = self.router.dispatch(request='plan', fence=5)
        await self.router.receive_all(owner)
        paused = self.router.dispatch(request='plan', fence=4)
        answer = await self.router.receive(paused)
        self.assertIsInstance(answer, message.Refused)
        self.assertEqual(answer.code, 'superseded')
        self.assertEqual(run_ids(self.engine), [owner])

    async def test_dispatch_for_another_incarnation_is_refused(self):
        attempt = self.router.dispatch(incarnation=12)
        answer = await self.router.receive(attempt)
        self.assertEqual(
            (type(answer), answer.code), (message.Refused, 'superseded')
        )

    async def test_cancel_stops_the_engine(self):
        attempt = self.router.dispatch(tokens=3000)
        await self.router.receive(attempt)
        self.router.send(message.Cancel(attempt))
        messages = await self.router.receive_all(attempt)
        self.assertEqual(messages[-1].code, 'cancelled')
        self.assertEqual(messages[-1].ran, 'yes')
        await self.wait_cancelled_on_engine(attempt)

    async def test_deadline_stops_the_engine(self):
        attempt = self.router.dispatch(tokens=3000, remaining_ms=300)
        messages = await self.router.receive_all(attempt)
        self.assertEqual(messages[-1].code, 'deadline_exceeded')
        self.assertEqual(messages[-1].ran, 'yes')
        await self.wait_cancelled_on_engine(attempt)

    async def barrier(self):
        """Returns once everything sent before has been acted on."""
        await self.router.receive_all(self.router.dispatch(tokens=1))

    async def wait_cancelled_on_engine(self, attempt):
        async with asyncio.timeout(support.TIMEOUT_S):
            while not self.is_cancelled(attempt):
                await self.sidecar.runner.engine.report()

    def is_cancelled(self, attempt):
        return any(
            run['request_id'] == attempt and run['cancelled']
            for run in self.engine.audit()['runs']
        )


class UnreachableEngineTest(unittest.IsolatedAsyncioTestCase):
    """No engine listens."""

    async def test_connection_that_never_opened_is_not_run(self):
        """A shopkeeper's query is called "unknown" though nothing was sent."""
        async with (
            support.sidecar('http://127.0.0.1:9') as sidecar,
            support.router(sidecar.port) as router,
        ):
            messages = await router.receive_all(router.dispatch())
        self.assertEqual([type(m) for m in messages], [message.Refused])


if __name__ == '__main__':
    unittest.main()
