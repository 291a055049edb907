"""Test fixtures: routers with the administration API for the command line."""

from __future__ import annotations

import asyncio
import pathlib
import socket
import tempfile
import threading
import unittest

from click import testing

from quetzalsill.net import server
from quetzalsill.plugin import registry
from quetzalsill.settings import section
from quetzalsill_cli import plugin, run
from tests.quetzalsill_router.admin import fake

TIMEOUT_S = 30


class LossyApp:
    """Wraps an application and truncates responses to writes.

    Attributes:
      responses_to_lose: How many of the next writes take effect with their
        responses truncated.
      calls: Method, path and edit id of each call.
    """

    def __init__(self, app):
        self._app = app
        self.responses_to_lose = 0
        self.calls = []

    async def __call__(self, scope, receive, send):
        if scope['type'] != 'http':
            return await self._app(scope, receive, send)
        headers = dict(scope['headers'])
        edit = headers.get(b'x-edit-id', b'').decode()
        self.calls.append((scope['method'], scope['path'], edit))
        if scope['method'] == 'GET' or not self.responses_to_lose:
            return await self._app(scope, receive, send)
        self.responses_to_lose -= 1
        await self._app(scope, receive, _discard)
        await send({
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', b'100')],
        })  # fmt: skip
        return None


async def _discard(message):
    """Drops a message of the response that is to be lost."""


class ServedRouter:
    """A router with its listener."""

    def __init__(self, router, tls):
        self.router = router
        self.app = LossyApp(router.app)
        self._scheme = 'https' if tls else 'http'
        self._server = server.HttpServer(
            self.app, section.Listen('127.0.0.1', 0), tls
        )

    async def start(self):
        await self._server.start()
        self.url = f'{self._scheme}://127.0.0.1:{self._server.port}'

    async def stop(self):
        await self._server.stop(1)


class RouterThread:
    """Runs routers on an event loop in a separate thread."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._served = []

    def run(self, coroutine):
        fut = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return fut.result(TIMEOUT_S)

    def add(self, router, tls=None):
        return self.run(self._add(router, tls))

    async def _add(self, router, tls):
        served = ServedRouter(router, tls)
        await served.start()
        self._served.append(served)
        return served

    def close(self):
        for served in self._served:
            self.run(served.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(TIMEOUT_S)
        self._loop.close()


def unused_url():
    """Returns a URL that nothing listens on."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'http://127.0.0.1:{sock.getsockname()[1]}'


class LaggingPeer(fake.Peer):
    """A sidecar that reports revision 1 first, then its router's revision."""

    def __init__(self, router, stale_reads=0):
        super().__init__('ikeja-1')
        self._router = router
        self.stale_reads_left = stale_reads

    @property
    def load(self):
        """A load with revision 1 for the first `stale_reads` reads."""
        if self.stale_reads_left:
            self.stale_reads_left -= 1
            return fake.load(1)
        return fake.load(self._router.holder.revision)

    @load.setter
    def load(self, value):
        """Ignores the default value that the dataclass sets."""


class CommandTestCase(unittest.TestCase):
    """Runs commands against a router with a first configuration."""

    def setUp(self):
        self.routers = RouterThread()
        self.addCleanup(self.routers.close)
        self.router = fake.Router()
        self.router.install()
        self.router.peers = [LaggingPeer(self.router)]
        self.served = self.routers.add(self.router)
        plugins = registry.Registry()
        plugin.register(plugins)
        self.command = run.build(plugins)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def add_router(self):
        """Adds a second router on the same store."""
        router = fake.Router(self.router.store, 'entry-2')
        held = self.router.holder
        router.holder.install(held.document, held.revision)
        return self.routers.add(router)

    def invoke(self, *arguments, urls=None, token=fake.OPERATOR, **options):
        """Runs a command and returns its result."""
        router_options = [
            word for url in urls or [self.served.url]
            for word in ('--router', url)
        ]  # fmt: skip
        return testing.CliRunner().invoke(
            self.command,
            [*router_options, '--timeout', '5', *arguments],
            env={'QUETZALSILL_TOKEN': token, 'QUETZALSILL_ROUTER': None},
            **options,
        )

    def file(self, text, name='configuration.json5'):
        """Writes a file and returns its path."""
        path = self.folder / name
        path.write_text(text, encoding='utf-8')
        return str(path)
