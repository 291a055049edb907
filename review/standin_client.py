"""A client that keeps its connection for many requests."""

from __future__ import annotations

import asyncio
import dataclasses

import standin_http as http

__all__ = ['Client', 'Response']


@dataclasses.dataclass(slots=True)
class Response:
    """A response, as far as it was received.

    Attributes:
      status: Status code; 0 if no head was received.
      headers: Headers, with names in lower case.
      body: What was received of the body.
      is_complete: Whether it ended as its framing says.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False


class Client:
    """One connection to a gateway."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent on the connection."""
        return (
            self._writer is not None
            and not self._writer.transport.is_closing()
            and not self._reader.at_eof()
        )

    async def open(self) -> None:
        """Connects."""
        self._reader, self._writer = await asyncio.open_connection(
            '127.0.0.1', self.port
        )

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def request(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b''
    ) -> Response:
        """Sends a request and reads its response."""
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        response = Response()
        try:
            self._writer.write('\r\n'.join([*lines, '\r\n']).encode() + body)
            await self._read(response)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        if response.headers.get('connection', '').lower() == 'close':
            self.close()
        return response

    async def _read(self, response: Response) -> None:
        first, response.headers = await http.read_head(self._reader)
        response.status = int(first.split(' ')[1])
        if response.headers.get('transfer-encoding') == 'chunked':
            while True:
                line = await self._reader.readuntil(b'\r\n')
                size = int(line, 16)
                response.body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
                if not size:
                    break
        else:
            length = int(response.headers['content-length'])
            response.body = await self._reader.readexactly(length)
        response.is_complete = True
