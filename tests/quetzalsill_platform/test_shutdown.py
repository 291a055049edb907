"""Tests of what a stopping gateway does with requests that may outlast it."""

from __future__ import annotations

import asyncio
from unittest import mock

from quetzalsill_dev.users_platform import caller
from quetzalsill_gateway import event
from tests.quetzalsill_platform import fixture

LONG_EVENTS = 100_000
# A caller that expects 20 tokens and allows 4000.
UNDERESTIMATED = {
    'X-Quetzalsill-Token-Usage': '1000,4000',
    'X-Quetzalsill-Length-Hint': '20',
}
SHORT = {
    'X-Quetzalsill-Token-Usage': '100,40',
    'X-Quetzalsill-Length-Hint': '40',
}
# Two of these need more than the memory of an engine; with a `MEDIUM` one too.
LARGE = {
    'X-Quetzalsill-Token-Usage': '1000,28000',
    'X-Quetzalsill-Length-Hint': '28000',
}
MEDIUM = {
    'X-Quetzalsill-Token-Usage': '5000,20',
    'X-Quetzalsill-Length-Hint': '20',
}
PATIENT_ROUTES = [
    found | {'timeoutMs': 60_000, 'targetLatencyMs': 20_000}
    for found in fixture.ROUTES
]


class ShutdownTestCase(fixture.GatewayTestCase):
    """Starts a gateway whose callers have more time than it has to stop."""

    grace_s = 2.0
    leave_s = 0.3

    async def asyncSetUp(self):
        await super().asyncSetUp()
        document = fixture.configuration(6, PATIENT_ROUTES)
        self.store.put('op', 'config', document)
        holder = self.process.core.holder
        await self.wait_until(lambda: holder.current.version == 6)

    def set_length(self, events):
        for replica in self.engines:
            replica.length = events

    def send_later(self, request_id, target='/plan/', method='POST', **kwargs):
        """Returns the task of a request on a new connection."""
        kwargs = {'deadline_ms': 60_000, 'request_id': request_id} | kwargs
        return asyncio.create_task(
            self.request(target, method=method, **kwargs)
        )

    async def start_run(self, request_id, **kwargs):
        """Sends a request and returns its task once an engine runs it."""
        task = self.send_later(request_id, **kwargs)
        await self.wait_until(lambda: self.fleet.started.get(request_id))
        return task

    async def fill(self, count):
        """Starts runs that leave a number of engines little memory."""
        self.set_length(LONG_EVENTS)
        return [
            await self.start_run(f'run-{n}', headers=LARGE)
            for n in range(count)
        ]

    async def start_waiting(self, request_id, **kwargs):
        """Sends a request and returns its task once it is queued."""
        task = self.send_later(request_id, **kwargs)
        await self.wait_until(self.process.core.admission.waiting_tokens)
        return task

    async def stop(self, after_s=0.02):
        """Returns the task of a stop that began some time ago."""
        task = asyncio.create_task(self.process.stop())
        await asyncio.sleep(after_s)
        return task

    async def stop_during_response(self, conn):
        """Returns the task of a stop after a response with a kept connection.

        The head of the response came before the stop, its end after `leave_s`.
        """
        self.set_length(40)
        response = caller.Response()
        reading = asyncio.create_task(
            conn.request('/plan/', method='POST', response=response)
        )
        await self.wait_until(lambda: response.status)
        stopping = await self.stop()
        await reading
        self.assertTrue(response.complete)
        self.assertNotIn('connection', response.headers)
        return stopping

    def assert_not_run(self, response, request_id):
        self.assertEqual((response.status, response.complete), (503, True))
        self.assertIn('retry-after', response.headers)
        self.assertEqual(response.headers['connection'], 'close')
        self.assertNotIn(request_id, self.fleet.started)


class NewRunTest(ShutdownTestCase):
    """Generations that arrive while the gateway stops."""

    async def test_a_run_on_a_kept_connection_is_cut_off_by_the_exit(self):
        """Guards against runs that begin in the grace period and are cut."""
        kept = self.caller()
        stopping = await self.stop_during_response(kept)
        self.set_length(LONG_EVENTS)
        async with asyncio.timeout(fixture.WAIT_TIMEOUT_S):
            second = await kept.request(
                '/plan/',
                method='POST',
                request_id='second',
                deadline_ms=60_000,
                headers=UNDERESTIMATED,
            )
        self.assert_not_run(second, 'second')
        await stopping

    async def test_a_run_with_a_low_hint_is_cut_off_by_the_exit(self):
        """Guards against a hint far too low for the output that is allowed."""
        self.set_length(LONG_EVENTS)
        stopping = await self.stop()
        task = self.send_later('underestimated', headers=UNDERESTIMATED)
        self.assert_not_run(await task, 'underestimated')
        await stopping

    async def test_a_run_to_its_limit_is_cut_off_after_high_hints(self):
        """Guards against a time per token that is derived from hints alone."""
        self.set_length(LONG_EVENTS)
        # As after outputs that were far shorter than their hints.
        self.process.core.stats_table.mean_token_s = 0.0002
        stopping = await self.stop()
        usage = {'X-Quetzalsill-Token-Usage': '100,400'}
        response = await self.send_later('limited', headers=usage)
        self.assert_not_run(response, 'limited')
        await stopping

    async def test_a_run_that_ends_in_time_is_accepted(self):
        """Guards against refusing all that new callers bring before the exit.

        The balancer still sends them.
        """
        self.set_length(10)
        stopping = await self.stop()
        response = await self.send_later('short', headers=SHORT)
        self.assertEqual((response.status, response.complete), (200, True))
        await stopping

    async def test_a_request_after_the_balancer_stopped_is_refused(self):
        """Guards against work that begins when callers have other gateways."""
        kept = self.caller()
        stopping = await self.stop_during_response(kept)
        self.script('hang')
        async with asyncio.timeout(fixture.WAIT_TIMEOUT_S):
            second = await kept.request('/unsafe/', method='POST')
        self.assert_not_run(second, 'second')
        self.assertEqual(self.runs, [])
        await stopping


