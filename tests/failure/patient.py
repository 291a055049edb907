"""Accepted plans and briefs, faults that strike, and what has to be kept."""

from __future__ import annotations

import asyncio
import collections
import functools

from quetzalsill.config import model
from quetzalsill_dev import board
from tests.failure import fixture, harness

# Longer than every bound of ours in `CHANGES`.
OUTAGE_S = 2.5
# What isn't away but spoilt lasts shorter; the killed come back at once.
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
    """Two routers and two engines; accepted work outlives all of them."""

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
        # Both stores of a router must know that the platform is back.
        for router in (self.first, self.second):
            await harness.wait_until(functools.partial(self.serves, router))

    async def set_store(self, slow_s=0.0, lose_answers=0, **faults):
        """Sets what is wrong with the store; without arguments nothing."""
        broken = dict.fromkeys(STORE_FAULTS, False) | faults
        await self.cluster.switch(
            self.cluster.store,
            slow_s=slow_s,
            lose_answers=lose_answers,
            **broken,
        )

    async def serves(self, router):
        """Whether a router answers prompt and patient work."""
        results = [
            await harness.send_brief(router, 'test', profile=profile)
            for profile in ('prompt', 'patient')
        ]
        return all(item.succeeded for item in results)

    async def submit(self, name, router, kinds=('plan', 'brief')):
        """Has plans and briefs accepted; gives what was told, by name."""
        asked = {
            f'{name}-{kind}-{number}': kind
            for kind in kinds
            for number in range(REQUESTS_PER_KIND)
        }
        results = await asyncio.gather(
            *(
                harness.submit_long_brief(router, item, TOKENS, PROFILES[kind])
                for item, kind in asked.items()
            )
        )
        for item in results:
            self.assertEqual(item.status, harness.PENDING, item)
        return dict(zip(asked, results, strict=True))

    async def wait_for_first_tokens(self, accepted):
        """Waits until each accepted request has made tokens."""

        async def have_tokens():
            runs = await self.runs()
            return all(
                any(run['tokens'] for run in runs[harness.digest(name, TOKENS)])
                for name in accepted
            )

        await harness.wait_until(have_tokens)

    async def runs(self):
        """All runs that live engines know, by digest of the prompt."""
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
        """What can fail, by name."""
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
        """Restores what failed, without a look at whether all serve."""
        for process in self.launcher.processes:
            process.cont()
        await self.set_store()
        for name, engine in list(self.cluster.upstreams.items()):
            if not engine.running:
                await self.cluster.start_upstream(name)
        await self.cluster.restart_ended()

    async def inject(self, *names):
        """Lets faults strike at once, last, and end.

        Returns:
          Runs known before an engine forgets them by its restart.
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
        """Each plan has its whole answer; no brief ran twice.

        Args:
          accepted: What was told at acceptance, by name.
          before: Runs of engines that were restarted since.
          known: The engines and sidecars lived, so that each brief's outcome
            is known too.
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
        """The answer is all of one generation, which an engine finished."""
        (choice,) = result.body['choices']
        tokens = choice['text'].split()
        generation = tokens[0].partition('.')[0]
        whole = [f'{generation}.{index}' for index in range(TOKENS)]
        self.assertEqual(tokens, whole)
        self.assertIn(TOKENS, [run['tokens'] for run in runs])

    async def run_case(self, name, *rounds):
        """Has work accepted, lets faults strike round by round, and checks."""
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
