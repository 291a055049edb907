"""Connections of callers: requests in, answers out, one task for each."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import socket
import struct
from collections.abc import Awaitable, Callable

import httptools

from quetzalsill_gateway import event
from quetzalsill_gateway.http import early_socket, message, socket_option
from quetzalsill_gateway.http import responder as responder_lib

__all__ = ['Connection', 'Handler', 'Limits', 'Listener']

MAX_PIPELINED = 16
WRITE_HIGH_BYTES = 262_144
TIMEOUT_CHECK_S = 0.5
# On, for no time: closing resets.
LINGER_ZERO = struct.pack('ii', 1, 0)
VERSIONS = ('1.0', '1.1')


@dataclasses.dataclass(slots=True)
class Limits:
    """What one caller may send, and how long it may take.

    Attributes:
      header_bytes: Largest head of a request.
      body_bytes: Largest body.
      header_s: Longest time from a request's first byte to its last, in
        seconds without progress.
      idle_s: Longest time between two requests of a connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


Handler = Callable[[message.Request, responder_lib.Responder], Awaitable[None]]


class Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._requests: collections.deque[message.Request | int] = (
            collections.deque()
        )
        self._waiter: asyncio.Future[None] | None = None
        self._can_write: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._refused = False
        self._busy = False
        self._last_activity_s = 0.0
        self._reset()

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request is here and none is being served."""
        return not (self._busy or self._requests or self._receiving)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the task of the connection."""
        self._transport = transport
        socket_option.tune(transport)
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        loop = asyncio.get_running_loop()
        self._last_activity_s = loop.time()
        self._listener.connections.add(self)
        self._task = loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the task, and with it what it waits for at an upstream."""
        self._listener.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """A caller that closed its side waits for no answer."""
        return False

    def pause_writing(self) -> None:
        """The caller reads too slowly."""
        self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """The caller has read."""
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)
        self._can_write = None

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the caller."""
        if self._refused:
            return
        self._last_activity_s = asyncio.get_running_loop().time()
        if not self._receiving and not self._request_start_s:
            self._request_start_s = self._last_activity_s
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(self._status)

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._reset()
        self._receiving = True
        self._request_start_s = asyncio.get_running_loop().time()

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        self._target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header."""
        self._headers.append((name.lower(), value))
        self._add_head_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Checks the version, and how the body is framed."""
        if self._parser.get_http_version() not in VERSIONS:
            self._reject(400)
        framing = [
            value.strip().lower()
            for name, value in self._headers
            if name in (b'transfer-encoding', b'content-length')
        ]
        names = {name for name, _ in self._headers}
        # A request with two framings is read differently by other programs
        # on its way, which lets a second request hide in its body.
        if len(framing) > 1 or (
            b'transfer-encoding' in names and framing != [b'chunked']
        ):
            self._reject(400)
        if framing and framing[0].isdigit():
            self._check_body(int(framing[0]))
        expects = message.first(self._headers, b'expect')
        if expects and expects.lower() == b'100-continue' and not self._busy:
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        self._body += body
        self._check_body(len(self._body))

    def on_message_complete(self) -> None:
        """Hands the request to the task."""
        request = message.Request(
            self._parser.get_method(),
            bytes(self._target),
            self._headers,
            bytes(self._body),
            self._request_start_s,
            self._parser.get_http_version(),
            self._parser.should_keep_alive(),
        )
        self._reset()
        self._enqueue(request)

    def write(self, data: bytes) -> None:
        """Writes unless the connection is closing."""
        if not self._transport.is_closing():
            self._transport.write(data)

    async def writable(self) -> None:
        """Waits while writing is paused."""
        if self._can_write is not None:
            await asyncio.shield(self._can_write)

    def close(self) -> None:
        """Closes after what was written is sent."""
        self._transport.close()

    def abort(self, *, reset: bool = False) -> None:
        """Closes at once; with `reset`, what was written may be lost too."""
        sock = self._transport.get_extra_info('socket')
        if reset and sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self._transport.abort()

    def will_close(self) -> bool:
        """Whether this connection should not be used again."""
        return self._listener.stopping or self._refused

    def check_timeouts(self, now: float, limits: Limits) -> None:
        """Closes the connection if its caller takes too long."""
        if self._busy or self._requests:
            return
        silent_s = now - self._last_activity_s
        if self._receiving and silent_s > limits.header_s:
            self._refuse(408)
        elif not self._receiving and silent_s > limits.idle_s:
            self.close()

    def _reset(self) -> None:
        self._target = bytearray()
        self._headers: message.Headers = []
        self._body = bytearray()
        self._head_bytes = 0
        self._receiving = False
        self._request_start_s = 0.0
        self._status = 400

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size + 4
        if self._head_bytes > self._listener.limits().header_bytes:
            self._reject(431)

    def _check_body(self, size: int) -> None:
        if size > self._listener.limits().body_bytes:
            self._reject(413)

    def _reject(self, status: int) -> None:
        # An exception inside a callback reaches `data_received` as an error
        # of the parser, which stops at once.
        self._status = status
        raise ValueError(status)

    def _refuse(self, status: int) -> None:
        self._refused = True
        self._receiving = False
        self._enqueue(status)

    def _enqueue(self, item: message.Request | int) -> None:
        self._requests.append(item)
        if len(self._requests) >= MAX_PIPELINED:
            self._transport.pause_reading()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _serve(self) -> None:
        while not self._transport.is_closing():
            item = await self._next_request()
            if isinstance(item, int):
                self._send_refusal(item)
                return
            responder = responder_lib.Responder(self, item)
            self._busy = True
            try:
                await self._listener.handler(item, responder)
            except Exception as exc:
                # Without a last resort the caller would wait for nothing.
                target = item.target.decode('latin-1')
                event.note(event.RequestFault(target), exc=exc)
            finally:
                self._busy = False
                self._last_activity_s = asyncio.get_running_loop().time()
            if not responder.ended:
                self._finish(responder)

    def _finish(self, responder: responder_lib.Responder) -> None:
        if responder.started:
            responder.abort()
        else:
            responder.reply(502, [])

    def _send_refusal(self, status: int) -> None:
        event.note(event.RequestMalformed(status))
        line = b'HTTP/1.1 %d %s\r\n' % (status, message.reason(status))
        self.write(line + b'content-length: 0\r\nconnection: close\r\n\r\n')
        self.close()

    async def _next_request(self) -> message.Request | int:
        while not self._requests:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        item = self._requests.popleft()
        if len(self._requests) == MAX_PIPELINED - 1:
            self._transport.resume_reading()
        return item


