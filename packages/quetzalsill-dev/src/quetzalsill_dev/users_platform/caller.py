"""An HTTP client of the platform that controls each byte it sends."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from typing import Any

import h11

__all__ = ['Caller', 'Response']

PREFIX = 'X-Quetzalsill-'
READ_BYTES = 65536
_numbers = itertools.count(1)


@dataclasses.dataclass(slots=True)
class Response:
    """A response, as far as it was received.

    Attributes:
      status: Status code; 0 if none was received.
      headers: Headers, with names in lower case.
      body: The part of the body that was received.
      complete: Whether the response ended as its framing requires.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    complete: bool = False


class Caller:
    """A client connection to a gateway."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connects."""
        self._reader, self._writer = await asyncio.open_connection(
            *self._address
        )

    def disconnect(self) -> None:
        """Aborts the connection, if there is one."""
        if self._writer is not None:
            self._writer.transport.abort()

    def send_raw(self, data: bytes) -> None:
        """Writes bytes unchanged."""
        self._writer.write(data)

    async def request(
        self,
        target: str,
        *,
        method: str = 'GET',
        response: Response | None = None,
        **more: Any,
    ) -> Response:
        """Sends a request and reads its response, connecting if necessary.

        Args:
          target: Path and query.
          method: Method in capitals.
          response: Filled while the response is read; a new one if None.
          more: Arguments of `send`.
        """
        if self._writer is None or self._writer.transport.is_closing():
            await self.open()
        self.send(target, method=method, **more)
        return await self.read(method, response)

    def send(
        self,
        target: str,
        *,
        host: str = 'shop.example',
        method: str = 'GET',
        body: bytes = b'',
        key: str = 'key-1',
        deadline_ms: int = 5000,
        request_id: str = '',
        headers: dict[str, str] | None = None,
    ) -> str:
        """Writes a request and returns its id."""
        request_id = request_id or f'{next(_numbers):016x}'
        lines = [
            f'{method} {target} HTTP/1.1',
            f'Host: {host}',
            f'{PREFIX}Attempt-Id: {request_id}',
            f'{PREFIX}Deadline-Ms: {deadline_ms}',
        ]
        if key:
            lines.append(f'Authorization: Bearer {key}')
        if body:
            lines.append(f'Content-Length: {len(body)}')
        lines += [f'{k}: {v}' for k, v in (headers or {}).items()]
        self._writer.write('\r\n'.join([*lines, '\r\n']).encode() + body)
        return request_id

    async def read(
        self, method: str = 'GET', response: Response | None = None
    ) -> Response:
        """Reads a response until it ends or the connection is lost."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(method=method, target='/', headers=[('host', 'h')])
        )
        parser.send(h11.EndOfMessage())
        response = response or Response()
        try:
            while not response.complete:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await self._reader.read(READ_BYTES))
                elif isinstance(event, h11.Response):
                    response.status = event.status_code
                    response.headers = {
                        k.decode(): v.decode() for k, v in event.headers
                    }
                elif isinstance(event, h11.Data):
                    response.body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    response.complete = True
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except (ConnectionError, h11.RemoteProtocolError):
            return response
        return response
