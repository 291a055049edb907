"""A new sidecar recovers generations that the engine still runs."""

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
    """The sidecar process dies; its engine may keep running."""

    async def asyncSetUp(self):
        self.engine, self.url = await self.enterAsyncContext(
            support.engine(costs=support.costs(0.005))
        )

    async def start_and_stop_sidecar(self) -> str:
        """Returns an attempt whose engine runs and whose sidecar is gone."""
        async with (
            support.sidecar(self.url) as sidecar,
            support.router(sidecar.port) as router,
        ):
            attempt = router.dispatch(tokens=80)
            while not support.indexes([await router.receive(attempt)]):
                pass
        return attempt

    async def recover(self, attempt: str, url: str, **changes):
        """Dispatches a recovery to a new sidecar; returns the messages."""
        changes = {'engine': self.engine.incarnation, **changes}
        async with (
            support.sidecar(url) as sidecar,
            support.router(sidecar.port) as router,
        ):
            router.dispatch(attempt=attempt, recover=True, **changes)
            return await router.receive_all(attempt)

    async def test_running_generation_is_attached_to(self):
        """A recovered generation is neither lost nor started again.

        The sidecar is killed during the answer and restarted. The router
        asks the new one for the same attempt.
        """
        attempt = await self.start_and_stop_sidecar()
        messages = await self.recover(attempt, self.url)
        self.assertEqual(support.indexes(messages), list(range(80)))
        self.assertEqual(len(support.generations(messages)), 1)
        self.assertIsInstance(messages[-1], message.Finished)
        self.assertEqual(len(self.engine.audit()['runs']), 1)

    async def test_taken_over_while_the_sidecar_is_paused(self):
        """A request taken over during a pause must not be dropped.

        When the sidecar wakes up, the new router's Dispatch has arrived, but
        the orphan timeout of the old router has expired, too.
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
                # Scheduled after the write of the Dispatch in this iteration.
                loop.call_soon(pause.pause, 2 * ORPHAN_S)
                messages = await router.receive_all(attempt)
        self.assertIsInstance(messages[-1], message.Finished)

    async def test_taken_over_too_late(self):
        """Work stopped as an orphan is reported as failed, not cancelled."""
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
        """A resume beyond the items read so far must not fail.

        The sidecar was replaced, and the link to the new one is cut before it
        has read from the engine the items that the router already has. The
        engine is still running the generation.
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
        """A request reported as "not run" must not run later.

        The old sidecar died with the request still in its socket. The new
        one finds nothing and reports "not run"; then the request arrives.
        """
        attempt = 'entry-1/7/lost-1'
        messages = await self.recover(attempt, self.url)
        self.assertIsInstance(messages[-1], message.Refused)
        with self.assertRaises(engine_standin.ForbiddenRequestError):
            support.start_on_engine(self.engine, attempt)

    async def test_restarted_engine_proves_nothing(self):
        """A request that ran on a dead engine is not reported as "not run"."""
        messages = await self.recover('entry-1/7/lost-2', self.url, engine=1)
        self.assertIsInstance(messages[-1], message.Failed)
        self.assertEqual(messages[-1].ran, 'unknown')

    async def test_an_engine_that_tells_no_start_proves_nothing(self):
        """An engine without an incarnation proves nothing about a request.

        The engine was restarted and reports no incarnation. The incarnation is
        unknown both at the Dispatch and now. Comparing the two unknown values
        as equal reported the request as not run, so it was run twice.
        """
        self.engine.incarnation = 0
        messages = await self.recover('entry-1/7/lost-3', self.url, engine=0)
        self.assertIsInstance(messages[-1], message.Failed)
        self.assertEqual(messages[-1].ran, 'unknown')

    async def test_what_ended_here_is_not_called_not_run(self):
        """An attempt known to have run is not reported as "not run".

        It ended at this sidecar, which has a record of it. Another router
        takes the request over and recovers it; the engine has dropped the
        generation. The sidecar believed the engine over its own record, so the
        request was run twice.
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
        """A recovery is retried after the engine was unreachable.

        The engine can't be reached at the first recovery, but has completed
        the answer. The router asks again and must not get the old result.
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
        """The successor of a router gets the whole answer, not its end.

        The router that owned the request dies after it has acknowledged some
        items; another takes over with a higher fence.
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
        """An acknowledged answer can still be recovered from the engine.

        The router dies after it received the whole answer and before it stored
        it. The sidecar has dropped the answer, but the engine has not.
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
        """A new owner must not get an answer that starts in the middle.

        A router dies after its caller has read part of a streamed answer. Its
        successor would receive items from the middle, treat that as a protocol
        error and drop the link each time it asks, which stalls all requests on
        the link.
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
