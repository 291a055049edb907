"""Nothing new for an upstream that is leaving; nothing running is cut."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.config import document
from quetzalsill.wire import message
from quetzalsill_dev import relay
from tests.quetzalsill_sidecar import support

LINK_DELAY_S = 0.4
# The last moment at which a router does not know yet that the sidecar leaves.
DISPATCH_DELAY_S = 0.3
# Writes that reach a sidecar which ends on hearing that the router knows, while
# the refusal is on its way.
WRITES = 2
WRITE_INTERVAL_S = 0.18
RECONNECT_DELAY_S = 0.3
# Less than a sidecar waits for a router that may come back.
STOP_TIMEOUT_S = 4.0


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
        self.assertTrue(await self.sidecar.wait_drained())

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


class RefusalInTransitTest(unittest.IsolatedAsyncioTestCase):
    """A router with a slow link to a sidecar that ends."""

    async def test_refusal_on_its_way_while_the_sidecar_ends(self):
        """A shop is told that nobody knows what became of its order.

        The order meets a sidecar that is leaving; it is refused, and the
        sidecar ends. The refusal is still on its way when the router writes
        again: that write meets a closed connection, which is reset, and the
        refusal is lost with it.
        """
        _, url = await self.enterAsyncContext(support.engine())
        sidecar = await self.enterAsyncContext(support.sidecar(url))
        proxy = relay.Relay('127.0.0.1', sidecar.port)
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        router = await self.enterAsyncContext(support.router(proxy.port))
        proxy.delay(LINK_DELAY_S)
        shutdown = asyncio.create_task(self.shut_down(sidecar))
        await asyncio.sleep(DISPATCH_DELAY_S)
        refused = router.dispatch()
        for _ in range(WRITES):
            await asyncio.sleep(WRITE_INTERVAL_S)
            router.send(message.Withdraw(refused))
        answer = await router.receive(refused)
        self.assertIsInstance(answer, message.Refused)
        await shutdown

    async def shut_down(self, sidecar):
        """Ends a sidecar as its process does."""
        await shut_down(sidecar)


class LostLinkTest(unittest.IsolatedAsyncioTestCase):
    """A router loses its link as the sidecar ends, and dials again."""

    async def asyncSetUp(self):
        _, url = await self.enterAsyncContext(support.engine())
        self.sidecar = await self.enterAsyncContext(support.sidecar(url))
        self.relay = relay.Relay('127.0.0.1', self.sidecar.port)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.stop)
        self.router = await self.enterAsyncContext(
            support.router(self.relay.port)
        )

    async def assert_not_run(self, attempt):
        """Cuts the link and asks on another what became of an attempt."""
        self.relay.cut()
        shutdown = asyncio.create_task(shut_down(self.sidecar))
        await asyncio.sleep(RECONNECT_DELAY_S)
        async with support.router(self.relay.port) as reconnected:
            reconnected.send(message.Resume(attempt, 0, 10))
            answer = await reconnected.receive(attempt)
            self.assertIsInstance(answer, message.Refused)
            await shutdown

    async def test_work_that_waits_is_refused_while_the_link_is_down(self):
        """An order that never ran gets "outcome unknown".

        Its sidecar refuses it, to nobody, and ends before its router is back.
        """
        # It waits for a configuration that nobody has.
        waiting = self.router.dispatch(revision=9)
        await support.wait_until(lambda: self.sidecar.attempts.get(waiting))
        await self.assert_not_run(waiting)

    async def test_refusal_is_lost_with_the_link(self):
        """An order that was refused gets "outcome unknown"."""
        self.relay.delay(LINK_DELAY_S)
        refused = self.router.dispatch(revision=0)
        tombstones = self.sidecar.attempts.tombstones
        await support.wait_until(lambda: tombstones.find(refused))
        await self.assert_not_run(refused)

    async def test_order_is_lost_with_the_link(self):
        """An order that never arrived gets "outcome unknown"."""
        self.relay.delay(LINK_DELAY_S)
        await self.assert_not_run(self.router.dispatch())

    async def test_router_that_has_sent_go_away_is_not_waited_for(self):
        self.router.send(message.GoAway('shutting down'))
        await asyncio.sleep(RECONNECT_DELAY_S)
        self.router.link.close()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await shut_down(self.sidecar)


async def shut_down(sidecar):
    """Ends a sidecar as its process does."""
    sidecar.leave('shutting down')
    await sidecar.wait_drained()
    await sidecar.stop()


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
