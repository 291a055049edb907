"""One HTTP/1.1 connection to an upstream, for one call at a time."""

from __future__ import annotations

import asyncio
import collections
import re
from collections.abc import Callable, Sequence

import httptools

from quetzalsill.net import deadline, framing
from quetzalsill_gateway.http import error, message, socket_option

__all__ = ['Conn', 'Limits', 'connect']

KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d+)')
NO_BODY = (204, 304)
# A late response to an earlier request is skipped up to this size.
MAX_SKIPPED_BYTES = 1_048_576
# Reading from an upstream pauses while more than this of its response waits for
# a reader, until less than a quarter of it does.
MAX_WAITING_BYTES = 65_536
RESUME_SHARE = 0.25
Limits = framing.Limits
DEFAULT_LIMITS = Limits()
END_OF_BODY = object()
# Called with an address and the change in its number of open connections.
CountCallback = Callable[[tuple[str, int], int], None]


# Each read is handled before the next one, so that connections can share it.
# Without it, a single read may bring four times as much.
_buffer = memoryview(bytearray(65_536))


class Conn(asyncio.BufferedProtocol):
    """A connection that carries one call at a time and never retries.

    Attributes:
      address: Address of the upstream, as (IP address, port).
      idle_since_s: Loop time at which the last call ended.
      idle_limit_s: Keep-alive timeout stated by the upstream; None if none.
      body_since_s: Loop time at which the body of the response began; None
        before.
    """

    def __init__(
        self,
        address: tuple[str, int],
        count: CountCallback | None = None,
        limits: Limits = DEFAULT_LIMITS,
    ) -> None:
        """Initializes the protocol.

        Args:
          address: Address of the upstream.
          count: Called with the address and 1 when the connection opens, and
            with -1 once it is closed by either side.
          limits: Limits on what an upstream sends besides bodies.
        """
        self.address = address
        self._on_count = count
        self.idle_since_s = 0.0
        self.idle_limit_s: float | None = None
        self.body_since_s: float | None = None
        self._transport: asyncio.Transport | None = None
        self._items: collections.deque[object] = collections.deque()
        self._waiting_bytes = 0
        self._is_paused = False
        self._unsent: collections.deque[message.Part] = collections.deque()
        self._may_write = True
        self._waiter: asyncio.Future[None] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._error: error.CallError | None = None
        self._until_close = False
        self._reusable = False
        self._is_head_request = False
        self._awaiting_response = False
        self._skipping_response = False
        self._skipped_bytes = 0
        self._framing = framing.Framing(lambda: limits, self._end_malformed)
        self._echo: tuple[bytes, bytes] | None = None

    @property
    def is_usable(self) -> bool:
        """Whether a new call may be sent on this connection."""
        # Not in the middle of a response: its remainder would be taken for the
        # response to the next call.
        return (
            self._reusable
            and not self._awaiting_response
            and self._error is None
            and not self._is_paused
            and not self._unsent
            and not self._transport.is_closing()
        )

    @property
    def is_framed(self) -> bool:
        """Whether the current response has explicit framing."""
        return not self._until_close

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Counts the connection and sets its socket options."""
        self._transport = transport
        if self._on_count is not None:
            self._on_count(self.address, 1)
        socket_option.tune(transport)
        self._reusable = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the response.

        It is complete only if it had no length and there was no reset.
        """
        self._report_closed()
        self._unsent.clear()
        self._framing.stop()
        if (
            self._awaiting_response
            and self._until_close
            and not self._skipping_response
            and not exc
        ):
            self._add(END_OF_BODY)
        detail = 'the connection ended'
        self._fail(error.TruncatedError(detail, was_reset=exc is not None))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next bytes are read to."""
        del sizehint
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses bytes from the upstream."""
        self._parse(bytes(_buffer[:nbytes]))

    def _parse(self, data: bytes) -> None:
        if not self._awaiting_response:
            # Bytes after a complete response belong to no request; the next
            # caller would take them for its response.
            self.abort()
            return
        try:
            self._framing.feed(self._parser, data)
        except (httptools.HttpParserError, framing.TooLongError) as exc:
            self._end_malformed(str(exc))
        if self._is_paused:
            self._framing.stop()

    def on_message_begin(self) -> None:
        """Starts a response."""
        self._headers: message.Headers = []
        if not self._awaiting_response:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Passes on the head of a final response; interim ones are ignored."""
        status = self._parser.get_status_code()
        if not self._awaiting_response or status < 200:
            return
        self._skipping_response = self._is_mismatched()
        if self._skipping_response:
            return
        self._framing.end_part()
        length = message.first(self._headers, b'content-length')
        coding = message.first(self._headers, b'transfer-encoding')
        self._until_close = (
            length is None and coding is None and status not in NO_BODY
        )
        self._reusable = (
            self._parser.should_keep_alive() and not self._until_close
        )
        self._read_idle_limit()
        body_length = (
            int(length) if length is not None and length.isdigit() else None
        )
        self._add(message.ResponseHead(status, self._headers, body_length))
        if self._is_head_request:
            self._reusable = False
            self._finish()

    def on_body(self, body: bytes) -> None:
        """Passes on a chunk of the body."""
        if self._skipping_response:
            self._skip(len(body))
        elif self._awaiting_response:
            self._framing.add_body(len(body))
            if self.body_since_s is None:
                self.body_since_s = asyncio.get_running_loop().time()
            self._add(body)

    def on_chunk_complete(self) -> None:
        """Records the end of a chunk; that of the last one ends the body."""
        if not self._skipping_response:
            self._framing.end_part()

    def on_message_complete(self) -> None:
        """Completes the response."""
        if self._skipping_response:
            self._skipping_response = False
        elif self._parser.get_status_code() >= 200 and self._awaiting_response:
            self._finish()

    def send(
        self,
        head: bytes,
        body: Sequence[message.Part] = (),
        method: bytes = b'',
        echo: tuple[bytes, bytes] | None = None,
    ) -> None:
        """Sends a request once.

        Args:
          head: Request line and headers, including the empty line.
          body: The complete body in parts, which are written as the upstream
            reads them.
          method: Method of the request; the response to HEAD has no body.
          echo: Name and value of a header that the upstream echoes in its
            response; a response with another value is ignored.

        Raises:
          error.ConnectionEndedError: It has ended; nothing was sent.
        """
        if not self.is_usable:
            raise error.ConnectionEndedError('the connection has ended')
        self._items.clear()
        self._take_bytes(self._waiting_bytes)
        self._framing.begin()
        self._skipped_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._echo = echo
        self._skipping_response = False
        self._until_close = False
        self.body_since_s = None
        self._is_head_request = method == b'HEAD'
        self._awaiting_response = True
        self._reusable = False
        self._unsent.extend(body)
        first = self._unsent.popleft() if self._unsent else b''
        self._transport.write(head + first)
        self._send_body()

    def pause_writing(self) -> None:
        """Pauses the body while the upstream reads too slowly."""
        self._may_write = False

    def resume_writing(self) -> None:
        """Goes on with the body."""
        self._may_write = True
        self._send_body()

    def _send_body(self) -> None:
        while self._unsent and self._may_write:
            self._transport.write(self._unsent.popleft())

    async def head(self) -> message.ResponseHead:
        """Returns the head of the response.

        Raises:
          error.CallError: No head was received.
        """
        return await self._next_item()

    async def read(self) -> bytes:
        """Returns the next bytes of the body; empty at its end.

        Raises:
          error.CallError: The response was truncated.
        """
        item = await self._next_item()
        if item is END_OF_BODY:
            return b''
        while self._items and isinstance(self._items[0], bytes):
            item += self._items.popleft()
        self._take_bytes(len(item))
        return item

    def abort(self) -> None:
        """Closes the connection at once."""
        self._reusable = False
        self._unsent.clear()
        self._framing.stop()
        if self._transport is not None:
            self._transport.abort()
            self._report_closed()

    def _report_closed(self) -> None:
        count, self._on_count = self._on_count, None
        if count is not None:
            count(self.address, -1)

    def _is_mismatched(self) -> bool:
        # A server may respond twice to an earlier request; the second response
        # then arrives in place of the one to this request.
        if self._echo is None:
            return False
        name, expected = self._echo
        value = message.first(self._headers, name)
        return value is not None and value != expected

    def _skip(self, size: int) -> None:
        self._skipped_bytes += size
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise framing.TooLongError(
                f'more than {MAX_SKIPPED_BYTES} bytes of another response'
            )
        self._framing.add_body(size, is_progress=False)

    def _end_malformed(self, reason: str) -> None:
        self._fail(error.MalformedResponseError(reason))
        self.abort()

    def _finish(self) -> None:
        self._awaiting_response = False
        self._framing.stop()
        self.idle_since_s = asyncio.get_running_loop().time()
        self._add(END_OF_BODY)

    def _read_idle_limit(self) -> None:
        value = message.first(self._headers, b'keep-alive')
        match = KEEP_ALIVE_TIMEOUT.search(value) if value else None
        if match:
            self.idle_limit_s = float(match.group(1))

    def _add(self, item: object) -> None:
        self._items.append(item)
        if isinstance(item, bytes):
            self._waiting_bytes += len(item)
            if self._waiting_bytes > MAX_WAITING_BYTES and not self._is_paused:
                self._is_paused = True
                self._transport.pause_reading()
        self._wake()

    def _take_bytes(self, size: int) -> None:
        """Records that waiting bytes were read; reads on if few are left."""
        self._waiting_bytes -= size
        if (
            self._is_paused
            and self._waiting_bytes < RESUME_SHARE * MAX_WAITING_BYTES
        ):
            self._is_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _fail(self, exc: error.CallError) -> None:
        if self._error is None:
            self._error = exc
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _next_item(self) -> object:
        while not self._items:
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._items.popleft()


async def connect(
    address: tuple[str, int],
    timeout_s: float,
    count: CountCallback | None = None,
    limits: Limits = DEFAULT_LIMITS,
) -> Conn:
    """Opens a connection.

    Args:
      address: Address of the upstream.
      timeout_s: Longest time until it is accepted, in seconds.
      count: See `Conn`.
      limits: Limits on what an upstream sends besides bodies.

    Raises:
      error.ConnectTimeoutError: It was not accepted in time.
      error.RefusedError: It was refused.
      error.ConnectError: It failed otherwise.
    """
    loop = asyncio.get_running_loop()
    try:
        async with deadline.timeout(timeout_s):
            _, conn = await loop.create_connection(
                lambda: Conn(address, count, limits), *address
            )
    except TimeoutError as exc:
        raise error.ConnectTimeoutError(f'{address[0]}:{address[1]}') from exc
    except ConnectionRefusedError as exc:
        raise error.RefusedError(f'{address[0]}:{address[1]}') from exc
    except OSError as exc:
        raise error.ConnectError(f'{address[0]}:{address[1]}: {exc}') from exc
    return conn
