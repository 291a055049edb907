"""A TCP server with scripted connections, for tests of the HTTP client."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

__all__ = [
    'HEAD_END',
    'TIMEOUT_S',
    'ScriptedServer',
    'make_response',
    'serve_script',
]

TIMEOUT_S = 10
HEAD_END = b'\r\n\r\n'


def make_response(body: bytes) -> bytes:
    """Returns a complete response that keeps the connection open."""
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    return head + body


class ScriptedServer:
    """A server that runs a script on each connection.

    Attributes:
      heads: Heads of the requests received.
      reached: Set once a request was received.
      lost: Set once a client closed a connection.
    """

    def __init__(self) -> None:
        self.heads: list[bytes] = []
        self.reached = asyncio.Event()
        self.lost = asyncio.Event()
        self.url = ''

    async def head(self, reader: asyncio.StreamReader) -> None:
        """Reads the head of a request."""
        self.heads.append(await reader.readuntil(HEAD_END))
        self.reached.set()


Script = Callable[
    [ScriptedServer, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


async def serve_script(script: Script) -> AsyncIterator[ScriptedServer]:
    """Starts a server that runs a script; an async context manager body."""
    server = ScriptedServer()

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await script(server, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            server.lost.set()
        finally:
            writer.close()

    listener = await asyncio.start_server(on_connection, '127.0.0.1', 0)
    server.url = f'http://127.0.0.1:{listener.sockets[0].getsockname()[1]}'
    try:
        yield server
    finally:
        listener.close()
