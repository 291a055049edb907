"""Mutual TLS between processes of routers and sidecars."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import shutil
import ssl
import tempfile
import unittest

import httpx2

from quetzalsill.settings import section
from quetzalsill.wire import dial, message
from quetzalsill.wire import error as wire_error
from quetzalsill_dev import board, caller, process_settings
from tests.failure import relayed
from tests.quetzalsill.net import certificate

NAMES = ('router', 'sidecar', 'caller')
HELLO = message.Hello(
    message.VERSION, 'eve', 1, process_settings.CREDENTIAL, 'ikeja-hall', 0
)


def make_context(tls):
    """Returns a client context, with a certificate if `tls` has one."""
    context = ssl.create_default_context(cafile=tls.authority)
    if tls.certificate:
        context.load_cert_chain(tls.certificate, tls.key)
    return context


class TlsTest(relayed.RelayedTestCase):
    """A router and a sidecar that require certificates, and a relay."""

    LAYOUT = board.board_layout(engines=1, services=0, routers=1)

    @classmethod
    def setUpClass(cls):
        cls.folder = pathlib.Path(
            cls.enterClassContext(tempfile.TemporaryDirectory())
        )
        cls.trusted = certificate.Authority(cls.folder, 'ours')
        cls.other_authority = certificate.Authority(cls.folder, 'other')
        cls.caller = cls.trusted.issue('caller')
        router = dataclasses.asdict(cls.trusted.issue('router'))
        sidecar = dataclasses.asdict(cls.trusted.issue('sidecar'))
        cls.CHANGES = {
            'router': {'tls': router, 'link_tls': router},
            'sidecar': {'tls': sidecar},
        }
        cls.pem = cls.trusted.path.read_bytes()
        cls.TLS = make_context(cls.caller)
        super().setUpClass()

    async def restore(self):
        self.trusted.path.write_bytes(self.pem)
        for name in NAMES:
            self.trusted.issue(name)
        self.cluster.tls = make_context(self.caller)
        await super().restore()

    def start_request(
        self, tokens, name='plan', profile='prompt', router=0, **headers
    ):
        answer = caller.Response()
        task = asyncio.create_task(self.stream(answer, tokens, self.caller))
        return answer, task

    async def stream(self, answer, tokens, tls):
        token = board.TOKENS['retailers']
        context = make_context(tls)
        async with caller.open_client(self.url(), token, context) as client:
            return await caller.generate(
                client, relayed.body(tokens), answer=answer
            )

    def untrusted_clients(self):
        """TLS settings of clients that must be refused."""
        authority = self.caller.authority
        foreign = self.other_authority.issue('foreign')
        return {
            'none': section.Tls(authority=authority),
            'expired': self.trusted.issue('expired', -certificate.DAY),
            'foreign': dataclasses.replace(foreign, authority=authority),
        }

    async def dial(self, tls):
        (sidecar,) = self.cluster.sidecars.values()
        timing = section.LinkTiming()
        link = await dial.dial('127.0.0.1', sidecar.port, HELLO, timing, tls)
        try:
            async for _ in link.messages():
                return
        finally:
            link.close()

    def count_refusals(self, process):
        return process.log_text().count('event=handshake_refused')

    @relayed.fixture.on_cluster
    async def test_untrusted_peers_are_refused_and_disturb_nobody(self):
        """An untrusted client gets through to a router or a sidecar.

        It has no certificate, one that has expired or one of another
        authority, or doesn't use TLS. An answer is streamed meanwhile.
        """
        answer, task = self.start_request(200)
        await self.wait_for_tokens(1, answer)
        processes = [
            *self.cluster.routers.values(),
            *self.cluster.sidecars.values(),
        ]
        before = [self.count_refusals(process) for process in processes]
        for name, tls in self.untrusted_clients().items():
            with self.subTest(name):
                with self.assertRaises(httpx2.TransportError):
                    await self.stream(caller.Response(), 3, tls)
                with self.assertRaises(wire_error.WireError):
                    await self.dial(make_context(tls))
        with self.assertRaises(wire_error.WireError):
            await self.dial(None)
        await self.dial(make_context(self.caller))
        self.assert_whole(await task, 200)
        for process, count in zip(processes, before, strict=True):
            self.assertGreaterEqual(self.count_refusals(process), count + 3)

    @relayed.fixture.on_cluster
    async def test_files_are_replaced_while_the_processes_run(self):
        """The authority and all certificates are replaced without a restart.

        First the sidecar's alone, by one that has expired: the router does
        not link to it and refuses work as not run. Then all: new links and
        clients use the new authority, and the old certificate is refused.
        """
        (proxy,) = self.relays.values()
        self.trusted.issue('sidecar', -certificate.DAY)
        proxy.cut()
        refused = await self.wait_until_refused()
        self.assertIs(refused.error['error']['not_run'], True)
        old = self.trusted.issue('old')
        shutil.copy(self.other_authority.path, self.trusted.path)
        for name in NAMES:
            self.other_authority.issue(name)
        proxy.cut()
        await self.wait_until(self.is_served)
        with self.assertRaises(httpx2.TransportError):
            await self.stream(caller.Response(), 3, old)

    async def wait_until_refused(self):
        found = []

        async def refused():
            found.append(await self.start_request(1)[1])
            return found[-1].status == 503

        await self.wait_until(refused)
        return found[-1]


if __name__ == '__main__':
    unittest.main()
