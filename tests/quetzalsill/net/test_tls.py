"""Tests of TLS with certificates on both ends."""

from __future__ import annotations

import pathlib
import shutil
import tempfile
import unittest
from unittest import mock

from quetzalsill import event
from quetzalsill.net import client, error, server, tls
from quetzalsill.settings import section
from tests.quetzalsill.net import certificate, scripted_server


async def app(scope, receive, send):
    if scope['type'] != 'http':
        raise NotImplementedError
    head = {'type': 'http.response.start', 'status': 204, 'headers': []}
    await send(head)
    await send({'type': 'http.response.body'})


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Only peers with a valid certificate of the authority are accepted."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.ours = certificate.Authority(self.folder, 'ours')
        self.other = certificate.Authority(self.folder, 'other')
        self.router = self.ours.issue('router')
        self.sidecar = self.ours.issue('sidecar')

    async def serve(self, settings):
        self.server = server.HttpServer(app, section.Listen(), settings)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, 0)

    async def call(self, settings):
        session = client.session(
            f'https://127.0.0.1:{self.server.port}',
            scripted_server.TIMEOUT_S,
            settings,
        )
        try:
            return (await session.get('/')).status
        finally:
            await session.close()

    async def assert_refused(self, settings):
        with self.assertRaises(error.NetError):
            await self.call(settings)

    async def test_own_certificates_are_accepted(self):
        await self.serve(self.sidecar)
        self.assertEqual(await self.call(self.router), 204)

    async def test_clients_without_a_valid_certificate_are_refused(self):
        """An unauthorized client on the network sends commands to an engine."""
        await self.serve(self.sidecar)
        none = section.Tls(authority=self.router.authority)
        expired = self.ours.issue('expired', -certificate.DAY)
        foreign = self.other.issue('foreign')
        foreign.authority = self.router.authority
        with mock.patch.object(tls.event, 'note') as note:
            for refused in (none, expired, foreign):
                await self.assert_refused(refused)
            self.assertEqual(await self.call(self.router), 204)
        # Without a log line, operators can't tell it from a dead listener.
        events = [type(call.args[0]) for call in note.call_args_list]
        self.assertEqual(events, [event.HandshakeRefused] * 3)
        self.assertEqual(event.HandshakeRefused.LEVEL, 'warning')

    async def test_servers_without_a_valid_certificate_are_refused(self):
        """An unauthorized listener receives the requests of a router."""
        expired = self.ours.issue('expired', -certificate.DAY)
        foreign = self.other.issue('foreign')
        for refused in (expired, foreign):
            refused.authority = ''
            await self.serve(refused)
            await self.assert_refused(self.router)

    async def test_files_are_reloaded_when_they_change(self):
        """All links fail when the certificates expire.

        The files were replaced in time, but the process kept the old ones; or
        the authority was replaced after a theft, and the stolen certificate
        was still accepted.
        """
        await self.serve(self.sidecar)
        self.assertEqual(await self.call(self.router), 204)
        shutil.copy(self.other.path, self.ours.path)
        self.other.issue('sidecar')
        renewed = self.other.issue('renewed')
        await self.assert_refused(self.router)
        self.assertEqual(await self.call(renewed), 204)

    async def test_half_replaced_files_keep_the_old_ones(self):
        await self.serve(self.sidecar)
        pathlib.Path(self.sidecar.key).write_text('half')
        self.assertEqual(await self.call(self.router), 204)

    async def test_unusable_files_are_a_typed_failure(self):
        missing = section.Tls('none.crt', 'none.key')
        mixed = section.Tls(self.router.certificate, self.sidecar.key)
        keyless = section.Tls(authority=self.router.authority)
        for settings in (missing, mixed, keyless):
            with self.assertRaises(error.CertificateError):
                tls.server_context(settings)
        with self.assertRaises(error.CertificateError):
            tls.client_context(missing)

    async def test_empty_settings_turn_it_off(self):
        self.assertIsNone(tls.server_context(section.Tls()))
        self.assertIsNone(tls.client_context(section.Tls()))
