"""A request of one router is found and cancelled through another."""

from __future__ import annotations

import asyncio
import json
import unittest

from quetzalsill_dev import board, caller, operator_cli
from tests.failure import fixture, harness

BODY = {'model': board.MODEL, 'prompt': 'A long plan. [[tokens=4000]]'}
VERDICT_PROFILE = {'X-Quetzalsill-Profile': 'verdict'}
ADMIN = '/admin/v1/requests'
RARE_HEARTBEATS = {'idle_s': 60, 'silence_s': 300}


class ThroughAnyRouterTest(fixture.SharedClusterTestCase):
    """Two routers; the first runs a request, the second is queried.

    No heartbeat is due during a test.
    """

    CHANGES = {
        'router': {'links': RARE_HEARTBEATS},
        'sidecar': {'link': RARE_HEARTBEATS},
    }

    async def start_request(self):
        """Starts a streamed request at the first router."""
        self.first, self.second = self.cluster.routers.values()
        answer = caller.Response()
        task = asyncio.create_task(self.stream(answer))

        async def has_started():
            return answer.texts or task.done()

        await harness.wait_until(has_started)
        self.assertEqual(answer.status, 200, answer.error)
        return answer, task

    async def stream(self, answer):
        token = board.TOKENS['retailers']
        async with caller.open_client(self.first.url, token) as client:
            await caller.generate(client, BODY, VERDICT_PROFILE, answer=answer)

    async def assert_cancelled(self, answer, task):
        async with asyncio.timeout(harness.TIMEOUT_S):
            await task
        self.assertEqual(answer.error['error']['code'], 'cancelled')
        self.assertLess(len(answer.texts), 4000)

    @fixture.on_cluster
    async def test_operator_asks_the_other_router(self):
        """An operator gets "not found" for a request that is running.

        The command line queries one router, and the load balancer sent the
        request to another.
        """
        answer, task = await self.start_request()
        urls = [self.second.url]
        description = await operator_cli.run_json(
            urls, 'request', 'show', answer.request
        )
        self.assertEqual(description['request'], answer.request)
        self.assertEqual(description['state'], 'running')
        command = await operator_cli.run(
            urls, 'request', 'cancel', answer.request
        )
        self.assertEqual(command.exit_status, 0, command.stderr)
        await self.assert_cancelled(answer, task)

    @fixture.on_cluster
    async def test_caller_cancels_at_the_other_router(self):
        """A cancellation reaches a router that doesn't run the request.

        The client got 404 and the generation ran to its end.
        """
        answer, task = await self.start_request()
        token = board.TOKENS['retailers']
        async with caller.open_client(self.second.url, token) as client:
            response = await client.delete(f'/v1/requests/{answer.request}')
        self.assertEqual(response.status_code, harness.PENDING, response.text)
        await self.assert_cancelled(answer, task)

    @fixture.on_cluster
    async def test_accepted_edit_does_not_wait_for_a_heartbeat(self):
        """An edit reaches sidecars only with the next heartbeat.

        The command waits until the edit is active on all nodes.
        """
        *_, router = self.cluster.routers.values()
        command = await operator_cli.run(
            [router.url],
            *('profile', 'edit', 'prompt', '--set', 'max_output_tokens=500'),
        )
        self.assertEqual(command.exit_status, 0, command.stderr)
        self.assertIn('in force on 4 nodes', command.stdout)

    @fixture.on_cluster
    async def test_silent_router_is_named(self):
        """A request is reported as not found while its router is paused.

        The outcome is unknown, and the error names the unreachable router.
        """
        answer, task = await self.start_request()
        self.first.stop()
        async with caller.open_client(
            self.second.url, board.OPERATOR_TOKEN
        ) as client:
            response = await client.delete(f'{ADMIN}/{answer.request}')
        self.assertEqual(response.status_code, 504, response.text)
        error = json.loads(response.text)['error']
        self.assertEqual(error['code'], 'outcome_unknown')
        paused = next(iter(self.cluster.routers))
        self.assertIn(paused, error['message'])
        self.first.cont()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


if __name__ == '__main__':
    unittest.main()
