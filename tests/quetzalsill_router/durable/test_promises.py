"""Property test: the promises hold whatever happens to routers and store."""

from __future__ import annotations

import asyncio
import collections
import os
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from quetzalsill.error import base
from quetzalsill.telemetry import log
from quetzalsill_router.durable import segment
from tests.quetzalsill_router.durable import harness, virtual

NODES = ['a', 'b', 'c']
SETTLE_TIMEOUT_S = 600.0
STEP_S = 5.0
LATE_S = 20.0
EXAMPLES = int(os.environ.get('DURABLE_EXAMPLES', '60'))

nodes = st.sampled_from(NODES)


class Promises(stateful.RuleBasedStateMachine):
    """Three routers, two sidecars and a platform, each of which may fail."""

    def __init__(self):
        super().__init__()
        log.configure('error')
        self.loop = virtual.VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self._start())
        self.names = 0

    async def _start(self):
        self.cluster = harness.Cluster(NODES)
        await asyncio.sleep(0.5)

    def _advance(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @stateful.rule(
        node=nodes,
        key=st.sampled_from(['', 'k1', 'k2']),
        idempotent=st.booleans(),
        wait=st.sampled_from([0.0, 0.001, 0.004, 0.013, 0.02, 0.03]),
        then=st.sampled_from(['go on', 'pause', 'kill']),
    )
    def submit(self, node, key, idempotent, wait, then):
        """A caller sends a request, and the router may fail soon after."""
        self.names += 1
        name = f'r{self.names}'
        entry = harness.make_entry(name, key, idempotent and not key)
        self.loop.call_soon(self.cluster.routers[node].serve, entry)
        self._advance(wait)
        if then == 'pause':
            self.pause(node)
        if then == 'kill':
            self.kill(node)

    @stateful.rule(wait=st.sampled_from([0.001, 0.01, 0.1, 1.0, 3.0, 20.0]))
    def advance(self, wait):
        """Time goes by."""
        self._advance(wait)

    @stateful.rule(node=nodes)
    def pause(self, node):
        """A router is stopped."""
        self.cluster.routers[node].pause()

    @stateful.rule(node=nodes)
    def wake(self, node):
        """A router goes on."""
        self.cluster.routers[node].wake()

    @stateful.rule(node=nodes)
    def kill(self, node):
        """A router is killed."""
        self.cluster.routers[node].kill()

    @stateful.rule(node=nodes)
    def restart(self, node):
        """A router is killed and started again."""
        self.cluster.routers[node].kill()
        self.loop.run_until_complete(self._restart(node))

    async def _restart(self, node):
        self.cluster.start(node, self.cluster.routers[node].incarnation + 1)

    @stateful.rule(
        node=nodes,
        faults=st.lists(st.sampled_from(['ok', 'lost', 'late']), max_size=6),
    )
    def lose_answers(self, node, faults):
        """Answers to writes to come are lost."""
        self.cluster.routers[node].link.faults['any'].extend(faults)

    @stateful.rule(how=st.sampled_from(['down', 'silent', 'up']))
    def platform(self, how):
        """The platform fails or comes back."""
        self.cluster.platform.down = how == 'down'
        self.cluster.platform.silent = how == 'silent'

    @stateful.rule(upstream=st.sampled_from(['planner-0', 'planner-1']))
    def restart_sidecar(self, upstream):
        """A sidecar loses its state and its runs."""
        self.cluster.sidecars[upstream].restart()

    def teardown(self):
        """Mends everything, lets all end, and checks the promises."""
        try:
            self.platform('up')
            for node, router in list(self.cluster.routers.items()):
                router.wake()
                if router.link.dead:
                    self.restart(node)
            self.loop.run_until_complete(self._settle())
            self._check()
        finally:
            self._close()

    async def _settle(self):
        """Waits until all is settled, and longer, to see what comes late."""
        end = self.loop.time() + SETTLE_TIMEOUT_S
        await harness.wait_until(
            lambda: self._all_settled() or self.loop.time() > end, STEP_S
        )
        await asyncio.sleep(LATE_S)

    def _all_settled(self):
        accepted, settled = self._records()
        return accepted.keys() <= settled.keys()

    def _check(self):
        accepted, settled = self._records()
        for request, entry in accepted.items():
            name = entry.payload.decode()
            outcomes = settled[request]
            assert len(outcomes) == 1, (request, name, outcomes)
            runs = self.cluster.runs(name)
            assert entry.idempotent or runs <= 1, (name, runs)
            if outcomes[0].ran is base.Ran.NO:
                assert not runs, (name, runs, outcomes)
        for response in self.cluster.responses:
            self._check_response(response, accepted, settled)
        self._check_keys(accepted)

    def _check_response(self, response, accepted, settled):
        if response.ran is base.Ran.NO:
            assert not self.cluster.runs(response.name), response
        if response.ran is base.Ran.YES and response.answer:
            assert response.answer == settled[response.request][0].events, (
                response
            )
        if response.request:
            assert response.request in accepted, response

    def _check_keys(self, accepted):
        runs = collections.Counter()
        for entry in accepted.values():
            if entry.idempotency_key:
                name = entry.payload.decode()
                runs[entry.idempotency_key] += self.cluster.runs(name)
        assert all(count <= 1 for count in runs.values()), runs

    def _records(self):
        accepted = {}
        settled = collections.defaultdict(list)
        for key, data in self.cluster.platform.objects.items():
            _, name, number = key.split('/')
            found = segment.decode(data, name, int(number))
            accepted.update((entry.request, entry) for entry in found.accepted)
            for record in found.settled:
                settled[record.request].append(record.answer)
        return accepted, settled

    def _close(self):
        # A task of a killed router waits for ever, also while it ends.
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self._advance(0)
        self.loop.close()
        asyncio.set_event_loop(None)


Promises.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=25,
    derandomize='DURABLE_EXAMPLES' not in os.environ,
    deadline=None,
    database=None,
)
PromisesTest = Promises.TestCase

if __name__ == '__main__':
    unittest.main()
