"""A request reported as "not run" never ran, whatever fails meanwhile.

Clients overload two small engines and a service. Each response, and each
refusal of a sidecar, is checked against the audits of the upstreams.
"""

from __future__ import annotations

import asyncio
import re
import unittest

from quetzalsill.config import model
from quetzalsill_dev import board
from tests.failure import fixture, harness, relayed

CALLERS = 45
ASKS = (harness.send_order, harness.send_brief, harness.send_query)
ENGINES = (harness.ENGINE, 'model-apapa-hall-2')
REFUSED = r'event=attempt_(?:refused|withdrawn) .*\battempt=(\S+)'
WITHDRAWN = 'event=attempt_withdrawn '
LINK_ENDED = 'event=link_ended .*upstream='
UNLINKED = 'event=router_unlinked '
DISPATCH_LOST = 'event=attempt_ended .*detail="the dispatch was lost'
HOLD_BACK_S = 1.5
LINK_DELAY_S = 0.03
SLOW_FACTOR = 10
WITHDRAW_WAIT_S = 0.7


class NotRunTest(relayed.RelayedTestCase):
    """Two routers; each sidecar behind a relay."""

    LAYOUT = board.board_layout(engines=2, services=1, routers=2)
    CHANGES = {
        'sidecar': {
            'bounds': {'queue': 6, 'running': 3},
            'link': {'idle_s': 0.2, 'silence_s': 5.0},
        },
        'router': {
            'links': {'idle_s': 0.2, 'silence_s': 0.6, 'connect_s': 0.6},
            'requests': {'recover_s': 8.0},
        },
    }

    @classmethod
    def configuration(cls):
        cfg = board.configuration()
        cfg.profiles['brief'] = model.Profile(idempotent=False)
        return cfg

    async def restore(self):
        await self.slow_down(1)
        await super().restore()
        await harness.wait_until_served(self.cluster)

    async def slow_down(self, factor, stall=False):
        """Sets the slowdown of the first engine, and whether it stalls."""
        engine = self.cluster.upstreams[harness.ENGINE]
        await self.cluster.switch(engine, slow=factor, stall=stall)

    def start_all(self, prefix):
        """Starts all requests; returns their tasks by name."""
        routers = list(self.cluster.routers.values())
        return {
            f'{prefix}-{n}': asyncio.create_task(
                ASKS[n % len(ASKS)](routers[n % len(routers)], f'{prefix}-{n}')
            )
            for n in range(CALLERS)
        }

    async def wait_until_some_ran(self, tasks):
        """Waits until a few of the requests have reached an upstream."""

        async def some_ran():
            run_counts = await harness.count_runs(self.cluster, ENGINES)
            return sum(map(run_counts.count, tasks)) >= len(ENGINES)

        await harness.wait_until(some_ran)

    async def check_refusals(self, tasks):
        """Checks every response and refusal against what ran."""
        results = {name: await task for name, task in tasks.items()}
        run_counts = await harness.count_runs(self.cluster, ENGINES)
        for number, (name, result) in enumerate(results.items()):
            with self.subTest(name, result=result):
                if ASKS[number % len(ASKS)] is not harness.send_query:
                    self.assertLessEqual(run_counts.count(name), 1)
                if result.not_run:
                    self.assertEqual(run_counts.count(name), 0)
                if result.succeeded:
                    self.assertGreaterEqual(run_counts.count(name), 1)
        refused = {found[1] for found in self.log_matches(REFUSED)}
        self.assertFalse(run_counts.attempts & refused)
        self.assertTrue(any(run_counts.count(name) for name in results))
        return results

    def log_matches(self, what):
        """Matches of a pattern in the logs of all processes."""
        return [
            found
            for process in self.launcher.processes
            for found in re.finditer(what, process.log_text())
        ]

    def count_in_logs(self, what):
        """Number of matches of a pattern in the logs."""
        return len(self.log_matches(what))

    @fixture.on_cluster
    async def test_while_queues_overflow(self):
        """A request is refused as overloaded although it ran.

        More requests arrive at once than the queues hold; the excess is
        refused, some after a second upstream was tried.
        """
        results = await self.check_refusals(self.start_all('full'))
        self.assertTrue(any(result.not_run for result in results.values()))

    @fixture.on_cluster
    async def test_while_links_break_under_a_dispatch(self):
        """A brief is reported as "not run" because its link was lost.

        All links are cut with Dispatches and answers in flight, and again
        after they reconnect.
        """
        for proxy in self.relays.values():
            proxy.delay(LINK_DELAY_S)
        tasks = self.start_all('cut')
        for _ in range(3):
            await self.wait_until_some_ran(tasks)
            accepted = [proxy.accepted for proxy in self.relays.values()]
            for proxy in self.relays.values():
                proxy.cut()

            async def linked(accepted=accepted):
                proxies = self.relays.values()
                return all(
                    proxy.accepted > before
                    for proxy, before in zip(proxies, accepted, strict=True)
                )

            await harness.wait_until(linked)
        await self.check_refusals(tasks)

    @fixture.on_cluster
    async def test_while_dispatches_arrive_late(self):
        """An order is dispatched again, and its first Dispatch still arrives.

        Links stop forwarding with Dispatches in transit. Routers query the
        sidecars on new links, which have not received them, and only then do
        the old links deliver.
        """
        lost_before, ended = map(self.count_in_logs, (DISPATCH_LOST, UNLINKED))
        for proxy in self.relays.values():
            proxy.hold_back(HOLD_BACK_S)
            proxy.silence(up=False)
        tasks = self.start_all('late')
        await asyncio.gather(*tasks.values())
        links = len(self.relays) * len(self.cluster.routers)

        async def delivered():
            return self.count_in_logs(UNLINKED) >= ended + links

        await harness.wait_until(delivered)
        await self.check_refusals(tasks)
        self.assertGreater(self.count_in_logs(DISPATCH_LOST), lost_before)

    @fixture.on_cluster
    async def test_while_sidecars_are_paused(self):
        """A resumed sidecar serves work that was dispatched elsewhere.

        Sidecars are paused with Dispatches unread. Routers time out their
        links and reconnect; after the pause both the old and the new links
        carry messages about the same attempts.
        """
        ended = self.count_in_logs(LINK_ENDED)
        for sidecar in self.cluster.sidecars.values():
            sidecar.stop()
        tasks = self.start_all('paused')
        links = len(self.relays) * len(self.cluster.routers)

        async def found_silent():
            return self.count_in_logs(LINK_ENDED) >= ended + links

        await harness.wait_until(found_silent)
        for sidecar in self.cluster.sidecars.values():
            sidecar.cont()
        await self.check_refusals(tasks)

    @fixture.on_cluster
    async def test_while_withdrawals_race_the_start(self):
        """A request runs on two engines.

        The link to a slow engine is lost while requests are queued there. The
        routers withdraw them for the idle engine as soon as the link is back,
        while the sidecar continues to start them one by one.
        """
        proxy = self.relays[f'sidecar:{harness.ENGINE}']
        before = self.count_in_logs(WITHDRAWN)
        await self.slow_down(SLOW_FACTOR, stall=True)
        tasks = self.start_all('moved')

        async def rest_is_done():
            return sum(task.done() for task in tasks.values()) > CALLERS / 2

        await harness.wait_until(rest_is_done)
        first = await self.count_first_engine_runs()
        proxy.refusing = True
        proxy.cut()
        # By then both routers have decided to withdraw the queued requests;
        # one that starts before the link is back must not be withdrawn.
        await asyncio.sleep(WITHDRAW_WAIT_S)
        await self.slow_down(SLOW_FACTOR)

        async def next_has_started():
            return await self.count_first_engine_runs() > first

        await harness.wait_until(next_has_started)
        await self.slow_down(SLOW_FACTOR, stall=True)
        proxy.refusing = False

        async def withdrawn():
            return self.count_in_logs(WITHDRAWN) > before

        await harness.wait_until(withdrawn)
        await self.slow_down(1)
        await self.check_refusals(tasks)

    async def count_first_engine_runs(self):
        """Number of attempts that reached the first engine."""
        return len((await self.cluster.audit(harness.ENGINE))['runs'])

    @fixture.on_cluster
    async def test_while_sidecars_restart(self):
        """A restarted sidecar reports as "not run" what the old one had sent.

        All sidecars are killed under load and restarted on their ports.
        """
        tasks = self.start_all('restart')
        await self.wait_until_some_ran(tasks)
        await self.restart(*self.cluster.sidecars)
        await self.check_refusals(tasks)

    async def restart(self, *upstreams):
        """Kills sidecars and restarts them on their ports."""
        for name in upstreams:
            self.cluster.sidecars[name].kill()
            await self.cluster.sidecars[name].wait()
        await self.cluster.restart_ended()


if __name__ == '__main__':
    unittest.main()
