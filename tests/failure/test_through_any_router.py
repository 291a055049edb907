"""What runs in one router is seen and cancelled through another."""

from __future__ import annotations

import asyncio
import json
import unittest

from quetzalsill_dev import board, caller, operator_cli
from tests.failure import asking, fixture

BODY = {'model': board.MODEL, 'prompt': 'A long plan. [[tokens=4000]]'}
VERDICT = {'X-Quetzalsill-Profile': 'verdict'}
ADMIN = '/admin/v1/requests'
RARE = {'idle_s': 60, 'silence_s': 300}


class ThroughAnyRouterTest(fixture.SharedClusterTestCase):
    """Two routers; the first runs a request, the second is asked.

    No heartbeat is due while a test lasts.
    """

    CHANGES = {
        'router': {'links': RARE},
        'sidecar': {'link': RARE},
    }

    async def begin(self):
        """Starts a streamed request at the first router."""
        self.first, self.second = self.cluster.routers.values()
        answer = caller.Response()
        task = asyncio.create_task(self.stream(answer))

        async def begun():
            return answer.texts or task.done()

        await asking.until(begun)
        self.assertEqual(answer.status, 200, answer.error)
        return answer, task

    async def stream(self, answer):
        token = board.TOKENS['retailers']
        async with caller.open_client(self.first.url, token) as client:
            await caller.generate(client, BODY, VERDICT, answer=answer)

    async def assert_cancelled(self, answer, task):
        async with asyncio.timeout(asking.BOUND_S):
            await task
        self.assertEqual(answer.error['error']['code'], 'cancelled')
        self.assertLess(len(answer.texts), 4000)

    @fixture.on_cluster
    async def test_operator_asks_the_other_router(self):
        """An operator looks for a request that holds up an engine.

        The command line asks one router, the balancer gave the request to
        another, and the operator is told that there is no such request.
        """
        answer, task = await self.begin()
        urls = [self.second.url]
        shown = await operator_cli.run_json(
            urls, 'request', 'show', answer.request
        )
        self.assertEqual(shown['request'], answer.request)
        self.assertEqual(shown['state'], 'running')
        ended = await operator_cli.run(
            urls, 'request', 'cancel', answer.request
        )
        self.assertEqual(ended.exit_status, 0, ended.stderr)
        await self.assert_cancelled(answer, task)

    @fixture.on_cluster
    async def test_caller_cancels_at_the_other_router(self):
        """A caller's cancellation comes to a router that doesn't run it.

        It got 404 and the generation went on to its end.
        """
        answer, task = await self.begin()
        token = board.TOKENS['retailers']
        async with caller.open_client(self.second.url, token) as client:
            found = await client.delete(f'/v1/requests/{answer.request}')
        self.assertEqual(found.status_code, asking.PENDING, found.text)
        await self.assert_cancelled(answer, task)

    @fixture.on_cluster
    async def test_accepted_edit_does_not_wait_for_a_heartbeat(self):
        """An operator edits a profile and waits until it is in force.

        Sidecars heard of it by the next heartbeat only.
        """
        *_, router = self.cluster.routers.values()
        ended = await operator_cli.run(
            [router.url],
            *('profile', 'edit', 'prompt', '--set', 'max_output_tokens=500'),
        )
        self.assertEqual(ended.exit_status, 0, ended.stderr)
        self.assertIn('in force on 4 nodes', ended.stdout)

    @fixture.on_cluster
    async def test_silent_router_is_named(self):
        """The router that runs the request is paused.

        The operator must not be told that no router runs it.
        """
        answer, task = await self.begin()
        self.first.stop()
        async with caller.open_client(
            self.second.url, board.OPERATOR_TOKEN
        ) as client:
            found = await client.delete(f'{ADMIN}/{answer.request}')
        self.assertEqual(found.status_code, 504, found.text)
        error = json.loads(found.text)['error']
        self.assertEqual(error['code'], 'outcome_unknown')
        paused = next(iter(self.cluster.routers))
        self.assertIn(paused, error['message'])
        self.first.cont()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


if __name__ == '__main__':
    unittest.main()
