"""A bare TCP server and client for tests of HTTP over real sockets."""

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
    """Returns a whole answer that keeps the connection."""
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    return head + body


class ScriptedServer:
    """A server that plays a script on each connection.

    Attributes:
      heads: Heads of the requests that reached it.
      reached: Set once a request did.
      lost: Set once a client closed a connection.
    """

    def __init__(self) -> None:
        self.heads: list[bytes] = []
        self.reached = asyncio.Event()
        self.lost = asyncio.Event()
        self.url = ''

    async def head(self, reader: asyncio.StreamReader) -> None:
        """Takes the head of a request."""
        self.heads.append(await reader.readuntil(HEAD_END))
        self.reached.set()


Script = Callable[
    [ScriptedServer, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


async def serve_script(script: Script) -> AsyncIterator[ScriptedServer]:
    """Serves a script; use it as an asynchronous context manager."""
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
