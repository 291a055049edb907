"""HTTP server for callers; each connection is served by one task."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import socket
import struct
from collections.abc import Awaitable, Callable

import httptools

from quetzalsill.net import framing
from quetzalsill_gateway import event
from quetzalsill_gateway.http import (
    early_socket,
    message,
    socket_option,
)
from quetzalsill_gateway.http import responder as responder_lib

__all__ = ['Connection', 'Handler', 'Limits', 'Listener']

MAX_PIPELINED = 16
WRITE_HIGH_BYTES = 262_144
TIMEOUT_CHECK_S = 0.5
# SO_LINGER on, with zero timeout: closing the socket sends a reset.
LINGER_ZERO = struct.pack('ii', 1, 0)
VERSIONS = ('1.0', '1.1')
# A field has at least a colon and the end of its line.
SEPARATORS = len(b':\r\n')
# The limit on a head counts its target and fields without optional blanks.
BLANK_BYTES = 1024


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits on the size and duration of a caller's request.

    Attributes:
      header_bytes: Maximum size of a request head.
      body_bytes: Maximum size of a body.
      header_s: Longest time in which a head, a size line or the trailers of a
        request are received, and without progress of its body, in seconds.
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
        self._framing = framing.Framing(self._framing_limits, self._time_out)
        self._transport: asyncio.Transport | None = None
        self._requests: collections.deque[message.Request | int] = (
            collections.deque()
        )
        self._waiter: asyncio.Future[None] | None = None
        self._can_write: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._refused = False
        self._serving = False
        self._last_activity_s = 0.0
        self._request_count = 0
        self._reset()

    def idle_s(self, now: float) -> float | None:
        """Returns for how long the connection has been idle, in seconds.

        None while a request is being received, queued or served.
        """
        if self._serving or self._requests or self._receiving:
            return None
        return now - self._last_activity_s

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the connection's task."""
        self._transport = transport
        socket_option.tune(transport)
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        loop = asyncio.get_running_loop()
        self._last_activity_s = loop.time()
        self._listener.connections.add(self)
        self._task = loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the task, including its call to an upstream."""
        self._listener.connections.discard(self)
        self._framing.stop()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Closes the connection: a half-closed caller expects no response."""
        return False

    def pause_writing(self) -> None:
        """Pauses writing while the caller reads too slowly."""
        self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Wakes up the writer after the caller has read."""
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)
        self._can_write = None

    def data_received(self, data: bytes) -> None:
        """Parses bytes from the caller."""
        if self._refused:
            return
        self._last_activity_s = asyncio.get_running_loop().time()
        if not self._receiving and not self._request_start_s:
            self._request_start_s = self._last_activity_s
        try:
            self._framing.feed(self._parser, data)
        except framing.TooLongError:
            self._refuse(431)
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
        """Appends a part of the target."""
        self._target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores one header."""
        self._headers.add(name.lower(), value)
        self._add_head_bytes(len(name) + len(value) + SEPARATORS)

    def on_headers_complete(self) -> None:
        """Checks the HTTP version and the framing of the body."""
        self._framing.end_part()
        if self._parser.get_http_version() not in VERSIONS:
            self._reject(400)
        codings = message.values(self._headers, b'transfer-encoding')
        lengths = message.values(self._headers, b'content-length')
        # Programs on the path may parse a request with two framings
        # differently, which allows a second request to be smuggled in its body.
        if len(codings) + len(lengths) > 1 or (
            codings and codings[0].strip().lower() != b'chunked'
        ):
            self._reject(400)
        if lengths and lengths[0].strip().isdigit():
            self._check_body(int(lengths[0]))
        expects = message.first(self._headers, b'expect')
        if expects and expects.lower() == b'100-continue' and not self._serving:
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Appends a chunk of the body."""
        self._framing.add_body(len(body))
        self._body.add(body)
        self._check_body(len(self._body))

    def on_chunk_complete(self) -> None:
        """Records the end of a chunk."""
        self._framing.end_part()

    def on_message_complete(self) -> None:
        """Queues the request for the task."""
        self._framing.end()
        self._request_count += 1
        request = message.Request(
            self._parser.get_method(),
            bytes(self._target),
            self._headers,
            self._body,
            self._request_start_s,
            self._parser.get_http_version(),
            self._parser.should_keep_alive(),
            self._request_count,
        )
        self._reset()
        self._enqueue(request)

    def write(self, data: bytes) -> None:
        """Writes data unless the connection is closing."""
        if not self._transport.is_closing():
            self._transport.write(data)

    async def writable(self) -> None:
        """Waits while writing is paused."""
        if self._can_write is not None:
            await asyncio.shield(self._can_write)

    def close(self) -> None:
        """Closes after buffered data has been sent."""
        self._transport.close()

    def abort(self, *, reset: bool = False) -> None:
        """Closes at once; with `reset`, data already written may be lost."""
        sock = self._transport.get_extra_info('socket')
        if reset and sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self._transport.abort()

    def will_close(self) -> bool:
        """Whether the connection closes after the current response."""
        return self._listener.stopping or self._refused

    def check_timeouts(self, now: float, limits: Limits) -> None:
        """Closes the connection if a timeout has expired."""
        if self._serving or self._requests:
            return
        silent_s = now - self._last_activity_s
        if self._receiving and silent_s > limits.header_s:
            self._refuse(408)
        elif not self._receiving and silent_s > limits.idle_s:
            self.close()

    def _framing_limits(self) -> framing.Limits:
        limits = self._listener.limits()
        return framing.Limits(
            limits.header_bytes + BLANK_BYTES, limits.header_s
        )

    def _time_out(self, _: str) -> None:
        # What is pipelined may come slowly while its caller reads an answer.
        if not self._serving and not self._requests:
            self._refuse(408)

    def _reset(self) -> None:
        self._target = bytearray()
        self._headers = message.Fields()
        self._body = message.Body()
        self._head_bytes = 0
        self._receiving = False
        self._request_start_s = 0.0
        self._status = 400

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._listener.limits().header_bytes:
            self._reject(431)

    def _check_body(self, size: int) -> None:
        if size > self._listener.limits().body_bytes:
            self._reject(413)

    def _reject(self, status: int) -> None:
        # An exception in a callback stops the parser at once and reaches
        # `data_received` as a parser error.
        self._status = status
        raise ValueError(status)

    def _refuse(self, status: int) -> None:
        self._refused = True
        self._receiving = False
        self._framing.stop()
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
            self._serving = True
            try:
                await self._listener.handler(item, responder)
            except Exception as exc:
                # Unhandled, it would leave the caller without a response.
                target = item.target.decode('latin-1')
                event.note(event.RequestFault(target), exc=exc)
            finally:
                self._serving = False
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
      connections: The open connections.
      stopping: Set while the process stops; each response then closes its
        connection.
    """

    def __init__(self, handler: Handler, limits: Callable[[], Limits]) -> None:
        """Initializes a listener.

        Args:
          handler: Serves one request.
          limits: Returns the current limits.
        """
        self.handler = handler
        self.limits = limits
        self.connections: set[Connection] = set()
        self.stopping = False
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The port being listened on."""
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
        """Closes connections whose callers time out; runs until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_S)
            now = loop.time()
            limits = self.limits()
            for conn in list(self.connections):
                conn.check_timeouts(now, limits)

    def close_idle(self, min_idle_s: float) -> None:
        """Closes connections that have been idle for some time.

        Args:
          min_idle_s: Time in seconds in which a request arrives that a caller
            sent as soon as it had its response. It is answered; closing the
            connection would leave its caller without an answer.
        """
        now = asyncio.get_running_loop().time()
        for conn in list(self.connections):
            idle_s = conn.idle_s(now)
            if idle_s is not None and idle_s >= min_idle_s:
                conn.close()

    def stop(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()
