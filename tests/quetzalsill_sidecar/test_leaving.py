"""A leaving upstream gets no new work; running work is completed."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.config import document
from quetzalsill.wire import message
from quetzalsill_dev import relay
from tests.quetzalsill_sidecar import support

LINK_DELAY_S = 0.4
# Just under LINK_DELAY_S: the router does not yet know of the shutdown.
DISPATCH_DELAY_S = 0.3
# Writes that arrive while the refusal is in transit, after a sidecar that waits
# only for the first echo of the router would have exited.
WRITES = 2
WRITE_INTERVAL_S = 0.18
RECONNECT_DELAY_S = 0.3
# Shorter than a sidecar waits for a router that may reconnect.
STOP_TIMEOUT_S = 4.0


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """One attempt is running, one is queued, and a third arrives later."""

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
        """A leaving engine gets no new work, which would be cut off.

        The engine has notice of its reclamation, while the host list still
        reports it as live.
        """
        self.engine.set_switches({'leaving': True})
        await self.router.receive_other(message.Leaving)
        await self.router.receive_other(message.GoAway)
        await self.assert_only_running_ends()

    async def test_shutdown_waits_for_running_work(self):
        """A shutdown does not cut off a running answer.

        SIGTERM arrives twice while the answer streams.
        """
        self.sidecar.leave('shutting down')
        self.sidecar.leave('shutting down')
        await self.assert_only_running_ends()
        self.router.send(message.Ack(self.running))
        self.assertTrue(await self.sidecar.wait_drained())

    async def test_drained_upstream_comes_back(self):
        """An upstream accepts work again after it is undrained."""
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
    """A router has a slow link to a sidecar that shuts down."""

    async def test_refusal_on_its_way_while_the_sidecar_ends(self):
        """A refusal must not be lost when the sidecar exits.

        A leaving sidecar refuses a Dispatch and exits. The refusal is still in
        transit when the router writes again: the write reaches a closed
        connection, which is reset and drops the refusal. The caller would get
        an unknown outcome.
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
        """Shuts a sidecar down as its process does."""
        await shut_down(sidecar)


class LostLinkTest(unittest.IsolatedAsyncioTestCase):
    """A router loses its link while the sidecar exits, and reconnects."""

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
        """Cuts the link and asks for the outcome of an attempt on another."""
        self.relay.cut()
        shutdown = asyncio.create_task(shut_down(self.sidecar))
        await asyncio.sleep(RECONNECT_DELAY_S)
        async with support.router(self.relay.port) as reconnected:
            reconnected.send(message.Resume(attempt, 0, 10))
            answer = await reconnected.receive(attempt)
            self.assertIsInstance(answer, message.Refused)
            await shutdown

    async def test_work_that_waits_is_refused_while_the_link_is_down(self):
        """An attempt that never ran must not get an unknown outcome.

        The sidecar refuses it while no router is connected; it must not exit
        before the router is back.
        """
        # The attempt waits for a configuration that does not exist.
        waiting = self.router.dispatch(revision=9)
        await support.wait_until(lambda: self.sidecar.attempts.get(waiting))
        await self.assert_not_run(waiting)

    async def test_refusal_is_lost_with_the_link(self):
        """A refused attempt must not get an unknown outcome."""
        self.relay.delay(LINK_DELAY_S)
        refused = self.router.dispatch(revision=0)
        tombstones = self.sidecar.attempts.tombstones
        await support.wait_until(lambda: tombstones.find(refused))
        await self.assert_not_run(refused)

    async def test_order_is_lost_with_the_link(self):
        """A Dispatch that never arrived must not get an unknown outcome."""
        self.relay.delay(LINK_DELAY_S)
        await self.assert_not_run(self.router.dispatch())

    async def test_router_that_has_sent_go_away_is_not_waited_for(self):
        self.router.send(message.GoAway('shutting down'))
        await asyncio.sleep(RECONNECT_DELAY_S)
        self.router.link.close()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await shut_down(self.sidecar)


async def shut_down(sidecar):
    """Shuts a sidecar down as its process does."""
    sidecar.leave('shutting down')
    await sidecar.wait_drained()
    await sidecar.stop()


class RevisionTest(unittest.IsolatedAsyncioTestCase):
    """A Dispatch is checked against the revision that it was made under."""

    async def asyncSetUp(self):
        _, url = await self.enterAsyncContext(support.engine())
        self.sidecar = await self.enterAsyncContext(support.sidecar(url))

    async def test_newer_revision_is_fetched_before_judging(self):
        """An edit that is active at the router is not ignored here."""
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
        """A request is not served under a profile that was since edited."""
        self.sidecar.configuration.install(support.configuration(), 2)
        async with support.router(self.sidecar.port) as router:
            messages = await router.receive_all(router.dispatch(revision=1))
            self.assertEqual(messages[-1].code, 'stale_revision')
            router.send(message.ConfigFetch(1))
            reply = await router.receive_other(message.ConfigReply)
        self.assertEqual(reply.revision, 2)


if __name__ == '__main__':
    unittest.main()
