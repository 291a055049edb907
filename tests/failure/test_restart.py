"""Processes that are killed and restarted at their address."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev import board, caller
from tests.failure import fixture

BODY = {'model': board.MODEL, 'prompt': 'Slots? [[tokens=5]]'}
MAX_TRIES = 200
RETRY_INTERVAL_S = 0.1


class RestartTest(fixture.ClusterTestCase):
    """One engine with its sidecar, and one router."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        (self.name,) = (n for n in self.cluster.sidecars if 'model' in n)
        (self.router,) = self.cluster.routers.values()

    async def send_until_answered(self):
        """Sends a request, with retries while it is refused as not run."""
        token = board.TOKENS['retailers']
        async with caller.open_client(self.router.url, token) as client:
            for _ in range(MAX_TRIES):
                answer = await caller.generate(client, BODY)
                if answer.status != 503:
                    break
                self.assertIs(answer.error['error']['not_run'], True)
                await asyncio.sleep(RETRY_INTERVAL_S)
        return answer

    async def test_restarted_sidecar_serves_again(self):
        """A sidecar is killed and its supervisor restarts it.

        Requests are refused as not run until the router has a link to the new
        process; then answers are complete again, and the engine has run each
        answered request once and nothing else.
        """
        first = await self.send_until_answered()
        self.cluster.sidecars[self.name].kill()
        await self.cluster.sidecars[self.name].wait()
        await self.cluster.start_sidecar(self.name)
        second = await self.send_until_answered()
        for answer in (first, second):
            self.assertEqual(answer.status, 200, answer.error)
            self.assertTrue(answer.is_complete)
        runs = (await self.cluster.audit(self.name))['runs']
        self.assertEqual([run['tokens'] for run in runs], [5, 5])


if __name__ == '__main__':
    unittest.main()
