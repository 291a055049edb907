"""Routers and sidecars that talk with certificates, as processes."""

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


def context(tls):
    """Context of a client that shows a certificate, if it has one."""
    made = ssl.create_default_context(cafile=tls.authority)
    if tls.certificate:
        made.load_cert_chain(tls.certificate, tls.key)
    return made


class TlsTest(relayed.RelayedTestCase):
    """A router and a sidecar that demand certificates, a relay between."""

    LAYOUT = board.board_layout(engines=1, services=0, routers=1)

    @classmethod
    def setUpClass(cls):
        cls.folder = pathlib.Path(
            cls.enterClassContext(tempfile.TemporaryDirectory())
        )
        cls.ours = certificate.Authority(cls.folder, 'ours')
        cls.other = certificate.Authority(cls.folder, 'other')
        cls.caller = cls.ours.issue('caller')
        router = dataclasses.asdict(cls.ours.issue('router'))
        sidecar = dataclasses.asdict(cls.ours.issue('sidecar'))
        cls.CHANGES = {
            'router': {'tls': router, 'link_tls': router},
            'sidecar': {'tls': sidecar},
        }
        cls.pem = cls.ours.path.read_bytes()
        cls.TLS = context(cls.caller)
        super().setUpClass()

    async def restore(self):
        self.ours.path.write_bytes(self.pem)
        for name in NAMES:
            self.ours.issue(name)
        self.cluster.tls = context(self.caller)
        await super().restore()

    def ask(self, tokens, name='plan', profile='prompt', router=0, **headers):
        answer = caller.Response()
        task = asyncio.create_task(self.stream(answer, tokens, self.caller))
        return answer, task

    async def stream(self, answer, tokens, tls):
        token = board.TOKENS['retailers']
        made = context(tls)
        async with caller.open_client(self.url(), token, made) as client:
            return await caller.generate(
                client, relayed.body(tokens), answer=answer
            )

    def strangers(self):
        """Who must not be let in."""
        authority = self.caller.authority
        foreign = self.other.issue('foreign')
        return {
            'none': section.Tls(authority=authority),
            'expired': self.ours.issue('expired', -certificate.DAY),
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

    def warnings(self, process):
        return process.log_text().count('event=handshake_refused')

    @relayed.fixture.on_cluster
    async def test_strangers_are_refused_and_disturb_nobody(self):
        """Someone on the network calls the router and dials the sidecar.

        It has no certificate, one that has expired, or one of another
        authority, or it speaks no TLS. A caller is being answered meanwhile.
        """
        answer, task = self.ask(200)
        await self.until_tokens(1, answer)
        processes = [
            *self.cluster.routers.values(),
            *self.cluster.sidecars.values(),
        ]
        before = [self.warnings(process) for process in processes]
        for name, tls in self.strangers().items():
            with self.subTest(name):
                with self.assertRaises(httpx2.TransportError):
                    await self.stream(caller.Response(), 3, tls)
                with self.assertRaises(wire_error.WireError):
                    await self.dial(context(tls))
        with self.assertRaises(wire_error.WireError):
            await self.dial(None)
        await self.dial(context(self.caller))
        self.assert_whole(await task, 200)
        for process, count in zip(processes, before, strict=True):
            self.assertGreaterEqual(self.warnings(process), count + 3)

    @relayed.fixture.on_cluster
    async def test_files_are_replaced_while_the_processes_run(self):
        """The authority and all certificates are replaced before they end.

        First the sidecar's alone, by one that has expired: the router takes
        no link to it and refuses work as not run. Then all: new links and new
        callers go by the new authority, and the old certificate is refused.
        """
        (middle,) = self.relays.values()
        self.ours.issue('sidecar', -certificate.DAY)
        middle.cut()
        refused = await self.until_refused()
        self.assertIs(refused.error['error']['not_run'], True)
        old = self.ours.issue('old')
        shutil.copy(self.other.path, self.ours.path)
        for name in NAMES:
            self.other.issue(name)
        middle.cut()
        await self.until(self.is_served)
        with self.assertRaises(httpx2.TransportError):
            await self.stream(caller.Response(), 3, old)

    async def until_refused(self):
        found = []

        async def refused():
            found.append(await self.ask(1)[1])
            return found[-1].status == 503

        await self.until(refused)
        return found[-1]


if __name__ == '__main__':
    unittest.main()
