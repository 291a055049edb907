"""A gateway process with stand-ins, and crowds of clients around it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import unittest

from quetzalsill_dev import crowd, launch
from quetzalsill_dev.testing import evidence
from quetzalsill_dev.users_platform import caller, engine, http_server, store
from tests.quetzalsill_platform import fixture

SCRIPT = pathlib.Path('platform/run.py')
MEMORY_MB = 80
DESCRIPTORS = 400
# How long a crowd stays, and how long an ordinary caller waits after it.
CROWD_S = 6.0
PATIENCE_S = 40.0
KEY = b'Authorization: Bearer key-1\r\n'
SHORT_LINES = b'a:\r\n' * 3000


def head(target=b'/safe/', lines=b'', key=KEY, method=b'GET'):
    """Returns a request head, up to and including its empty line."""
    return (
        b'%s %s HTTP/1.1\r\nHost: shop.example\r\n'
        b'X-Quetzalsill-Attempt-Id: crowd\r\n%s%s\r\n'
        % (method, target, key, lines)
    )


def length(size):
    """Returns the header of a body's length."""
    return b'Content-Length: %d\r\n' % size


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a gateway process, a store, HTTP servers and engines.

    Attributes:
      limits: Limits of clients in the configuration; absent ones have their
        defaults.
    """

    limits = {}

    async def asyncSetUp(self):
        self.store = store.Store()
        await self.store.server.start()
        self.addAsyncCleanup(self.store.server.stop)
        self.desks = [http_server.HttpServer(f'desk-{n}') for n in (1, 2)]
        fleet = engine.Fleet()
        engines = [engine.Engine(fleet, f'engine-{n}') for n in (1, 2)]
        for one in (*self.desks, *engines):
            await one.start()
            self.addAsyncCleanup(one.server.stop)
        self.configure(5, **self.limits)
        for desk in self.desks:
            self.store.put('servers', desk.id, desk.entry('desk', 'zone-a'))
        for one in engines:
            self.store.put('servers', one.id, one.entry('writers', 'zone-a'))
        self.launcher = launch.Launcher()
        await self.launcher.__aenter__()
        self.addAsyncCleanup(self.launcher.close)
        self.addCleanup(self.keep_evidence)
        self.process = await self.start_gateway()
        await self.wait_for_answer()

    def configure(self, version, **limits):
        """Publishes a configuration with some limits of clients."""
        document = fixture.configuration(version, **limits)
        self.store.put('op', 'config', document)

    async def start_gateway(self):
        """Starts a gateway with little memory and few descriptors."""
        path = self.launcher.folder / 'entry-1.json'
        settings = {
            'node': {'name': 'entry-1', 'availability_zone': 'zone-a'},
            'listen': '127.0.0.1:0',
            'ready': '127.0.0.1:0',
            'store': self.store.server.address_text,
            'deployment': 'platform',
            'machine': {
                'memory_mb': MEMORY_MB,
                'file_descriptors': DESCRIPTORS,
            },
            'stop': {'grace_s': 4.0, 'leave_s': 0.3},
        }
        path.write_text(json.dumps(settings))
        return await self.launcher.start_python(
            'entry-1', str(SCRIPT), 'gateway', '--settings', str(path)
        )

    def keep_evidence(self):
        outcome = self._outcome
        if outcome is not None and not outcome.success:
            within = evidence.folder(pathlib.Path.cwd())
            evidence.keep(within, self.id(), self.launcher.folder)

    async def wait_for_answer(self):
        """Sends ordinary requests until one is answered with success."""
        async with asyncio.timeout(PATIENCE_S):
            while (await self.request()).status != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def request(self, target='/safe/', **kwargs):
        """Sends an ordinary request on a connection of its own."""
        client = caller.Caller('127.0.0.1', self.process.port)
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await client.request(target, **kwargs)
        except OSError:
            return caller.Response()
        finally:
            client.disconnect()

    @contextlib.asynccontextmanager
    async def crowd(self, count, payload, *, stops=False, **kwargs):
        """Runs the block beside a crowd; checks what the gateway uses.

        Args:
          count: Number of clients.
          payload: See `crowd.Crowd`.
          stops: Whether the block stops the gateway.
          kwargs: See `crowd.Crowd`.
        """
        clients = crowd.Crowd(self.process.port, count, payload, **kwargs)
        async with (
            crowd.watch(self.process.pid, self.process.port) as peak,
            clients.present(CROWD_S),
        ):
            yield
        print(
            f'{self.id()}: {clients.attempts} connections,'
            f' {peak.memory_mb:.0f} MB, {peak.descriptors} descriptors'
        )
        self.assertEqual(self.process.running, not stops)
        self.assertLess(peak.memory_mb, MEMORY_MB)
        self.assertLess(peak.descriptors, DESCRIPTORS)

    async def check_crowd(self, count, payload, **kwargs):
        """Checks the gateway beside a crowd and its answer afterwards."""
        async with self.crowd(count, payload, **kwargs):
            pass
        response = await self.request()
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertTrue(self.process.running, 'the process has ended')
