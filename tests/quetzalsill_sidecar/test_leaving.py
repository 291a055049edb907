"""Nothing new for an upstream that is leaving; nothing running is cut."""

from __future__ import annotations

import unittest

from quetzalsill.config import document
from quetzalsill.wire import message
from tests.quetzalsill_sidecar import support


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """One answer runs, one attempt waits, and a third comes later."""

    async def asyncSetUp(self):
        self.engine, url = await self.enterAsyncContext(
            support.engine(costs=support.costs(0.005))
        )
        self.sidecar = await self.enterAsyncContext(
            support.sidecar(url, policies={'admission': 'one'})
        )
        self.router = await self.enterAsyncContext(
            support.router(self.sidecar.port)
        )
        self.running = self.router.dispatch(tokens=100)
        self.assertIsInstance(
            await self.router.receive(self.running), message.Started
        )
        self.queued = self.router.dispatch()

    async def assert_only_running_ends(self):
        queued = await self.router.receive_all(self.queued)
        late = await self.router.receive_all(self.router.dispatch())
        for messages in (queued, late):
            self.assertEqual(
                [(type(msg), msg.code) for msg in messages],
                [(message.Refused, 'upstream_leaving')],
            )
        running = await self.router.receive_all(self.running)
        self.assertEqual(support.indexes(running), list(range(100)))
        self.assertIsInstance(running[-1], message.Finished)

    async def test_engine_says_that_it_is_leaving(self):
        """Work is sent to a reclaimed engine and cut off.

        The engine gets notice; the host list still calls it live.
        """
        self.engine.set_switches({'leaving': True})
        await self.router.receive_other(message.Leaving)
        await self.router.receive_other(message.GoAway)
        await self.assert_only_running_ends()

    async def test_shutdown_waits_for_running_work(self):
        """A deployment cuts a plan in mid-answer.

        SIGTERM comes twice while an answer streams.
        """
        self.sidecar.leave('shutting down')
        self.sidecar.leave('shutting down')
        await self.assert_only_running_ends()
        self.router.send(message.Ack(self.running))
        self.assertTrue(await self.sidecar.drained())

    async def test_drained_upstream_comes_back(self):
        """An upstream that was drained and undrained takes no work."""
        cfg = document.parse(support.configuration(admission='one'), 2)
        cfg.upstreams['ikeja-planner-1'] = support.upstream(draining=True)
        self.sidecar.configuration.install(document.render(cfg), 2)
        await self.assert_only_running_ends()
        cfg.upstreams['ikeja-planner-1'] = support.upstream(draining=False)
        self.sidecar.configuration.install(document.render(cfg), 3)
        messages = await self.router.receive_all(
            self.router.dispatch(revision=3)
        )
        self.assertIsInstance(messages[-1], message.Finished)


class RevisionTest(unittest.IsolatedAsyncioTestCase):
    """A Dispatch is judged under the revision that it was made under."""

    async def asyncSetUp(self):
        _, url = await self.enterAsyncContext(support.engine())
        self.sidecar = await self.enterAsyncContext(support.sidecar(url))

    async def test_newer_revision_is_fetched_before_judging(self):
        """An edit is in force at the router and ignored beside the engine."""
        async with support.router(self.sidecar.port) as router:
            attempt = router.dispatch(revision=2)
            await router.receive_other(message.ConfigFetch)
            self.assertTrue(router.inbox(attempt).empty())
            router.send(message.ConfigReply(2, support.configuration()))
            messages = await router.receive_all(attempt)
        self.assertIsInstance(messages[-1], message.Finished)
        self.assertEqual(self.sidecar.configuration.revision, 2)

    async def test_revision_that_cannot_be_had_is_not_run(self):
        async with support.router(self.sidecar.port) as router:
            messages = await router.receive_all(router.dispatch(revision=9))
        self.assertEqual(messages[-1].code, 'stale_revision')

    async def test_older_revision_is_refused(self):
        """A request is served under a profile that was edited away."""
        self.sidecar.configuration.install(support.configuration(), 2)
        async with support.router(self.sidecar.port) as router:
            messages = await router.receive_all(router.dispatch(revision=1))
            self.assertEqual(messages[-1].code, 'stale_revision')
            router.send(message.ConfigFetch(1))
            reply = await router.receive_other(message.ConfigReply)
        self.assertEqual(reply.revision, 2)


if __name__ == '__main__':
    unittest.main()
