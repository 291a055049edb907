"""A bare TCP server and client for tests of HTTP over real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

__all__ = ['BOUND_S', 'HEAD_END', 'Scripted', 'answer', 'scripted']

BOUND_S = 10
HEAD_END = b'\r\n\r\n'


def answer(body: bytes) -> bytes:
    """Returns a whole answer that keeps the connection."""
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    return head + body


class Scripted:
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
    [Scripted, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def scripted(script: Script) -> AsyncIterator[Scripted]:
    """Serves a script; use it as an asynchronous context manager."""
    served = Scripted()

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await script(served, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            served.lost.set()
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, '127.0.0.1', 0)
    served.url = f'http://127.0.0.1:{server.sockets[0].getsockname()[1]}'
    try:
        yield served
    finally:
        server.close()
