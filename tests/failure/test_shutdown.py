"""A graceful shutdown interrupts nothing and logs what is unfinished."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev import board, caller
from tests.failure import fixture, harness, traffic

ENGINE = 'model-ikeja-hall-1'
ENGINES = (ENGINE, 'model-apapa-hall-2')
APP = 'app-ikeja-hall-1'
TOKENS = 100
SHORT_TOKENS = 30
PLANS = 12
GRACE_S = 1.0
REFUSED = 503


class ShutdownTest(fixture.SharedClusterTestCase):
    """Two routers, two engines and one service."""

    LAYOUT = board.board_layout(engines=2, services=1, routers=2)
    CHANGES = {
        'router': {'requests': {'credit_items': 8}},
        'sidecar': {'bounds': {'running': 4}, 'link': {'silence_s': 4.0}},
    }

    async def restore(self):
        for name in self.cluster.upstreams:
            slow = {'delay_s': 0} if name == APP else {'stall': False}
            await self.cluster.switch(self.cluster.upstreams[name], **slow)
        await super().restore()
        self.first, self.second = self.cluster.routers.values()
        await traffic.wait_for_state([self.first, self.second], 'live')

    @fixture.on_cluster
    async def test_nothing_is_cut(self):
        """A deployment interrupts requests in progress.

        A router with streams, an order and queued plans, a sidecar with half
        of these, and the service's sidecar get SIGTERM together, repeatedly.
        All requests get complete answers, and then all three processes exit.
        """
        service = self.cluster.upstreams[APP]
        await self.cluster.switch(service, delay_s=1.5)
        order = asyncio.create_task(harness.send_order(self.first, 'in-flight'))
        streams = [
            traffic.start_generation(self.first, f'stream-{number}', TOKENS)
            for number in range(4)
        ]
        plans = [
            traffic.start_generation(
                self.first, f'plan-{number}', TOKENS, 'patient'
            )
            for number in range(PLANS)
        ]
        await traffic.wait_until_running(self.cluster, ENGINE, 4)
        await harness.wait_until_ran(self.cluster, 'in-flight')
        stopping = [
            self.first,
            self.cluster.sidecars[ENGINE],
            self.cluster.sidecars[APP],
        ]
        for process in stopping * 2:
            process.terminate()
        await traffic.wait_for_log(stopping[0], 'event=router_stopping')
        position = await traffic.wait_for_log(stopping[1], 'event=leaving')
        await traffic.wait_for_log(stopping[2], 'event=leaving')
        await harness.wait_until(self.is_shutting_down)
        for process in stopping:
            process.terminate()
        self.assertTrue((await order).succeeded)
        for task, answer in streams + plans:
            await task
            self.assertEqual(answer.status, 200, answer.error)
            self.assertTrue(answer.is_complete, answer)
            self.assertEqual(len(answer.texts), TOKENS)
        for process in stopping:
            self.assertEqual(await process.wait(), 0)
        self.assertEqual(traffic.started_attempts(stopping[1], position), [])
        self.assertNotIn('connections_cut', self.first.log_text())
        run_counts = await harness.count_runs(self.cluster)
        self.assertEqual(
            (run_counts.count('in-flight'), run_counts.count('late')), (1, 0)
        )

    async def is_shutting_down(self):
        """Whether the first router refuses new work as it is shutting down.

        Until then the order is refused because its only service is leaving.
        """
        self.assertEqual(await traffic.readiness(self.first), REFUSED)
        result = await harness.send_order(self.first, 'late')
        self.assertTrue(result.not_run, result)
        return result.code == 'shutting_down'

    @fixture.on_cluster
    async def test_a_kept_connection_leads_to_a_stopping_router(self):
        """Guards against callers that are refused for the whole grace."""
        task, answer = traffic.start_generation(self.first, 'long', TOKENS)
        await harness.wait_until(lambda: self.has_tokens(answer))
        token = board.TOKENS['retailers']
        async with caller.open_client(self.first.url, token) as client:
            before = await client.get('/v1/requests/unknown')
            self.assertNotEqual(before.headers.get('connection'), 'close')
            self.first.terminate()
            await traffic.wait_for_log(self.first, 'event=router_stopping')
            await harness.wait_until(self.is_unready)
            after = await client.get('/v1/requests/unknown')
        self.assertEqual(after.headers.get('connection'), 'close')
        await task
        self.assertTrue(answer.is_complete, answer.error)
        self.assertEqual(await self.first.wait(), 0)

    @fixture.on_cluster
    async def test_sidecar_waits_for_a_paused_router(self):
        """A finished answer is lost between sidecar and router.

        A router with a flow-control credit of 8 tokens is paused in
        mid-answer until its link times out. The engine finishes the answer
        and the sidecar gets SIGTERM; it runs until the router has resumed and
        received the rest.
        """
        task, answer = traffic.start_generation(
            self.first, 'paused', SHORT_TOKENS
        )
        await harness.wait_until(lambda: self.has_tokens(answer))
        self.first.stop()
        sidecar = await self.find_sidecar('paused')
        sidecar.terminate()
        position = await traffic.wait_for_log(sidecar, 'event=leaving')
        await harness.wait_until(
            lambda: self.log_contains(
                sidecar, position, 'event=attempt_finished'
            )
        )
        await harness.wait_until(
            lambda: self.log_contains(
                sidecar,
                position,
                f'event=router_unlinked router={self.router_name()}',
            )
        )
        self.first.cont()
        await task
        self.assertTrue(answer.is_complete, (answer.error, len(answer.texts)))
        self.assertEqual(len(answer.texts), SHORT_TOKENS)
        self.assertEqual(await sidecar.wait(), 0)

    async def is_unready(self):
        """Whether the first router has asked the balancer to leave it out."""
        return await traffic.readiness(self.first) == REFUSED

    def router_name(self):
        """Name of the first router."""
        return self.first.name

    async def has_tokens(self, answer):
        """Whether the answer has more than one token."""
        return len(answer.texts) > 1

    async def log_contains(self, process, position, parts):
        """Whether a log line after the position contains all the parts."""
        expected = parts.split()
        lines = process.log_text()[position:].splitlines()
        return any(all(word in line for word in expected) for line in lines)

    async def find_sidecar(self, name):
        """Returns the sidecar whose engine runs the prompt of this name."""
        expected = traffic.digest(name, SHORT_TOKENS)
        for upstream, runs in (
            await traffic.runs_by_upstream(self.cluster)
        ).items():
            if any(run['prompt_digest'] == expected for run in runs):
                return self.cluster.sidecars[upstream]
        raise AssertionError(name)

    @fixture.on_cluster
    async def test_bound_of_the_wait(self):
        """A process never exits after SIGTERM and logs no reason.

        Engines stall with queries and a plan in progress; a router and then a
        sidecar get SIGTERM. After the grace period they log what is unfinished
        and exit; the plan is answered through the other router.
        """
        await self.restart_with_short_grace()
        for name in ENGINES:
            await self.cluster.switch(self.cluster.upstreams[name], stall=True)
        query, result = traffic.start_generation(self.first, 'hangs', TOKENS)
        plan, _ = traffic.start_generation(
            self.first, 'plan', TOKENS, 'patient', key='hanging-plan'
        )
        await traffic.wait_until_sent(self.cluster, TOKENS, 'hangs', 'plan')
        self.first.terminate()
        self.assertEqual(await self.first.wait(), 0)
        await asyncio.gather(query, plan, return_exceptions=True)
        self.assertTrue(
            result.error is None or result.error['error']['not_run'] is not True
        )
        lines = [
            line
            for line in self.first.log_text().splitlines()
            if 'event=request_unfinished' in line
        ]
        self.assertEqual(len(lines), 2)
        self.assertTrue(all('upstream=model-' in line for line in lines))
        sidecars = [self.cluster.sidecars[name] for name in ENGINES]
        before = [len(traffic.started_attempts(each)) for each in sidecars]
        stalled = [
            traffic.start_generation(self.second, f'held-{number}', TOKENS)
            for number in range(4)
        ]

        async def find_busy_sidecar():
            for sidecar, count in zip(sidecars, before, strict=True):
                if len(traffic.started_attempts(sidecar)) > count:
                    return sidecar
            return None

        sidecar = await harness.wait_until(find_busy_sidecar)
        sidecar.terminate()
        self.assertEqual(await sidecar.wait(), 0)
        self.assertIn('event=attempt_unfinished', sidecar.log_text())
        await self.cluster.restart_ended()
        for name in ENGINES:
            await self.cluster.switch(self.cluster.upstreams[name], stall=False)
        for task, answer in stalled:
            await task
            self.assertTrue(answer.is_complete, answer.error)
        later = await harness.wait_for_outcome(self.second, key='hanging-plan')
        self.assertTrue(later.succeeded, later)

    async def restart_with_short_grace(self):
        """Restarts a router and the engine sidecars with a short grace."""
        self.addCleanup(self.cluster.overrides.update, self.CHANGES)
        self.cluster.overrides['router'] = {'stop': {'grace_s': GRACE_S}}
        self.cluster.overrides['sidecar'] = {'timing': {'grace_s': GRACE_S}}
        await self.kill_processes_with_short_grace()
        self.addCleanup(self.runner.run, self.kill_processes_with_short_grace())
        await self.restore()

    async def kill_processes_with_short_grace(self):
        """Kills these processes, so that `restore` applies new settings."""
        router = self.cluster.routers[self.first.name]
        sidecars = [self.cluster.sidecars[name] for name in ENGINES]
        for process in (router, *sidecars):
            process.kill()
            await process.wait()


if __name__ == '__main__':
    unittest.main()
