"""Tests of a gateway's readiness, metrics, stop and reload."""

from __future__ import annotations

import asyncio
import copy
import os
import signal
import unittest
from unittest import mock

from quetzalsill.schema import error as schema_error
from quetzalsill_dev.users_platform import caller
from quetzalsill_gateway import event, reload
from quetzalsill_gateway import settings as settings_lib
from tests.quetzalsill_platform import fixture


class ProcessTest(fixture.GatewayTestCase):
    """Readiness, metrics and a stop that exceeds its grace period."""

    async def fetch_from_readiness_port(self, path):
        client = caller.Caller('127.0.0.1', self.process.readiness.port)
        return await client.request(path)

    async def test_readiness_and_metrics(self):
        self.assertEqual(
            (await self.fetch_from_readiness_port('/-/readyz')).status, 200
        )
        await self.request('/safe/')
        metrics = (
            await self.fetch_from_readiness_port('/metrics')
        ).body.decode()
        self.assertIn('quetzalsill_gateway_requests_total{', metrics)
        self.assertIn('quetzalsill_gateway_upstreams{state="live"} 5', metrics)
        self.assertEqual(
            (await self.fetch_from_readiness_port('/other')).status, 404
        )

    async def test_a_stop_ends_within_its_grace(self):
        for replica in self.engines:
            replica.length = 100_000
        streaming = asyncio.create_task(
            self.request('/plan/', method='POST', request_id='p2')
        )
        await self.wait_until(lambda: self.fleet.started.get('p2'))
        with mock.patch.object(event, 'note') as note:
            async with asyncio.timeout(fixture.WAIT_TIMEOUT_S):
                await self.process.stop()
                response = await streaming
        self.assertFalse(response.complete)
        logged = [call.args[0] for call in note.call_args_list]
        request_ends = [
            record
            for record in logged
            if isinstance(record, event.RequestEnded)
        ]
        self.assertEqual(
            [record.outcome for record in request_ends], ['stopped']
        )


class GracefulStopTest(fixture.GatewayTestCase):
    """A stop with time to finish requests and to serve new callers."""

    grace_s = 10.0
    leave_s = 3.0

    async def test_a_stopping_gateway_takes_no_run_that_outlasts_it(self):
        """A long run is requested shortly before the gateway exits.

        If it were accepted, it would be cut off, and may not run again. It is
        refused at once as not run, so that the caller tries another gateway.
        """
        prompt = {
            'X-Quetzalsill-Token-Usage': '1000,4000',
            'X-Quetzalsill-Length-Hint': '4000',
        }
        # Its own time limit must not end it before the gateway exits.
        routes = [one | {'timeoutMs': 60_000} for one in fixture.ROUTES]
        self.store.put('op', 'config', fixture.configuration(6, routes))
        holder = self.process.core.holder
        await self.wait_until(lambda: holder.current.version == 6)
        stopping = asyncio.create_task(self.process.stop())
        await asyncio.sleep(0.02)
        long = await self.request(
            '/plan/',
            method='POST',
            request_id='p3',
            headers=prompt,
            deadline_ms=60_000,
        )
        self.assertEqual(long.status, 503)
        self.assertIn('retry-after', long.headers)
        self.assertNotIn('p3', self.fleet.started)
        short = await self.request('/plan/', method='POST', request_id='p4')
        self.assertEqual((short.status, short.complete), (200, True))
        await stopping

    async def test_a_graceful_stop_cuts_no_request(self):
        """A gateway is stopped during a stream and with an idle connection.

        It becomes unready at once, serves new callers while the balancer still
        sends them, and completes the stream before it exits.
        """
        for replica in self.engines:
            replica.length = 50
        streaming = asyncio.create_task(
            self.request('/plan/', method='POST', request_id='p1')
        )
        await self.wait_until(lambda: self.fleet.started.get('p1'))
        idle = self.caller()
        await idle.open()
        stopping = asyncio.create_task(self.process.stop())
        await asyncio.sleep(0.02)
        self.assertFalse(self.process.is_ready())
        late = await self.request('/safe/')
        self.assertEqual((late.status, late.complete), (200, True))
        self.assertEqual(late.headers['connection'], 'close')
        response = await streaming
        self.assertTrue(response.complete)
        self.assertEqual(response.body, self.expected_stream('p1', 50))
        async with asyncio.timeout(fixture.WAIT_TIMEOUT_S):
            await stopping
        self.assertEqual((await idle.read()).status, 0)


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    """SIGHUP reloads the settings, where its default would end the process."""

    async def asyncSetUp(self):
        self.settings = settings_lib.Settings(
            node=None, listen='a', ready='b', store='c'
        )
        self.loaded = copy.deepcopy(self.settings)
        self.applied = asyncio.Event()
        self.events = []
        patch = mock.patch.object(event, 'note', self.note)
        patch.start()
        self.addCleanup(patch.stop)
        loop = asyncio.get_running_loop()
        self.addCleanup(loop.remove_signal_handler, signal.SIGHUP)
        reload.reload_on_sighup(self.settings, self.read, lambda _s: None)

    def note(self, logged):
        self.events.append(logged)
        self.applied.set()

    def read(self):
        if isinstance(self.loaded, Exception):
            raise self.loaded
        return self.loaded

    async def send_sighup(self):
        self.applied.clear()
        os.kill(os.getpid(), signal.SIGHUP)
        async with asyncio.timeout(fixture.WAIT_TIMEOUT_S):
            await self.applied.wait()
        return self.events[-1]

    async def test_what_may_change_changes_and_the_rest_waits(self):
        self.loaded.retry.allowance = 7
        self.loaded.listen = 'elsewhere'
        logged = await self.send_sighup()
        self.assertEqual(logged, event.SettingsReloaded('retry', 'listen'))
        self.assertEqual(self.settings.retry.allowance, 7)
        self.assertEqual(self.settings.listen, 'a')

    async def test_settings_that_do_not_fit_are_left_out(self):
        fault = schema_error.InvalidKeyError('f', 'retry.ratio', '7', '0 to 1')
        self.loaded = schema_error.InvalidDocumentError('f', [fault])
        logged = await self.send_sighup()
        self.assertIsInstance(logged, event.SettingsInvalid)
        self.assertIn('retry.ratio', logged.faults)


if __name__ == '__main__':
    unittest.main()
