"""Tests that callers can connect while a gateway is still starting.

After a power loss of all hosts, every connection was refused for the half
second that the import takes, and callers with no other gateway to try failed.
"""

from __future__ import annotations

import asyncio
import pathlib
import socket
import tempfile
import unittest

from quetzalsill_gateway.http import early_socket, listener


class EarlySocketTest(unittest.IsolatedAsyncioTestCase):
    """The socket is opened from a settings file before the import."""

    def settings(self, text):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name, 'gateway.json')
        path.write_text(text)
        return str(path)

    def port(self):
        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            return sock.getsockname()[1]

    async def handle(self, _req, responder):
        responder.reply(200, [], b'served')

    async def test_a_caller_waits_until_the_program_is_loaded(self):
        port = self.port()
        path = self.settings(f'// a comment\n{{"listen": "127.0.0.1:{port}"}}')
        early_socket.open_early(path)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        self.addCleanup(writer.close)
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        server = listener.Listener(self.handle, listener.Limits)
        await server.start('127.0.0.1', port)
        self.addCleanup(server.stop)
        async with asyncio.timeout(10):
            self.assertIn(b'200', await reader.readline())
        self.assertIsNone(early_socket.take('127.0.0.1', port))

    def test_settings_that_do_not_fit_are_left_to_the_start(self):
        for text in ('', '[]', '{"listen": 7}', '{"listen": "x:y"}', '{'):
            with self.subTest(text):
                early_socket.open_early(self.settings(text))
        early_socket.open_early('/no/such/file')


if __name__ == '__main__':
    unittest.main()
