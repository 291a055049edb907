"""A gateway's readiness, metrics, stop and reload."""

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


class ProcessTest(fixture.PathTest):
    """What the balancer, on-call engineers and the host see."""

    async def asked(self, path):
        found = caller.Caller('127.0.0.1', self.process.readiness.port)
        return await found.ask(path)

    async def test_readiness_and_metrics(self):
        self.assertEqual((await self.asked('/-/readyz')).status, 200)
        await self.ask('/safe/')
        told = (await self.asked('/metrics')).body.decode()
        self.assertIn('quetzalsill_gateway_requests_total{', told)
        self.assertIn('quetzalsill_gateway_upstreams{state="live"} 5', told)
        self.assertEqual((await self.asked('/other')).status, 404)

    async def test_a_stop_ends_within_its_grace(self):
        for writer in self.engines:
            writer.length = 100_000
        streaming = asyncio.create_task(
            self.ask('/plan/', method='POST', request_id='p2')
        )
        await self.until(lambda: self.fleet.started.get('p2'))
        with mock.patch.object(event, 'note') as note:
            async with asyncio.timeout(fixture.BOUND_S):
                await self.process.stop()
                answer = await streaming
        self.assertFalse(answer.whole)
        told = [call.args[0] for call in note.call_args_list]
        ends = [one for one in told if isinstance(one, event.RequestEnded)]
        self.assertEqual([one.outcome for one in ends], ['stopped'])


class GracefulStopTest(fixture.PathTest):
    """A gateway with time to end what is under way, and for new callers."""

    grace_s = 10.0
    leave_s = 3.0

    async def test_a_stopping_gateway_takes_no_run_that_outlasts_it(self):
        """A long plan comes just before its gateway ends.

        Taken, it would be cut off in the middle, and may not run again. It is
        refused truly and at once, so that its caller asks another gateway.
        """
        prompt = {
            'X-Quetzalsill-Token-Usage': '1000,4000',
            'X-Quetzalsill-Length-Hint': '4000',
        }
        stopping = asyncio.create_task(self.process.stop())
        await asyncio.sleep(0.02)
        long = await self.ask(
            '/plan/', method='POST', request_id='p3', headers=prompt
        )
        self.assertEqual(long.status, 503)
        self.assertIn('retry-after', long.headers)
        self.assertNotIn('p3', self.fleet.started)
        short = await self.ask('/plan/', method='POST', request_id='p4')
        self.assertEqual((short.status, short.whole), (200, True))
        await stopping

    async def test_a_graceful_stop_cuts_no_request(self):
        """A gateway is stopped with a stream under way and callers around.

        It is not ready at once, serves new callers while the balancer still
        sends them, and ends the stream whole before it goes.
        """
        for writer in self.engines:
            writer.length = 50
        streaming = asyncio.create_task(
            self.ask('/plan/', method='POST', request_id='p1')
        )
        await self.until(lambda: self.fleet.started.get('p1'))
        idle = self.caller()
        await idle.open()
        stopping = asyncio.create_task(self.process.stop())
        await asyncio.sleep(0.02)
        self.assertFalse(self.process.is_ready())
        late = await self.ask('/safe/')
        self.assertEqual((late.status, late.whole), (200, True))
        self.assertEqual(late.headers['connection'], 'close')
        answer = await streaming
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, self.whole('p1', 50))
        async with asyncio.timeout(fixture.BOUND_S):
            await stopping
        self.assertEqual((await idle.read()).status, 0)


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    """SIGHUP, which would end a process that does not know it."""

    async def asyncSetUp(self):
        self.settings = settings_lib.Settings(
            node=None, listen='a', ready='b', store='c'
        )
        self.found = copy.deepcopy(self.settings)
        self.applied = asyncio.Event()
        self.notes = []
        patch = mock.patch.object(event, 'note', self.note)
        patch.start()
        self.addCleanup(patch.stop)
        loop = asyncio.get_running_loop()
        self.addCleanup(loop.remove_signal_handler, signal.SIGHUP)
        reload.reload_on_sighup(self.settings, self.read, lambda _s: None)

    def note(self, told):
        self.notes.append(told)
        self.applied.set()

    def read(self):
        if isinstance(self.found, Exception):
            raise self.found
        return self.found

    async def hang_up(self):
        self.applied.clear()
        os.kill(os.getpid(), signal.SIGHUP)
        async with asyncio.timeout(fixture.BOUND_S):
            await self.applied.wait()
        return self.notes[-1]

    async def test_what_may_change_changes_and_the_rest_waits(self):
        self.found.retry.allowance = 7
        self.found.listen = 'elsewhere'
        told = await self.hang_up()
        self.assertEqual(told, event.SettingsReloaded('retry', 'listen'))
        self.assertEqual(self.settings.retry.allowance, 7)
        self.assertEqual(self.settings.listen, 'a')

    async def test_settings_that_do_not_fit_are_left_out(self):
        fault = schema_error.InvalidKeyError('f', 'retry.ratio', '7', '0 to 1')
        self.found = schema_error.InvalidDocumentError('f', [fault])
        told = await self.hang_up()
        self.assertIsInstance(told, event.SettingsInvalid)
        self.assertIn('retry.ratio', told.faults)


if __name__ == '__main__':
    unittest.main()
