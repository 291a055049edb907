"""Tests of streams: forwarding, failures, moves and resumption."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill_gateway.balance import upstream_stats
from quetzalsill_gateway.stream import continuation
from tests.quetzalsill_platform import fixture

PROMPT = {
    'X-Quetzalsill-Token-Usage': '1000,400',
    'X-Quetzalsill-Length-Hint': '40',
}


class StreamTestCase(fixture.GatewayTestCase):
    """Requests streams and checks which engines run them."""

    async def stream(self, target='/plan/', headers=PROMPT, **kwargs):
        return await self.request(
            target, method='POST', headers=headers, **kwargs
        )

    def assert_complete(self, response, request_id, length=10):
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertEqual(
            response.body, self.expected_stream(request_id, length)
        )

    def working_engine(self):
        """Returns an engine that is working on a run, or None."""
        return next(
            (
                e
                for e in self.engines
                if any(self.fleet.running_on.values())
                and any(e.id in busy for busy in self.fleet.running_on.values())
            ),
            None,
        )

    async def wait_until_working(self):
        await self.wait_until(self.working_engine)
        return self.working_engine()

    def first_engine_of(self, request_id):
        return self.fleet.started[request_id][0]


class StreamTest(StreamTestCase):
    """Complete streams, and those of engines that fail, refuse or drain."""

    async def test_a_stream_arrives_whole(self):
        response = await self.stream(request_id='s1')
        self.assert_complete(response, 's1')
        self.assertEqual(self.fleet.started['s1'], [self.first_engine_of('s1')])

    async def test_a_broken_stream_never_looks_whole(self):
        """An engine breaks an at-most-once stream in the middle of an event.

        The run may not be repeated. The caller gets the complete events and a
        visibly incomplete end.
        """
        for replica in self.engines:
            replica.abort_after = 4
        response = await self.stream(request_id='s2')
        self.assertFalse(response.complete)
        self.assertEqual(response.body, self.expected_stream('s2', 4))
        self.assertEqual(len(self.fleet.started['s2']), 1)

    async def test_a_resumable_stream_goes_on_elsewhere(self):
        """An engine breaks a stream on a route that allows resumption.

        The caller gets one response with each event once and in order.
        """
        for replica in self.engines:
            replica.abort_after = 4
        pending = asyncio.create_task(self.stream('/verdict/', request_id='s3'))
        await self.wait_until(lambda: self.fleet.started.get('s3'))
        for replica in self.engines:
            if replica.id != self.first_engine_of('s3'):
                replica.abort_after = None
        response = await pending
        self.assert_complete(response, 's3')
        self.assertEqual(len(self.fleet.started['s3']), 2)

    async def test_a_refusal_has_a_retry_after_header(self):
        for replica in self.engines:
            replica.refuse = 503
        response = await self.stream(request_id='s4')
        self.assertEqual(response.status, 503)
        self.assertIn('retry-after', response.headers)
        self.assertNotIn('s4', self.fleet.started)

    async def test_a_restarted_engine_gets_few_requests(self):
        """An engine restarts while its old entry is still listed.

        It always looks idle, and once got 234 requests in a row, all of which
        it rejected, which exceeded the limit on retries.
        """
        restarted = self.engines[0]
        restarted.id = 'another-start'
        core = self.process.core
        for replica in self.engines[1:]:
            stats = core.stats_table.of(core.upstreams.get(replica.id))
            stats.reservations.add(
                upstream_stats.Reservation(0, 15_000, is_prefilling=False)
            )
        for number in range(8):
            response = await self.stream(request_id=f's{number}')
            self.assertEqual(response.status, 200)
        self.assertGreaterEqual(len(restarted.requests), 1)
        self.assertLessEqual(len(restarted.requests), 3)

    async def test_runs_of_a_draining_engine_resume_from_their_copy(self):
        """An engine is terminated 1.5 s after its notice, during a run.

        The run's KV cache moves to another engine. The caller gets one response
        without missing or duplicate events, and no two engines work on the run
        at once.
        """
        for replica in self.engines:
            replica.length = 100
        pending = asyncio.create_task(self.stream(request_id='s5'))
        source = await self.wait_until_working()
        source.leaving, source.leaves_ms = True, 1500
        self.register(source)
        response = await pending
        self.assert_complete(response, 's5', 100)
        self.assertEqual(self.fleet.started['s5'], [source.id])
        self.assertEqual(self.fleet.concurrent, set())
        destinations = [
            e.id
            for e in self.engines
            if any('kv-from' in headers for headers in e.requests)
        ]
        self.assertEqual(len(destinations), 1)
        self.assertNotEqual(destinations, [source.id])

    async def test_a_busy_link_makes_no_pause(self):
        """The final copy of a stopped run waits for a busy link.

        The run resumes from the first copy, which lacks a few tokens, instead
        of pausing until the link is free.
        """
        for replica in self.engines:
            replica.length, replica.final_copy_s = 80, 60.0
        # With the usual timeout of a switch, the copy would miss the deadline.
        patcher = mock.patch.object(continuation, 'STOP_TIMEOUT_S', 60.0)
        patcher.start()
        self.addCleanup(patcher.stop)
        pending = asyncio.create_task(self.stream(request_id='m1'))
        source = await self.wait_until_working()
        source.leaving, source.leaves_ms = True, 1900
        self.register(source)
        self.assert_complete(await pending, 'm1', 80)
        self.assertEqual(self.fleet.started['m1'], [source.id])
        self.assertEqual(self.fleet.concurrent, set())

    async def test_a_full_destination_sends_the_run_back(self):
        """No engine has room for a copy when the source drains.

        The run resumes where it is, and completes if the engine stays long
        enough.
        """
        for replica in self.engines:
            replica.length = 60
            replica.full = True
        pending = asyncio.create_task(self.stream(request_id='s6'))
        source = await self.wait_until_working()
        source.leaving = True
        self.register(source)
        response = await pending
        self.assert_complete(response, 's6', 60)

    async def test_engines_are_asked_while_the_store_is_away(self):
        """The store is down when an engine gets its termination notice.

        The gateway learns of it from the engine's report, as it has a run
        there, and moves the run in time.
        """
        for replica in self.engines:
            replica.length = 100
        pending = asyncio.create_task(self.stream(request_id='s7'))
        source = await self.wait_until_working()
        self.store.down = 'busy'
        source.leaving, source.leaves_ms = True, 1900
        upstreams = self.process.core.upstreams
        await self.wait_until(lambda: upstreams.get(source.id).leaving)
        response = await pending
        self.assert_complete(response, 's7', 100)
        self.assertEqual(self.fleet.started['s7'], [source.id])
        self.assertEqual(self.fleet.concurrent, set())

    async def test_no_engine_is_asked_while_the_store_answers(self):
        response = await self.stream(request_id='s8')
        self.assert_complete(response, 's8')
        self.assertEqual(sum(e.reports for e in self.engines), 0)

    async def test_a_caller_that_leaves_ends_the_run(self):
        """A caller abandons a long stream; the engine must stop the run."""
        for replica in self.engines:
            replica.length = 10_000
        caller = self.caller()
        await caller.open()
        caller.send('/plan/', method='POST', body=b'x', headers=PROMPT)
        await self.wait_until_working()
        caller.disconnect()
        await self.wait_until(lambda: self.working_engine() is None)
        live = self.process.core.live
        await self.wait_until(
            lambda: (
                not any(live.of(e) for e in self.process.core.upstreams.all())
            )
        )

    async def test_reservations_of_a_stream_are_released(self):
        await self.stream(request_id='s9')
        stats_table = self.process.core.stats_table
        for upstream in self.process.core.upstreams.available('writers'):
            self.assertEqual(stats_table.of(upstream).reserved_tokens, 0)


if __name__ == '__main__':
    unittest.main()
