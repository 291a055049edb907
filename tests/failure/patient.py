"""Fault injection for accepted plans and briefs, and checks of outcomes."""

from __future__ import annotations

import asyncio
import collections
import functools

from quetzalsill.config import model
from quetzalsill_dev import board
from tests.failure import fixture, harness

# Longer than every timeout in `CHANGES`.
OUTAGE_S = 2.5
# Degraded stores recover sooner; killed processes restart at once.
FAULT_DURATION_S = {
    'router': 0,
    'sidecar': 0,
    'engine': 0,
    'slow': 1,
    'lost': 1,
}
TOKENS = 120
REQUESTS_PER_KIND = 4
PROFILES = {'plan': 'patient', 'brief': 'scene'}
STORE_FAULTS = ('down', 'reset', 'silent')


class PatientTestCase(fixture.SharedClusterTestCase):
    """Two routers and two engines; accepted work survives their failure."""

    LAYOUT = board.board_layout(engines=2, services=0, routers=2)
    CHANGES = {
        'platform': {'timeout_s': 0.3},
        'router': {
            'durable': {'heartbeat_s': 0.2, 'accept_s': 0.5},
            'requests': {'recover_s': 2.0},
            'links': {'idle_s': 0.3, 'silence_s': 1.0, 'connect_s': 0.5},
        },
        'sidecar': {
            'link': {'idle_s': 0.3, 'silence_s': 1.0, 'connect_s': 0.5},
            'timing': {
                'queued_orphan_s': 0.5,
                'orphan_s': 1.0,
                'durable_orphan_s': 1.5,
                'refused_s': 0.5,
                'resume_s': 2.0,
            },
        },
    }

    @classmethod
    def configuration(cls):
        cfg = board.configuration()
        cfg.profiles['scene'] = model.Profile(
            idempotent=False, durable=True, delivery='whole'
        )
        return cfg

    async def restore(self):
        await self.set_store()
        await super().restore()
        self.first, self.second = self.cluster.routers.values()
        # Both store clients of a router must have seen the platform recover.
        for router in (self.first, self.second):
            await harness.wait_until(functools.partial(self.serves, router))

    async def set_store(self, slow_s=0.0, lose_answers=0, **faults):
        """Sets the faults of the store; without arguments it has none."""
        broken = dict.fromkeys(STORE_FAULTS, False) | faults
        await self.cluster.switch(
            self.cluster.store,
            slow_s=slow_s,
            lose_answers=lose_answers,
            **broken,
        )

    async def serves(self, router):
        """Whether a router answers work of both profiles."""
        results = [
            await harness.send_brief(router, 'test', profile=profile)
            for profile in ('prompt', 'patient')
        ]
        return all(item.succeeded for item in results)

    async def submit(self, name, router, kinds=('plan', 'brief')):
        """Submits plans and briefs; returns the acceptances by name."""
        kind_by_name = {
            f'{name}-{kind}-{number}': kind
            for kind in kinds
            for number in range(REQUESTS_PER_KIND)
        }
        results = await asyncio.gather(
            *(
                harness.submit_long_brief(router, item, TOKENS, PROFILES[kind])
                for item, kind in kind_by_name.items()
            )
        )
        for item in results:
            self.assertEqual(item.status, harness.PENDING, item)
        return dict(zip(kind_by_name, results, strict=True))

    async def wait_for_first_tokens(self, accepted):
        """Waits until each accepted request has generated tokens."""

        async def have_tokens():
            runs = await self.runs()
            return all(
                any(run['tokens'] for run in runs[harness.digest(name, TOKENS)])
                for name in accepted
            )

        await harness.wait_until(have_tokens)

    async def runs(self):
        """All runs in the audits of running engines, by prompt digest."""
        found = collections.defaultdict(list)
        for name, engine in self.cluster.upstreams.items():
            if not engine.running:
                continue
            for run in (await self.cluster.audit(name))['runs']:
                found[run['prompt_digest']].append(run)
        return found

    async def kill(self, process):
        process.kill()
        await process.wait()

    def faults(self):
        """Functions that inject a fault, by name of the fault."""
        first, *_ = self.cluster.upstreams
        return {
            'router': lambda: self.kill(self.first),
            'pause': self.pause,
            'sidecar': lambda: self.kill(self.cluster.sidecars[first]),
            'engine': lambda: self.kill(self.cluster.upstreams[first]),
            'down': lambda: self.set_store(down=True),
            'silent': lambda: self.set_store(silent=True),
            'slow': lambda: self.set_store(slow_s=0.25),
            'lost': lambda: self.set_store(lose_answers=40),
        }

    async def pause(self):
        self.first.stop()

    async def clear_faults(self):
        """Removes the faults without waiting until the cluster is ready."""
        for process in self.launcher.processes:
            process.cont()
        await self.set_store()
        for name, engine in list(self.cluster.upstreams.items()):
            if not engine.running:
                await self.cluster.start_upstream(name)
        await self.cluster.restart_ended()

    async def inject(self, *names):
        """Injects faults together, waits for their duration and clears them.

        Returns:
          Runs before the faults; an engine loses its audit in a restart.
        """
        before = await self.runs()
        async with asyncio.TaskGroup() as group:
            for name in names:
                group.create_task(self.faults()[name]())
        await asyncio.sleep(
            max(FAULT_DURATION_S.get(n, OUTAGE_S) for n in names)
        )
        await self.clear_faults()
        return before

    async def assert_outcomes(self, accepted, before=None, known=True):
        """Checks that each plan has a complete answer and no brief ran twice.

        Args:
          accepted: Acceptances by name.
          before: Runs of engines that were restarted since.
          known: No engine or sidecar failed, so that the outcome of each
            brief must be known too.
        """
        settled = await asyncio.gather(
            *(
                harness.wait_for_outcome(self.second, result)
                for result in accepted.values()
            )
        )
        runs = await self.runs()
        for name, result in zip(accepted, settled, strict=True):
            with self.subTest(name):
                is_plan = '-plan-' in name
                digest = harness.digest(name, TOKENS)
                own = {run['request_id']: run for run in runs[digest]}
                for run in (before or {}).get(digest, ()):
                    own.setdefault(run['request_id'], run)
                if not is_plan:
                    self.assertLessEqual(len(own), 1, own)
                if is_plan or known:
                    self.assertTrue(result.succeeded, result)
                if result.succeeded:
                    self.assert_whole(result, own.values())
                elif result.not_run:
                    self.assertFalse(own)

    def assert_whole(self, result, runs):
        """Checks that the answer is one complete generation of an engine."""
        (choice,) = result.body['choices']
        tokens = choice['text'].split()
        generation = tokens[0].partition('.')[0]
        expected = [f'{generation}.{index}' for index in range(TOKENS)]
        self.assertEqual(tokens, expected)
        self.assertIn(TOKENS, [run['tokens'] for run in runs])

    async def run_case(self, name, *rounds):
        """Submits work, injects each round of faults and checks outcomes."""
        with self.subTest(name):
            await self.restore()
            accepted = await self.submit(name, self.first)
            await self.wait_for_first_tokens(accepted)
            before = {}
            for faults in rounds:
                for digest, runs in (await self.inject(*faults)).items():
                    before.setdefault(digest, []).extend(runs)
                self.first, self.second = self.second, self.first
            injected = {fault for faults in rounds for fault in faults}
            known = not injected & {'engine', 'sidecar'}
            await self.cluster.wait_ready()
            await self.assert_outcomes(accepted, before, known)
