"""Tests of the assembly of a router process."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import tempfile
import unittest

from quetzalsill.config import model
from quetzalsill.net import tls as net_tls
from quetzalsill.platform import clients
from quetzalsill.plugin import registry
from quetzalsill.settings import section
from quetzalsill.wire import listen
from quetzalsill_router import run, settings
from tests.quetzalsill.net import certificate
from tests.quetzalsill_router.peer import fake

TIMEOUT_S = 20.0
CREDENTIAL = 'a-credential-of-the-fleet'


class RunTest(unittest.IsolatedAsyncioTestCase):
    """Components of a router that is not serving."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.accepted = asyncio.Queue()

    async def on_link(self, conn):
        await self.accepted.put(conn)
        async for _ in conn.messages():
            pass

    async def serve(self, tls):
        sidecar = fake.FakeSidecar(1, fake.Engine(1))
        server = listen.LinkServer(
            section.Listen(),
            CREDENTIAL,
            lambda _: sidecar.welcome(),
            self.on_link,
            section.LinkTiming(),
            net_tls.server_context(tls),
        )
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server.port

    async def test_links_use_replaced_certificates(self):
        """Links fail once the certificate loaded at the start has expired.

        The router's files were replaced in time while its process kept
        running, and sidecars accept only certificates of the new authority.
        """
        registry.REGISTRY.load()
        old_authority = certificate.Authority(self.folder, 'ours')
        new_authority = certificate.Authority(self.folder, 'other')
        platform = section.Platform(*['http://127.0.0.1:1'] * 3)
        cfg = settings.RouterSettings(
            node=section.Node('entry-1', 'dha-hall'),
            listen=section.Listen(),
            platform=platform,
            credential=CREDENTIAL,
            link_tls=old_authority.issue('router'),
        )
        ctx, _ = run._build(cfg, clients.Clients(platform), 1)
        self.addAsyncCleanup(ctx.peers.stop)
        shutil.copy(new_authority.path, old_authority.path)
        new_authority.issue('router')
        port = await self.serve(new_authority.issue('sidecar'))
        spec = model.Upstream('model', f'127.0.0.1:{port}', 'dha-hall')
        ctx.peers.reconcile(
            model.Configuration(upstreams={'engine-1': spec}), None
        )
        conn = await asyncio.wait_for(self.accepted.get(), TIMEOUT_S)
        self.assertEqual(conn.peer.node, 'entry-1')


if __name__ == '__main__':
    unittest.main()