class ExitTest(ShutdownTestCase):
    """Requests that are still in progress, or wait, at the exit."""

    async def outcomes_of_stop(self):
        """Stops the gateway and returns the outcomes of its requests."""
        with mock.patch.object(event, 'note') as note:
            await self.process.stop()
            await asyncio.sleep(0)
        logged = [call.args[0] for call in note.call_args_list]
        return [
            record.outcome
            for record in logged
            if isinstance(record, event.RequestEnded)
        ]

    async def test_a_call_that_hangs_is_closed_unanswered_by_the_exit(self):
        """Guards against an accepted call whose connection just closes."""
        self.script('hang', 'hang')
        task = self.send_later('call', '/unsafe/')
        await self.wait_until(lambda: self.runs)
        self.assertEqual(await self.outcomes_of_stop(), ['stopped'])
        response = await task
        self.assertEqual((response.status, response.complete), (504, True))
        self.assertEqual(response.headers['connection'], 'close')
        self.assertNotIn('retry-after', response.headers)

    async def test_a_queued_run_is_closed_unanswered_by_the_exit(self):
        """Guards against a request that has not run, and gets no answer."""
        runs = await self.fill(3)
        waiting = await self.start_waiting('waiting', headers=MEDIUM)
        outcomes = await self.outcomes_of_stop()
        self.assert_not_run(await waiting, 'waiting')
        self.assertEqual(len(outcomes), len(runs) + 1)
        self.assertEqual(outcomes.count('stopped'), len(runs))
        await asyncio.gather(*runs)

    async def test_a_queued_run_that_an_engine_rejected_has_not_run(self):
        """Guards against an unknown outcome of a request that has not run."""
        runs = await self.fill(2)
        for replica in self.engines:
            replica.refuse = 503
        waiting = await self.start_waiting(
            'waiting', target='/verdict/', headers=MEDIUM
        )
        self.assertEqual(len(self.fleet.arrivals), len(runs) + 1)
        await self.process.stop()
        self.assert_not_run(await waiting, 'waiting')
        await asyncio.gather(*runs)


class WaitingTest(ShutdownTestCase):
    """Requests that wait to be sent as the gateway begins to stop."""

    async def test_a_queued_run_that_is_too_long_waits_for_the_exit(self):
        """Guards against a wait for an engine after which a run is cut off."""
        runs = await self.fill(3)
        waiting = await self.start_waiting('waiting', headers=LARGE)
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        stopping = await self.stop()
        self.assert_not_run(await waiting, 'waiting')
        self.assertLess(loop.time() - begun_s, self.leave_s)
        await stopping
        await asyncio.gather(*runs)

    async def test_a_run_whose_engine_gets_room_too_late_is_cut_off(self):
        """Guards against a run that fits as it arrives, not as it is sent."""
        self.set_length(70)
        runs = [
            await self.start_run(f'run-{n}', headers=LARGE) for n in range(3)
        ]
        waiting = await self.start_waiting('waiting', headers=MEDIUM)
        self.set_length(LONG_EVENTS)
        stopping = await self.stop()
        self.assert_not_run(await waiting, 'waiting')
        await stopping
        responses = await asyncio.gather(*runs)
        self.assertTrue(all(found.complete for found in responses))

    async def test_a_slow_call_is_sent_shortly_before_the_exit(self):
        """Guards against a call that servers are known to be too slow for."""
        for server in self.http_servers:
            server.work_s = 0.4
        await asyncio.gather(
            *(self.send_later('', '/safe/') for _ in range(30))
        )
        ran = len(self.runs)
        stopping = await self.stop()
        late = await self.send_later('late', '/unsafe/')
        self.assert_not_run(late, 'late')
        self.assertEqual(len(self.runs), ran)
        await stopping

    async def test_a_fast_call_with_a_distant_objective_is_served(self):
        """Guards against refusing calls by the time that they may take."""
        stopping = await self.stop()
        late = await self.send_later('late', '/unsafe/')
        self.assertEqual((late.status, late.complete), (200, True))
        await stopping
