"""Answers over links that break, and over slow and fast ones."""

from __future__ import annotations

import unittest

from quetzalsill.wire import message
from quetzalsill_sidecar import sweep
from tests.quetzalsill_sidecar import support


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Tokens come once and in order, whatever the link does."""

    async def asyncSetUp(self):
        self.engine, self.url = await self.enterAsyncContext(
            support.engine(costs=support.costs(0.004))
        )

    async def test_resume_has_neither_gaps_nor_doubles(self):
        """A clerk reads a plan with a hole, or with lines twice.

        The link breaks in mid-answer, twice; each time the router resumes
        at the item that it needs next, on another link.
        """
        async with support.sidecar(self.url) as sidecar:
            received: list[int] = []
            async with support.router(sidecar.port) as router:
                attempt = router.dispatch(tokens=120)
                await self.receive_items(router, attempt, received, 20)
            async with support.router(sidecar.port) as router:
                router.send(message.Resume(attempt, len(received), 30))
                await self.receive_items(router, attempt, received, 25)
            async with support.router(sidecar.port) as router:
                router.send(message.Resume(attempt, len(received), 500))
                messages = await router.receive_all(attempt)
                received += support.indexes(messages)
                self.assertEqual(messages[-1], message.Finished(attempt, 120))
        self.assertEqual(received, list(range(120)))
        self.assertEqual(len(self.engine.audit()['runs']), 1)

    async def test_answer_waits_for_its_acknowledgement(self):
        """A finished answer is lost with the link that carried its end."""
        async with support.sidecar(self.url) as sidecar:
            async with support.router(sidecar.port) as router:
                attempt = router.dispatch(tokens=10)
                await router.receive_all(attempt)
            async with support.router(sidecar.port) as router:
                router.send(message.Resume(attempt, 4, 100))
                messages = await router.receive_all(attempt)
                self.assertEqual(support.indexes(messages), list(range(4, 10)))
                self.assertIsInstance(messages[-1], message.Finished)
                router.send(message.Ack(attempt))
                router.send(message.Resume(attempt, 10, 100))
                answer = await router.receive(attempt)
        self.assertIsInstance(answer, message.Failed)
        self.assertEqual(answer.ran, 'yes')

    async def test_slow_reader_of_an_answer_that_has_ended(self):
        """A plan breaks off because the clerk's line is slow.

        The engine has ended it long ago, and the router still takes it item
        by item.
        """
        async with (
            support.sidecar(self.url, retention_s=0.1) as sidecar,
            support.router(sidecar.port) as router,
        ):
            attempt = router.dispatch(tokens=30, credit=5)
            known = sidecar.attempts.get
            await support.wait_until(
                lambda: known(attempt) and known(attempt).ended
            )
            sweep.sweep(sidecar, known(attempt).ended + 10.0)
            router.send(message.Credit(attempt, 5, 100))
            messages = await router.receive_all(attempt)
        self.assertEqual(support.indexes(messages), list(range(30)))
        self.assertIsInstance(messages[-1], message.Finished)

    async def test_slow_reader_holds_up_nobody(self):
        """Every handset waits for one clerk's stalled browser.

        One router link carries an answer whose reader gives no credit, and
        beside it one that is read at full speed.
        """
        async with (
            support.sidecar(self.url) as sidecar,
            support.router(sidecar.port) as router,
        ):
            slow = router.dispatch(tokens=60, credit=3)
            fast = router.dispatch(tokens=60)
            messages = await router.receive_all(fast)
            self.assertEqual(support.indexes(messages), list(range(60)))
            received: list[int] = []
            await self.receive_items(router, slow, received, 3)
            self.assertTrue(router.inbox(slow).empty())
            router.send(message.Credit(slow, 3, 100))
            received += support.indexes(await router.receive_all(slow))
        self.assertEqual(received, list(range(60)))

    async def test_queued_work_of_a_lost_router_never_starts(self):
        """A plan runs for a router that has sent it elsewhere since."""
        sidecar = await self.enterAsyncContext(
            support.sidecar(self.url, policies={'admission': 'one'})
        )
        async with support.router(sidecar.port) as keeper:
            running = keeper.dispatch(tokens=2000)
            await keeper.receive(running)
            async with support.router(sidecar.port) as lost:
                queued = lost.dispatch()
                while not sidecar.queue.queued:
                    await lost.receive_other(message.Load)
            while sidecar.queue.queued:
                await keeper.receive_other(message.Load)
            keeper.send(message.Cancel(running))
            await keeper.receive_all(keeper.dispatch())
        runs = [run['request_id'] for run in self.engine.audit()['runs']]
        self.assertNotIn(queued, runs)

    async def test_running_work_of_a_lost_router_ends_in_time(self):
        """Answers that nobody will read fill the engine's memory."""
        async with support.sidecar(self.url, orphan_s=0.3) as sidecar:
            async with support.router(sidecar.port) as router:
                attempt = router.dispatch(tokens=3000)
                await router.receive(attempt)
            async with support.router(sidecar.port) as other:
                while sidecar.queue.running:
                    await other.receive_other(message.Load)
        runs = self.engine.audit()['runs']
        self.assertTrue(runs[0]['cancelled'])

    async def receive_items(self, router, attempt, received, count):
        """Receives until at least `count` more items have come."""
        goal = len(received) + count
        while len(received) < goal:
            received += support.indexes([await router.receive(attempt)])


if __name__ == '__main__':
    unittest.main()