class Listener:
    """Accepts connections of callers and serves their requests.

    Attributes:
      connections: Those that are open.
      stopping: Set while the process stops: answers close their connection.
    """

    def __init__(self, handler: Handler, limits: Callable[[], Limits]) -> None:
        """Prepares a listener.

        Args:
          handler: Serves one request.
          limits: Gives the bounds in force.
        """
        self.handler = handler
        self.limits = limits
        self.connections: set[Connection] = set()
        self.stopping = False
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port listened at."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        """Opens the listener; port 0 lets the kernel choose."""
        loop = asyncio.get_running_loop()
        sock = early_socket.take(host, port)
        endpoint = (
            {'host': host, 'port': port} if sock is None else {'sock': sock}
        )
        self._server = await loop.create_server(
            lambda: Connection(self), backlog=early_socket.BACKLOG, **endpoint
        )

    async def enforce_timeouts(self) -> None:
        """Closes connections whose callers take too long; runs for good."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_S)
            now = loop.time()
            limits = self.limits()
            for conn in list(self.connections):
                conn.check_timeouts(now, limits)

    def close_idle(self) -> None:
        """Closes connections that wait for a request."""
        for conn in list(self.connections):
            if conn.is_idle:
                conn.close()

    def stop(self) -> None:
        """Accepts no more connections."""
        if self._server is not None:
            self._server.close()
