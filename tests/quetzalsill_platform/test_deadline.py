"""Answers that come as the deadline of their request passes."""

from __future__ import annotations

import time
import unittest
from unittest import mock

from quetzalsill_dev.users_platform import engine, plain_server
from tests.quetzalsill_platform import fixture

DEADLINE_S = 0.6
HEADERS = {'X-Quetzalsill-Token-Usage': '1000,400'}


class _PausedServer(plain_server.PlainServer):
    """A server right behind whose answer the process is paused."""

    async def _answer(self, call, *args):
        await super()._answer(call, *args)
        time.sleep(DEADLINE_S)


class _PausedEngine(engine.Engine):
    """An engine right behind whose last event the process is paused."""

    async def _generate(self, call):
        await super()._generate(call)
        time.sleep(DEADLINE_S)


class DeadlineTest(fixture.GatewayTestCase):
    """The gateway wakes from a pause to an answer, and past its deadline."""

    async def asyncSetUp(self):
        with (
            mock.patch.object(plain_server, 'PlainServer', _PausedServer),
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
        """A shop is told that its order timed out, though it is confirmed."""
        response = await self.send('/unsafe/', 'o1')
        self.assertEqual((response.status, response.whole), (200, True))
        self.assertEqual([run[0] for run in self.runs], ['o1'])

    async def test_a_plan_that_is_complete(self):
        """A plan is cut off before its last event, which is there."""
        response = await self.send('/plan/', 'p1')
        self.assertEqual((response.status, response.whole), (200, True))
        self.assertEqual(response.body, self.expected_stream('p1'))

    async def test_a_query_that_was_answered(self):
        """A query is sent to a second server with its answer in hand."""
        response = await self.send('/safe/', 'q1')
        self.assertEqual((response.status, response.whole), (200, True))
        self.assertEqual([run[0] for run in self.runs], ['q1'])


if __name__ == '__main__':
    unittest.main()
