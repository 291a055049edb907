"""A shared cluster with relays between its processes, and its clients."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib

import httpx2

from quetzalsill_dev import board, caller, relay
from tests.failure import fixture, harness

__all__ = ['RelayedTestCase', 'body']

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01


def body(tokens: int, name: str = 'plan') -> dict[str, str]:
    """Returns a request body whose answer has that many tokens."""
    return {'model': board.MODEL, 'prompt': f'{name} [[tokens={tokens}]]'}


class RelayedTestCase(fixture.SharedClusterTestCase):
    """Inserts a relay into each hop whose name starts with one of `RELAYED`.

    Attributes:
      relays: Relays by hop.
    """

    RELAYED = ('sidecar:',)

    @classmethod
    def setUpClass(cls):
        cls.relays = {}
        super().setUpClass()
        cls.addClassCleanup(lambda: cls.runner.run(cls._stop_relays()))

    @classmethod
    def configuration(cls):
        cfg = board.configuration()
        for profile in cfg.profiles.values():
            profile.max_output_tokens = 5000
            profile.queue_wait_s = profile.deadline_s = 60.0
        return cfg

    @classmethod
    async def via(cls, hop, address):
        if not hop.startswith(cls.RELAYED):
            return address
        host, _, port = address.rpartition(':')
        if hop not in cls.relays:
            cls.relays[hop] = relay.Relay(host, int(port))
            await cls.relays[hop].start()
        return f'127.0.0.1:{cls.relays[hop].port}'

    @classmethod
    async def _stop_relays(cls):
        for proxy in cls.relays.values():
            await proxy.stop()

    async def restore(self):
        for proxy in self.relays.values():
            proxy.refusing = False
            proxy.delay(0.0)
        await super().restore()
        await self.wait_until(self.is_served)
        self.seen_runs = {
            name: await self._run_ids(name) for name in self.engines
        }

    @property
    def engines(self):
        """Names of the engines."""
        return [name for name in self.cluster.upstreams if 'model' in name]

    def url(self, router=0):
        """Base URL of a router."""
        return [*self.cluster.routers.values()][router].url

    def start_request(
        self, tokens, name='plan', profile='prompt', router=0, **headers
    ):
        """Starts a request; returns the growing answer and its task."""
        answer = caller.Response()
        token = board.TOKENS['retailers']
        sent = {k.replace('_', '-'): v for k, v in headers.items()}
        sent['x-quetzalsill-profile'] = profile

        async def run():
            async with caller.open_client(self.url(router), token) as client:
                with contextlib.suppress(httpx2.TransportError):
                    await caller.generate(
                        client, body(tokens, name), sent, answer=answer
                    )
            return answer

        return answer, asyncio.create_task(run())

    async def wait_until(self, condition):
        """Polls a condition, which may be a coroutine function."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                found = condition()
                if asyncio.iscoroutine(found):
                    found = await found
                if found:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_tokens(self, minimum, *answers):
        """Waits until each answer has at least `minimum` tokens."""
        await self.wait_until(
            lambda: min(len(a.texts) for a in answers) >= minimum
        )

    async def new_runs(self):
        """Runs on all engines since the start of the test."""
        return [
            run
            for name in self.engines
            for run in (await self.cluster.audit(name))['runs']
            if run['request_id'] not in self.seen_runs[name]
        ]

    async def running_engine(self):
        """Name of an engine with a run in progress; empty if there is none."""
        for name in self.engines:
            for run in (await self.cluster.audit(name))['runs']:
                if not run['finished'] and not run['cancelled']:
                    return name
        return ''

    async def is_served(self):
        """Whether each router returns a complete answer."""
        answers = [
            await self.start_request(1, router=i)[1] for i in self._routers()
        ]
        return all(answer.is_complete for answer in answers)

    def _routers(self):
        return range(len(self.cluster.routers))

    async def _run_ids(self, name):
        runs = (await self.cluster.audit(name))['runs']
        return {run['request_id'] for run in runs}

    async def restart_engine(self, name):
        """Kills an engine and restarts it at the same address."""
        self.cluster.upstreams[name].kill()
        await self.cluster.upstreams[name].wait()
        await self.cluster.start_upstream(name)

    async def restart_sidecar(self, name):
        """Kills a sidecar and restarts it at the same address."""
        self.cluster.sidecars[name].kill()
        await self.cluster.sidecars[name].wait()
        await self.cluster.start_sidecar(name)

    def assert_own(self, answer, prompt, runs):
        """Checks that all tokens received are from the run of this prompt.

        Returns:
          The run.
        """
        (name,) = answer.generations
        (run,) = [run for run in runs if f'g{run["generation"]}' == name]
        digest = hashlib.sha256(prompt.encode()).hexdigest()
        self.assertEqual(run['prompt_digest'], digest[: harness.DIGEST_LENGTH])
        expected = [f'{name}.{i} ' for i in range(len(answer.texts))]
        self.assertEqual(answer.texts, expected)
        return run

    def assert_whole(self, answer, tokens):
        """Checks that the answer is complete and has `tokens` tokens."""
        self.assertEqual(answer.status, 200, answer.error)
        self.assertTrue(answer.is_complete, (answer.error, answer.texts[-3:]))
        self.assertEqual(len(answer.texts), tokens)
