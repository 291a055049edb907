"""A new sidecar takes up what the engine still runs."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.wire import message
from quetzalsill_dev.engine_standin import engine as engine_standin
from quetzalsill_dev.engine_standin import generation
from quetzalsill_dev.testing import pause
from tests.quetzalsill_sidecar import support

ORPHAN_S = 0.4


class RecoverTest(unittest.IsolatedAsyncioTestCase):
    """The sidecar process dies; its engine may live on."""

    async def asyncSetUp(self):
        self.engine, self.url = await self.enterAsyncContext(
            support.engine(costs=support.costs(0.005))
        )

    async def start_and_stop_sidecar(self) -> str:
        """Gives an attempt that the engine runs and whose sidecar is gone."""
        async with (
            support.sidecar(self.url) as sidecar,
            support.router(sidecar.port) as router,
        ):
            attempt = router.dispatch(tokens=80)
            while not support.indexes([await router.receive(attempt)]):
                pass
        return attempt

    async def recover(self, attempt: str, url: str, **changes):
        """Dispatches a recovery to a new sidecar; gives the answer."""
        changes = {'engine': self.engine.incarnation, **changes}
        async with (
            support.sidecar(url) as sidecar,
            support.router(sidecar.port) as router,
        ):
            router.dispatch(attempt=attempt, recover=True, **changes)
            return await router.receive_all(attempt)

    async def test_running_generation_is_attached_to(self):
        """A day's plan is lost, or begun a second time.

        The sidecar is killed in mid-answer and restarted; the router asks
        the new one for the same attempt.
        """
        attempt = await self.start_and_stop_sidecar()
        messages = await self.recover(attempt, self.url)
        self.assertEqual(support.indexes(messages), list(range(80)))
        self.assertEqual(len(support.generations(messages)), 1)
        self.assertIsInstance(messages[-1], message.Finished)
        self.assertEqual(len(self.engine.audit()['runs']), 1)

    async def test_taken_over_while_the_sidecar_is_paused(self):
        """A plan is lost with a router, though another has taken it over.

        The sidecar wakes to the new router's Dispatch, and past the time that
        it waits for the old one.
        """
        loop = asyncio.get_running_loop()
        async with support.sidecar(self.url, orphan_s=ORPHAN_S) as sidecar:
            async with support.router(sidecar.port) as lost:
                attempt = lost.dispatch(tokens=300)
                while not support.indexes([await lost.receive(attempt)]):
                    pass
            async with support.router(sidecar.port) as router:
                router.dispatch(
                    attempt=attempt,
                    recover=True,
                    engine=self.engine.incarnation,
                )
                # Behind the write of the Dispatch, which follows this tick.
                loop.call_soon(pause.pause, 2 * ORPHAN_S)
                messages = await router.receive_all(attempt)
        self.assertIsInstance(messages[-1], message.Finished)

    async def test_taken_over_too_late(self):
        """A caller is told that its plan was cancelled, which nobody did."""
        async with support.sidecar(self.url, orphan_s=ORPHAN_S) as sidecar:
            async with support.router(sidecar.port) as lost:
                attempt = lost.dispatch(tokens=2000)
                while not support.indexes([await lost.receive(attempt)]):
                    pass
            await support.wait_until(lambda: not sidecar.queue.running)
            async with support.router(sidecar.port) as router:
                router.dispatch(
                    attempt=attempt,
                    recover=True,
                    engine=self.engine.incarnation,
                )
                messages = await router.receive_all(attempt)
        self.assertIsInstance(messages[-1], message.Failed)
        self.assertEqual(messages[-1].code, 'upstream_failed')

    async def test_link_cut_again_before_the_engine_is_read(self):
        """A plan fails though its engine goes on with it.

        The sidecar was replaced, and the link to the new one is cut before
        it has read from the engine what the router had from the old one.
        """
        attempt = await self.start_and_stop_sidecar()
        async with (
            support.sidecar(self.url) as sidecar,
            support.router(sidecar.port) as router,
        ):
            engine = self.engine.incarnation
            router.dispatch(attempt=attempt, recover=True, engine=engine)
            router.send(message.Resume(attempt, 1, 500))
            messages = await router.receive_all(attempt)
        self.assertEqual(support.indexes(messages), list(range(80)))
        self.assertIsInstance(messages[-1], message.Finished)

    async def test_work_that_never_arrived_is_forbidden_and_not_run(self):
        """A brief called "not run" is billed after all.

        The old sidecar died with the request still in its socket; the new
        one finds nothing, says "not run", and the request arrives then.
        """
        attempt = 'entry-1/7/lost-1'
        messages = await self.recover(attempt, self.url)
        self.assertIsInstance(messages[-1], message.Refused)
        with self.assertRaises(engine_standin.ForbiddenRequestError):
            support.start_on_engine(self.engine, attempt)

    async def test_restarted_engine_proves_nothing(self):
        """A brief that ran on an engine that died is called "not run"."""
        messages = await self.recover('entry-1/7/lost-2', self.url, engine=1)
        self.assertIsInstance(messages[-1], message.Failed)
        self.assertEqual(messages[-1].ran, 'unknown')

    async def test_an_engine_that_tells_no_start_proves_nothing(self):
        """A brief is made twice.

        Its engine was restarted, and tells no start of its own. Neither start
        is known, the one at the Dispatch nor the one now; that both are
        unknown was taken for one and the same, and the brief for not run.
        """
        self.engine.incarnation = 0
        messages = await self.recover('entry-1/7/lost-3', self.url, engine=0)
        self.assertIsInstance(messages[-1], message.Failed)
        self.assertEqual(messages[-1].ran, 'unknown')

    async def test_what_ended_here_is_not_called_not_run(self):
        """A plan is made twice.

        It ended at this sidecar, which remembers that. Another router takes it
        over and asks for it; the engine has forgotten what it made. That the
        engine knows nothing was believed over the sidecar's own memory.
        """
        async with (
            support.sidecar(self.url) as sidecar,
            support.router(sidecar.port) as router,
        ):
            attempt = router.dispatch()
            messages = await router.receive_all(attempt)
            self.assertIsInstance(messages[-1], message.Finished)
            router.send(message.Ack(attempt))
            self.engine._generations = generation.Generations()
            engine = self.engine.incarnation
            router.dispatch(attempt=attempt, recover=True, engine=engine)
            messages = await router.receive_all(attempt)
        self.assertIsInstance(messages[-1], message.Failed)
        self.assertNotEqual(messages[-1].ran, 'no')

    async def test_recovery_is_tried_anew_once_the_engine_is_back(self):
        """A plan is given up though its engine made it to the end.

        The engine can't be reached at the first recovery; the router asks
        again, and must not be given the old answer.
        """
        attempt = await self.start_and_stop_sidecar()
        relay = await support.start_relay(self.url)
        self.addAsyncCleanup(relay.stop)
        relay.refusing = True
        async with (
            support.sidecar(support.url_of(relay), resume_s=0.3) as sidecar,
            support.router(sidecar.port) as router,
        ):
            sent = {'attempt': attempt, 'recover': True}
            router.dispatch(**sent)
            first = await router.receive_all(attempt)
            self.assertEqual(first[-1].ran, 'unknown')
            relay.refusing = False
            router.dispatch(**sent)
            messages = await router.receive_all(attempt)
        self.assertEqual(support.indexes(messages), list(range(80)))

    async def test_other_router_takes_up_a_durable_answer_from_its_start(self):
        """A clerk gets the second half of a plan.

        The router that owned the request dies after it has acknowledged
        some items; another takes over under a higher fence.
        """
        async with support.sidecar(self.url) as sidecar:
            changes = {'profile': 'patient', 'request': 'plan'}
            async with support.router(sidecar.port) as first:
                attempt = first.dispatch(tokens=60, fence=1, **changes)
                while not support.indexes([await first.receive(attempt)]):
                    pass
                first.send(message.Credit(attempt, 1, 1))
            async with support.router(sidecar.port) as second:
                second.dispatch(
                    attempt=attempt, recover=True, fence=2, **changes
                )
                messages = await second.receive_all(attempt)
        self.assertEqual(support.indexes(messages), list(range(60)))

    async def test_answer_that_was_acknowledged_is_had_again(self):
        """A plan is made, and its clerk is told that it is lost.

        The router that had the whole answer dies before it has stored it;
        the sidecar has dropped it, but the engine has not.
        """
        async with support.sidecar(self.url) as sidecar:
            changes = {'profile': 'patient', 'request': 'plan'}
            async with support.router(sidecar.port) as first:
                attempt = first.dispatch(tokens=60, fence=1, **changes)
                await first.receive_all(attempt)
                first.send(message.Ack(attempt))
                await first.receive_all(first.dispatch())
            async with support.router(sidecar.port) as second:
                second.dispatch(
                    attempt=attempt,
                    recover=True,
                    fence=2,
                    engine=self.engine.incarnation,
                    **changes,
                )
                messages = await second.receive_all(attempt)
        self.assertEqual(support.indexes(messages), list(range(60)))

    async def test_answer_that_is_partly_dropped_is_not_begun_in_mid_stream(
        self,
    ):
        """Every request on a link stalls, again and again.

        A router dies after its caller took part of a streamed brief; the one
        that asks what became of it gets items from the middle, takes that
        for a broken protocol and drops the link, each time it asks.
        """
        async with support.sidecar(self.url) as sidecar:
            async with support.router(sidecar.port) as first:
                attempt = first.dispatch(tokens=60, fence=1, request='brief')
                while not support.indexes([await first.receive(attempt)]):
                    pass
                first.send(message.Credit(attempt, 1, 1))
            async with support.router(sidecar.port) as second:
                second.dispatch(
                    attempt=attempt, recover=True, fence=2, request='brief'
                )
                messages = await second.receive_all(attempt)
        self.assertEqual(support.indexes(messages), [])
        self.assertEqual(messages[-1].ran, 'yes')


if __name__ == '__main__':
    unittest.main()
