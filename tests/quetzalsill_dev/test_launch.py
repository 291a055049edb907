"""Tests of the launcher, with stand-ins as its processes."""

from __future__ import annotations

import signal
import unittest

import httpx2

from quetzalsill_dev import caller, launch


class LaunchTest(unittest.IsolatedAsyncioTestCase):
    """Processes of a single launcher."""

    async def asyncSetUp(self):
        self.launcher = launch.Launcher()
        self.addAsyncCleanup(self.launcher.close)

    def service(self):
        return self.launcher.start('app', 'quetzalsill_dev.service_standin')

    async def test_paused_process_resumes_and_ends_when_killed(self):
        process = await self.service()
        process.stop()
        async with caller.open_client(process.url) as client:
            with self.assertRaises(httpx2.ReadTimeout):
                await client.get('/', timeout=0.5)
            process.cont()
            self.assertEqual((await client.get('/')).status_code, 200)
        process.kill()
        self.assertEqual(await process.wait(), -signal.SIGKILL)
        self.assertFalse(process.running)

    async def test_closing_ends_paused_processes(self):
        process = await self.service()
        process.stop()
        await self.launcher.close()
        self.assertFalse(process.running)

    async def test_start_failure_includes_the_output(self):
        with self.assertRaisesRegex(launch.StartFailedError, 'No such option'):
            await self.launcher.start(
                'app', 'quetzalsill_dev.service_standin', '--nonsense'
            )

    async def test_order_is_counted_if_its_connection_is_closed(self):
        """The service accepts an order and fails before it responds.

        The kept-alive connection is closed. The order counts once; a client
        that retried it would raise the count.
        """
        process = await self.service()
        async with caller.open_client(process.url) as client:
            await client.get('/')
            await client.post('/stand-in', json={'close_orders': 1})
            with self.assertRaises(httpx2.RemoteProtocolError):
                await client.post('/orders', json={'id': 'o1'})
            audit = (await client.get('/stand-in/audit')).json()
        self.assertEqual(audit['orders'], {'o1': 1})

    async def test_caller_receives_a_complete_generation(self):
        engine = await self.launcher.start(
            'engine',
            'quetzalsill_dev.engine_standin',
            '--models=m',
            '--token-s=0.001',
        )
        body = {'model': 'm', 'prompt': '[[tokens=20]]'}
        async with caller.open_client(engine.url) as client:
            answer = await caller.generate(client, body)
        self.assertEqual(len(answer.texts), 20)
        self.assertTrue(answer.is_complete)
        answer.texts[3] = 'g1.3 '
        self.assertFalse(answer.is_complete)


if __name__ == '__main__':
    unittest.main()
