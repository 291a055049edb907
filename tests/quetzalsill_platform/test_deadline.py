"""Responses that arrive just as the request's deadline passes."""

from __future__ import annotations

import time
import unittest
from unittest import mock

from quetzalsill_dev.users_platform import engine, http_server
from tests.quetzalsill_platform import fixture

DEADLINE_S = 0.6
HEADERS = {'X-Quetzalsill-Token-Usage': '1000,400'}


class _PausedServer(http_server.HttpServer):
    """A server whose process pauses right after it responds."""

    async def _respond(self, call, *args):
        await super()._respond(call, *args)
        time.sleep(DEADLINE_S)


class _PausedEngine(engine.Engine):
    """An engine whose process pauses right after the last event."""

    async def _generate(self, call):
        await super()._generate(call)
        time.sleep(DEADLINE_S)


class DeadlineTest(fixture.GatewayTestCase):
    """The gateway resumes after the deadline, with a response to read."""

    async def asyncSetUp(self):
        with (
            mock.patch.object(http_server, 'HttpServer', _PausedServer),
            mock.patch.object(engine, 'Engine', _PausedEngine),
        ):
            await super().asyncSetUp()

    async def send(self, target, request_id):
        return await self.request(
            target,
            method='POST',
            request_id=request_id,
            deadline_ms=int(DEADLINE_S * 1000),
            headers=HEADERS,
        )

    async def test_an_order_that_was_answered(self):
        """A confirmed order would be reported as timed out."""
        response = await self.send('/unsafe/', 'o1')
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertEqual([run[0] for run in self.runs], ['o1'])

    async def test_a_plan_that_is_complete(self):
        """A stream would be cut off although its last event has arrived."""
        response = await self.send('/plan/', 'p1')
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertEqual(response.body, self.expected_stream('p1'))

    async def test_a_query_that_was_answered(self):
        """A query would be retried although its response has arrived."""
        response = await self.send('/safe/', 'q1')
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertEqual([run[0] for run in self.runs], ['q1'])


if __name__ == '__main__':
    unittest.main()
