"""One connection of a caller, served by one task.

It parses a request only after the one before it was answered and most of the
answer was read. What the caller sends ahead stays as received.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

import httptools

from quetzalsill.net import client_memory, framing, inbound
from quetzalsill_gateway import event
from quetzalsill_gateway.http import message, socket_option
from quetzalsill_gateway.http import responder as responder_lib

if TYPE_CHECKING:
    from quetzalsill.net import turns as turns_lib
    from quetzalsill_gateway.http import limits as limits_lib

__all__ = ['Connection', 'Handler', 'Server', 'TimeLimit']

WRITE_HIGH_BYTES = 65_536
# SO_LINGER on, with zero timeout: closing the socket sends a reset.
LINGER_ZERO = struct.pack('ii', 1, 0)
VERSIONS = ('1.0', '1.1')
# A field has at least a colon and the end of its line.
SEPARATORS = len(b':\r\n')
# The limit on a head counts its target and fields without optional blanks.
BLANK_BYTES = 1024
# A refused caller may still be sending. Closed at once, its connection is
# reset, and the refusal may be lost.
LINGER_S = 1.0
REFUSED_RETRY_AFTER_S = 0.2
UNAVAILABLE = 503


Handler = Callable[[message.Request, responder_lib.Responder], Awaitable[None]]
# Returns the time from its first byte in which a request can still be served,
# by its target and fields, in seconds; 0 if it never can.
TimeLimit = Callable[[bytes | bytearray, message.Fields], float]


class Server(Protocol):
    """What a connection needs of its listener.

    Attributes:
      handler: Serves one request.
      limits: Returns the current limits.
      time_limit: See `listener.TimeLimit`.
      ledger: What all callers hold.
      turns: Divides the time for parsing between connections.
      connections: The open connections.
      stopping: Whether each response closes its connection.
    """

    handler: Handler
    limits: Callable[[], limits_lib.Limits]
    time_limit: TimeLimit
    ledger: client_memory.Ledger
    turns: turns_lib.Turns
    connections: set[Connection]
    stopping: bool


class Connection(asyncio.BufferedProtocol):
    """One connection of a caller."""

    def __init__(self, listener: Server) -> None:
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._framing = framing.Framing(self._framing_limits, self._time_out)
        self._inbound = inbound.Inbound(
            self._feed, listener.turns, self._update_held
        )
        self._account: client_memory.Account | None = None
        self._limits = listener.limits()
        self._transport: asyncio.Transport | None = None
        self._request: message.Request | None = None
        self._refusal: int | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._can_write: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._linger_timer: asyncio.TimerHandle | None = None
        self._serving = False
        self._last_activity_s = 0.0
        self._received_s = 0.0
        self._request_count = 0
        self._received = client_memory.Progress()
        self._read = client_memory.Progress()
        self._written_bytes = 0
        self._read_bytes = 0
        self._last_read_s = 0.0
        self._answer_bytes = 0
        self._reset()

    def idle_s(self, now: float) -> float | None:
        """Returns for how long the connection has been idle, in seconds.

        None while a request is being received, queued or served.
        """
        if self._request or self._receiving or self._inbound.has_pending:
            return None
        return now - self._last_activity_s

    def stalled_s(self, now_s: float) -> float:
        """Returns for how long the caller has made no progress, in seconds.

        It reads an answer, sends a request, or has nothing to send. 0 while an
        upstream or this process is awaited.
        """
        if self._unread_bytes():
            return now_s - self._read.since_s
        if self._request is not None or self._inbound.has_pending:
            return 0.0
        if self._receiving:
            return now_s - self._received.since_s
        return now_s - self._last_activity_s

    def evict(self) -> None:
        """Closes the connection; a request that is incomplete is refused."""
        is_incomplete = self._receiving and not self._unread_bytes()
        self._refusal = UNAVAILABLE
        self._drop_received()
        if is_incomplete:
            self._write_refusal(UNAVAILABLE)
            self.close()
        else:
            self.abort()
        self._account.close()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the connection's task, unless there is no room for it."""
        self._transport = transport
        self._inbound.attach(transport)
        self._account = self._listener.ledger.open(self)
        if self._account is None:
            transport.abort()
            return
        socket_option.tune(transport)
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        loop = asyncio.get_running_loop()
        self._last_activity_s = loop.time()
        self._listener.connections.add(self)
        self._task = loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the task, including its call to an upstream."""
        self._listener.connections.discard(self)
        # The parser and this object refer to each other. Until a garbage
        # collection, a body would stay in memory that nobody accounts for.
        self._parser = None
        if not self._serving:
            self._request = None
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self._account is not None:
            self._drop_received()
            self._account.close()

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
        self._update_held()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next bytes are read to."""
        del sizehint
        return self._inbound.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Handles bytes from the caller."""
        self._received_s = asyncio.get_running_loop().time()
        self._last_activity_s = self._received_s
        if not self._receiving and not self._request_start_s:
            self._request_start_s = self._received_s
        self._inbound.receive(nbytes)

    def _feed(self, data: bytes | memoryview) -> None:
        self._limits = self._listener.limits()
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
        if self._request is not None:
            # It has begun before the end of the bytes of another one.
            self._reject(400)
        # Sent ahead, it was received before the end of the request before it.
        start_s = self._request_start_s or self._received_s
        self._reset()
        self._receiving = True
        self._received.begin(0, asyncio.get_running_loop().time())
        self._request_start_s = start_s

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
        self._is_head_complete = True
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
            self._inbound.body_left = int(lengths[0])
        self._admit_body(self._inbound.body_left)
        expects = message.first(self._headers, b'expect')
        if expects and expects.lower() == b'100-continue':
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body."""
        self._framing.add_body(len(body))
        self._body.add(body)
        size = len(self._body)
        if size > self._admitted_bytes:
            # The length is not known; each step doubles what is admitted.
            limit = max(size, self._limits.body_bytes)
            self._admit_body(min(limit, max(size, 2 * self._admitted_bytes)))
        self._received.update(size, self._received_s)

    def on_chunk_complete(self) -> None:
        """Records the end of a chunk."""
        self._framing.end_part()

    def on_message_complete(self) -> None:
        """Passes the request to the task."""
        self._framing.end()
        self._inbound.end_message()
        self._request_count += 1
        self._request = message.Request(
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
        self._wake()

    def write(self, data: bytes) -> None:
        """Writes data unless the connection is closing."""
        if self._transport.is_closing():
            return
        if not self._unread_bytes():
            self._last_read_s = asyncio.get_running_loop().time()
            self._read_bytes = self._written_bytes
            self._read.begin(self._read_bytes, self._last_read_s)
        self._transport.write(data)
        self._written_bytes += len(data)
        if self._unread_bytes():
            self._update_held()

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

    def may_buffer(self, size: int) -> bool:
        """Returns whether an answer may be buffered, and records its size."""
        self._answer_bytes = size if self._listener.ledger.fits(size) else 0
        self._update_held()
        return self._answer_bytes > 0

    def will_close(self) -> bool:
        """Whether the connection closes after the current response."""
        return self._listener.stopping

    def check_timeouts(self, now: float, limits: limits_lib.Limits) -> None:
        """Closes the connection if a timeout has expired."""
        if self._unread_bytes():
            self._check_reading(now, limits)
        if self._request is not None or self._inbound.has_pending:
            return
        silent_s = now - self._last_activity_s
        if self._receiving and (
            silent_s > limits.header_s or self._is_too_late(now, limits)
        ):
            self._refuse(408)
        elif not self._receiving and silent_s > limits.idle_s:
            self.close()

    def _check_reading(self, now: float, limits: limits_lib.Limits) -> None:
        """Closes the connection of a caller that reads nothing for long."""
        read_bytes = self._written_bytes - self._unread_bytes()
        self._read.update(read_bytes, now)
        if read_bytes > self._read_bytes:
            self._read_bytes = read_bytes
            self._last_read_s = now
        elif now - self._last_read_s > limits.idle_s:
            self.abort()

    def _is_too_late(self, now: float, limits: limits_lib.Limits) -> bool:
        """Whether the request can't be served any more once it is complete."""
        if not self._is_head_complete:
            return False
        limit_s = self._listener.time_limit(self._target, self._headers)
        return now - self._request_start_s > (limit_s or limits.header_s)

    def _framing_limits(self) -> framing.Limits:
        limits = self._limits
        return framing.Limits(
            limits.header_bytes + BLANK_BYTES, limits.header_s
        )

    def _time_out(self, _: str) -> None:
        # The rest may have been received, and waits to be parsed.
        if not self._inbound.has_pending:
            self._refuse(408)

    def _reset(self) -> None:
        self._target = bytearray()
        self._headers = message.Fields()
        self._body = message.Body()
        self._admitted_bytes = 0
        self._head_bytes = 0
        self._receiving = False
        self._is_head_complete = False
        self._request_start_s = 0.0
        self._status = 400

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            self._reject(431)

    def _admit_body(self, size: int) -> None:
        if size > self._limits.body_bytes:
            self._reject(413)
        if not self._account.admit_body(size):
            self._reject(UNAVAILABLE)
        self._admitted_bytes = size

    def _reject(self, status: int) -> None:
        # An exception in a callback stops the parser at once and reaches
        # `_feed` as a parser error.
        self._status = status
        raise ValueError(status)

    def _refuse(self, status: int) -> None:
        """Refuses what is being received; nothing of it was passed on."""
        if self._refusal is not None:
            return
        self._refusal = status
        self._drop_received()
        self._wake()

    def _drop_received(self) -> None:
        self._framing.stop()
        self._reset()
        self._inbound.stop()
        self._account.release_body()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _unread_bytes(self) -> int:
        return self._transport.get_write_buffer_size()

    def _update_held(self) -> None:
        if self._account is None:
            return
        req = self._request
        size = self._inbound.held_bytes + self._unread_bytes()
        size += self._answer_bytes
        if req is not None:
            size += client_memory.CONNECTION_BYTES
            size += len(req.target) + req.headers.size
        elif self._receiving:
            size += len(self._target) + self._headers.size
        self._account.hold(size)

    async def _serve(self) -> None:
        while not self._transport.is_closing():
            req = await self._next_request()
            if req is None:
                self._send_refusal(self._refusal)
                return
            responder = responder_lib.Responder(self, req)
            self._serving = True
            try:
                await self._listener.handler(req, responder)
            except Exception as exc:
                # Unhandled, it would leave the caller without a response.
                target = req.target.decode('latin-1')
                event.note(event.RequestFault(target), exc=exc)
            finally:
                self._serving = False
                self._last_activity_s = asyncio.get_running_loop().time()
                self._end_request(req)
            if not responder.ended:
                self._finish(responder)
            del req, responder
            await self.writable()
            self._inbound.resume()

    def _end_request(self, req: message.Request) -> None:
        """Gives back what a request holds that has been served."""
        self._request = None
        self._answer_bytes = 0
        # Errors of its attempts refer to the request until a garbage
        # collection.
        if len(req.body) > client_memory.SMALL_BODY_BYTES:
            req.body = message.Body()
        self._account.release_body()

    def _finish(self, responder: responder_lib.Responder) -> None:
        if responder.started:
            responder.abort()
        else:
            responder.reply(502, [])

    def _send_refusal(self, status: int) -> None:
        event.note(event.RequestMalformed(status))
        self._write_refusal(status)
        self._inbound.discard()
        self._transport.write_eof()
        self._linger_timer = asyncio.get_running_loop().call_later(
            LINGER_S, self.abort
        )

    def _write_refusal(self, status: int) -> None:
        lines = [b'HTTP/1.1 %d %s' % (status, message.reason(status))]
        if status == UNAVAILABLE:
            lines.append(b'retry-after: %.2f' % REFUSED_RETRY_AFTER_S)
        lines += [b'content-length: 0', b'connection: close', b'\r\n']
        self.write(b'\r\n'.join(lines))

    async def _next_request(self) -> message.Request | None:
        """Returns the next request; None once what comes next is refused."""
        while self._request is None and self._refusal is None:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return None if self._refusal is not None else self._request
