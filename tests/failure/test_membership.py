"""A router follows upstreams that are added, removed or replaced."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from quetzalsill.settings import section
from quetzalsill.wire import dial, message
from quetzalsill_dev import board, process_settings
from tests.failure import fixture, harness, traffic
from tests.quetzalsill_sidecar import support

# In the router's availability zone, which it prefers.
TARGET = 'model-ikeja-hall-1'
LAG_S = 0.5
LINKS = {'silence_s': 1.0, 'idle_s': 0.3, 'connect_s': 0.5}
TOKENS = 200


class MembershipTest(fixture.SharedClusterTestCase):
    """One router, two engines and a service; the host list is delayed."""

    LAYOUT = board.board_layout(engines=2, services=1, routers=1)
    CHANGES = {
        # Answers in progress when the sidecar is killed wait for the new one,
        # which starts only after other steps of the test.
        'router': {
            'links': LINKS,
            'hosts_interval_s': 0.2,
            'requests': {'recover_s': 60.0},
        },
        'sidecar': {'link': LINKS},
    }

    async def restore(self):
        await self.cluster.switch(self.cluster.hosts, down=False, lag_s=LAG_S)
        await super().restore()
        await self.cluster.set_hosts()
        (self.router,) = self.cluster.routers.values()
        await traffic.wait_for_state([self.router], 'live')

    async def wait_for_target_state(self, state):
        """Waits until the router sees the target upstream in a state."""
        await traffic.wait_for_state([self.router], state, [TARGET])

    @contextlib.asynccontextmanager
    async def serving(self):
        """Applies continuous load; checks that each answer is complete."""
        async with traffic.Traffic([self.router]) as load:
            yield load
        load.assert_served(self)

    def count_started(self):
        """Number of attempts that the current sidecar has started."""
        return len(traffic.started_attempts(self.cluster.sidecars[TARGET]))

    async def assert_unused(self, load):
        """Checks that the target upstream gets no work under load.

        Requests sent to it before may still be in transit.
        """
        await load.wait_for_more()
        before = self.count_started()
        await load.wait_for_more()
        self.assertEqual(self.count_started(), before)

    async def wait_until_used(self):
        """Waits until the target upstream gets work again."""
        before = self.count_started()

        async def has_more():
            return self.count_started() > before

        await harness.wait_until(has_more)

    @fixture.on_cluster
    async def test_removed_and_added_by_an_edit(self):
        """An edit interrupts running answers, or is never noticed.

        An operator removes an engine with an answer in progress, under load,
        and adds it again.
        """
        requests = await traffic.start_until_running(
            self.cluster, self.router, TARGET, 'long', TOKENS
        )
        removed = self.cluster.configuration.upstreams.pop(TARGET)
        async with self.serving() as load:
            await self.cluster.publish('removed')
            await self.wait_for_target_state(None)
            await self.assert_unused(load)
            self.cluster.configuration.upstreams[TARGET] = removed
            await self.cluster.publish('added')
            await self.wait_until_used()
        for task, answer in requests:
            await task
            self.assertTrue(answer.is_complete, answer.error)

    @fixture.on_cluster
    async def test_host_list_says_leaving(self):
        """A host that only the host list reports as leaving still gets work.

        Its sidecar has no notice. The list then fails, and its last content
        stays in effect; when it recovers it lists the host as live.
        """
        async with self.serving() as load:
            await self.cluster.set_hosts(leaving=(TARGET,))
            await self.wait_for_target_state('leaving')
            await self.assert_unused(load)
            await self.cluster.switch(self.cluster.hosts, down=True)
            await traffic.wait_for_log(self.router, 'event=host_list_down')
            await self.assert_unused(load)
            await self.cluster.switch(self.cluster.hosts, down=False)
            await self.cluster.set_hosts()
            await self.wait_until_used()

    @fixture.on_cluster
    async def test_replaced_host_is_found_by_the_host_list(self):
        """A replacement host is idle until an operator edits its address.

        A sidecar is killed while the host list is down, and its replacement
        has another address than the configuration. The list recovers with
        the new address, and with the old host as leaving, which must not
        apply to the new one.
        """
        async with self.serving() as load:
            await self.cluster.switch(self.cluster.hosts, down=True)
            old = self.cluster.sidecars.pop(TARGET)
            old.kill()
            await self.wait_for_target_state('unlinked')
            # All clients of `load` may wait for the new sidecar, if their
            # answers were in progress at the old one; others must be served.
            async with self.serving() as others:
                await self.cluster.start_sidecar(TARGET)
                await self.assert_unused(others)
                await self.cluster.set_hosts(leaving=(TARGET,))
                await self.cluster.switch(self.cluster.hosts, down=False)
                await self.wait_for_target_state('live')
                await self.wait_until_used()
            await load.wait_for_more()
        self.assertNotEqual(self.cluster.sidecars[TARGET].port, old.port)

    @fixture.on_cluster
    async def test_new_incarnation_is_never_the_old_one(self):
        """Work for an old incarnation of a sidecar reaches the new one.

        A sidecar is paused in mid-answer and replaced; the router resumes the
        answers at the new one. The old one resumes and is ignored. A Dispatch
        for the old incarnation is refused by the new one.
        """
        requests = await traffic.start_until_running(
            self.cluster, self.router, TARGET, 'taken-up', TOKENS
        )
        old = self.cluster.sidecars.pop(TARGET)
        before = await self.incarnation()
        self.addCleanup(old.kill)
        old.stop()
        await self.cluster.start_sidecar(TARGET)
        await self.cluster.set_hosts()

        async def replaced():
            return await self.incarnation() not in (0, before)

        await harness.wait_until(replaced)
        old.cont()
        for task, answer in requests:
            await task
            self.assertTrue(answer.is_complete, answer.error)
            self.assertEqual(len(answer.texts), TOKENS)
        self.assertEqual(await self.send_late_dispatch(before), 'superseded')
        run_ids = [run['request_id'] for run in await self.runs()]
        self.assertNotIn('late', run_ids)
        started_before = traffic.started_attempts(old)
        async with self.serving():
            await self.wait_until_used()
        self.assertEqual(traffic.started_attempts(old), started_before)

    async def incarnation(self):
        """Incarnation of the target sidecar that the router knows."""
        return (await traffic.sidecar_nodes(self.router))[TARGET]['incarnation']

    async def runs(self):
        """Runs of the target engine."""
        return (await self.cluster.audit(TARGET))['runs']

    async def send_late_dispatch(self, incarnation):
        """Sends a Dispatch for an incarnation; returns the refusal code."""
        node = (await traffic.sidecar_nodes(self.router))[TARGET]
        hello = message.Hello(
            message.VERSION,
            'late',
            1,
            process_settings.CREDENTIAL,
            'ikeja-hall',
            node['revision'],
        )
        late = support.make_dispatch(
            incarnation,
            attempt='late',
            model=board.MODEL,
            revision=node['revision'],
        )
        port = self.cluster.sidecars[TARGET].port
        link = await dial.dial('127.0.0.1', port, hello, section.LinkTiming())
        link.send_nowait(late)
        async with asyncio.timeout(harness.TIMEOUT_S):
            async for msg in link.messages():
                if isinstance(msg, message.Started | message.Refused):
                    break
        link.close()
        return getattr(msg, 'code', 'started')


if __name__ == '__main__':
    unittest.main()
