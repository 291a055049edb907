"""At-most-once requests on routes that allow several attempts."""

from __future__ import annotations

import unittest
from unittest import mock

from quetzalsill_platform import engine as engine_calls

from quetzalsill_dev.users_platform import engine, scripted
from quetzalsill_gateway.fleet import upstream
from quetzalsill_gateway.http import pool
from tests.quetzalsill_platform import (
    fixture,
    test_ambiguous_responses,
    test_streams,
)

ROUTES = [
    fixture.route('unsafe', '/unsafe/', 'unsafe', 'desk', maxAttempts=3),
    fixture.route('plan', '/plan/', 'streaming', 'writers', maxAttempts=3),
]
VERSION = 6


class SentOnceTest(test_streams.StreamTestCase):
    """The limit of attempts would allow another one."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        document = fixture.configuration(VERSION, ROUTES, engine=self.engine)
        self.store.put('op', 'config', document)
        holder = self.process.core.holder
        await self.wait_until(lambda: holder.current.version == VERSION)

    async def test_an_order_that_may_have_run_is_not_sent_again(self):
        """A server accepts an order, and its response is inconclusive.

        The route allows three attempts. A second one could execute the order
        twice.
        """
        for number, script in enumerate(
            ('reset', 'truncate', 'garbage', 'fail', 'false_503', 'no_receipt')
        ):
            with self.subTest(script):
                self.script(script)
                await self.request('/unsafe/', request_id=f'o{number}')
                run_ids = [
                    request_id
                    for request_id, *_ in self.runs
                    if request_id == f'o{number}'
                ]
                self.assertEqual(len(run_ids), 1)

    async def test_an_order_that_was_turned_away_first_is_sent_once(self):
        """One server sheds an order; the next accepts it without a response."""
        self.script('shed', 'reset')
        response = await self.request('/unsafe/', request_id='t1')
        self.assertEqual(response.status, 502)
        self.assertEqual([request_id for request_id, *_ in self.runs], ['t1'])

    async def test_a_plan_that_may_have_run_does_not_begin_again(self):
        """An engine resets a run when it starts it; the route allows three."""
        for replica in self.engines:
            replica.resets_at_start = 9
        response = await self.stream(request_id='t2')
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.fleet.started['t2']), 1)


class UnframedTest(test_streams.StreamTestCase):
    """Engines with unframed streams, which end with their connections."""

    async def asyncSetUp(self):
        with mock.patch.object(
            engine, 'Engine', test_ambiguous_responses.Engine
        ):
            await super().asyncSetUp()
        for replica in self.engines:
            replica.is_framed = False

    async def test_a_stopped_run_goes_on_where_its_end_tells_nothing(self):
        """A run is stopped for a move, and its unframed stream ends.

        If the stream counted as complete, the caller would get only the first
        events.
        """
        response = await test_ambiguous_responses.drain_engine_with_run(
            self, 'u1'
        )
        self.assert_complete(response, 'u1', test_ambiguous_responses.LENGTH)
        requests = [
            sent for replica in self.engines for sent in replica.requests
        ]
        self.assertEqual(len(requests), 2)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Which responses to a stop command mean that the engine has the run."""

    async def is_refused(self, status, body=b''):
        """Whether a response means that the engine may still have the run."""

        async def response(call):
            call.respond(status, body)

        server = scripted.ScriptedServer(response)
        await server.start()
        self.addAsyncCleanup(server.stop)
        engine_upstream = upstream.Upstream('e', 'writers', server.address, 'z')
        calls = engine_calls.make_calls(pool.Pool())
        return (
            await calls.move(engine_upstream, 'r', engine_upstream, True)
        ).refused

    async def test_engines_that_do_not_carry_an_order_out_have_the_run(self):
        for status in (409, 429, 500, 503):
            with self.subTest(status):
                self.assertTrue(await self.is_refused(status))

    async def test_other_services_at_the_address_do_not(self):
        """Another service, which lacks the command, now has the address."""
        for status in (400, 401, 404, 405, 421):
            with self.subTest(status):
                self.assertFalse(await self.is_refused(status))

    async def test_a_run_that_was_stopped_without_a_copy_is_not_refused(self):
        """The destination is full; the source keeps the stopped run."""
        self.assertFalse(
            await self.is_refused(503, b'{"handle": "h", "created":3}')
        )


if __name__ == '__main__':
    unittest.main()
