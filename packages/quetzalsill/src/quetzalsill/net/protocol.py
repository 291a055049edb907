"""HTTP protocol of a listener, with bounds on what a client may hold up."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import http
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http import httptools_impl

from quetzalsill import event
from quetzalsill.net import keepalive
from quetzalsill.telemetry import metric

__all__ = ['Limits', 'LimitedProtocol', 'make_protocol_class']

connections_cut = metric.counter(
    'quetzalsill_http_connections_cut_total',
    'Connections of callers closed for exceeding a bound, by reason.',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """What one client may hold up.

    Attributes:
      head_timeout_s: Longest time from the first byte, or from the connection,
        to the end of a request's head.
      body_timeout_s: Longest silence within a request's body.
      write_timeout_s: Longest time in which the client reads nothing of an
        answer.
      idle_timeout_s: Longest time between two requests of a connection.
      max_head_bytes: Largest head.
      max_connections: Connections at once.
    """

    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    write_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    max_head_bytes: int = 32768
    max_connections: int = 10_000


class _Expected(enum.Enum):
    """What the client still owes."""

    HEAD = 'head'
    BODY = 'body'
    NOTHING = 'nothing'


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """Closes a connection whose client exceeds a bound.

    A client that sends its request byte by byte, or stops in the middle,
    holds a connection and memory for as long as it likes; many of them keep
    all others out (slow-loris). One timer per connection runs while the
    client owes something, and closes it when the bound is over.
    """

    limits = Limits()
    on_closed: Callable[[], None] = staticmethod(lambda: None)

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._expected = _Expected.NOTHING
        self._deadline = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        self._received_head_bytes = 0
        self._parsed_head_bytes = 0
        self._has_completed = False
        self._error_status = http.HTTPStatus.BAD_REQUEST

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts to wait for the first head."""
        super().connection_made(transport)
        keepalive.enable(transport)
        # The bound on writing runs while writing is paused. With the usual
        # marks a client that stops reading with less than 64 KiB left pauses
        # nothing, and its connection stays for good. (A mark of 0 would pause a
        # TLS connection that has nothing to write.)
        transport.set_write_buffer_limits(high=1, low=0)
        if len(self.connections) > self.limits.max_connections:
            self._reject(http.HTTPStatus.SERVICE_UNAVAILABLE, 'connections')
            return
        self._expect_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the timers."""
        self._stop_timer()
        self.resume_writing()
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self.on_closed()

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the client."""
        if self.transport.is_closing():
            return
        # Line ends before a request line begin no message for the parser,
        # so that the bound has to start with the first byte.
        if self._expected is _Expected.NOTHING and self._is_idle():
            self._expect_head()
        self._has_completed = False
        super().data_received(data)
        # Behind the end of a request these bytes may be mostly its body.
        if self._expected is _Expected.HEAD and not self._has_completed:
            self._count_head_bytes(len(data))

    def on_message_begin(self) -> None:
        """Starts a request."""
        super().on_message_begin()
        self._parsed_head_bytes = 0
        if self._expected is _Expected.NOTHING:
            self._expect_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header."""
        self._parsed_head_bytes += len(name) + len(value)
        if self._parsed_head_bytes > self.limits.max_head_bytes:
            self._error_status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise ValueError(self._error_status.phrase)
        super().on_header(name, value)

    def on_url(self, url: bytes) -> None:
        """Takes the target."""
        self._parsed_head_bytes += len(url)
        if self._parsed_head_bytes > self.limits.max_head_bytes:
            self._error_status = http.HTTPStatus.REQUEST_URI_TOO_LONG
            raise ValueError(self._error_status.phrase)
        super().on_url(url)

    def on_headers_complete(self) -> None:
        """Starts to wait for the body."""
        self._expected = _Expected.BODY
        self._extend_deadline(self.limits.body_timeout_s)
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        self._extend_deadline(self.limits.body_timeout_s)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends a request: the client owes nothing more."""
        self._has_completed = True
        self._stop_timer()
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuses what the parser did not take."""
        self._reject(self._error_status, 'malformed')

    def pause_writing(self) -> None:
        """Starts to wait for the client to read."""
        super().pause_writing()
        self._write_timer = self.loop.call_later(
            self.limits.write_timeout_s, self._abort, 'write_stalled'
        )

    def resume_writing(self) -> None:
        """The client read."""
        super().resume_writing()
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def _is_idle(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def _expect_head(self) -> None:
        self._expected = _Expected.HEAD
        self._received_head_bytes = 0
        self._extend_deadline(self.limits.head_timeout_s)

    def _extend_deadline(self, timeout_s: float) -> None:
        self._deadline = self.loop.time() + timeout_s
        # A timer that runs out earlier finds the deadline moved and goes on,
        # which costs less than a new timer for each piece of a body.
        if self._timer is not None:
            if self._timer.when() <= self._deadline:
                return
            self._timer.cancel()
        self._timer = self.loop.call_at(self._deadline, self._on_deadline)

    def _stop_timer(self) -> None:
        self._expected = _Expected.NOTHING
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_deadline(self) -> None:
        self._timer = None
        # While the application does not take the body, reading is paused
        # and the silence is not the client's.
        if self.flow.read_paused:
            self._extend_deadline(self.limits.body_timeout_s)
        elif self.loop.time() < self._deadline:
            self._timer = self.loop.call_at(self._deadline, self._on_deadline)
        elif self._expected is _Expected.HEAD:
            self._reject(http.HTTPStatus.REQUEST_TIMEOUT, 'head_slow')
        else:
            self._abort('body_stalled')

    def _count_head_bytes(self, received: int) -> None:
        self._received_head_bytes += received
        if self._received_head_bytes > self.limits.max_head_bytes:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._reject(status, 'head_large')

    def _reject(self, status: http.HTTPStatus, reason: str) -> None:
        """Answers with a bare status and closes."""
        # While an answer is on its way, the status would be spliced into it.
        if not self._is_idle():
            self._abort(reason)
            return
        self._record_cut(reason)
        self._stop_timer()
        if not self.transport.is_closing():
            line = f'HTTP/1.1 {status.value} {status.phrase}\r\n'
            rest = 'content-length: 0\r\nconnection: close\r\n\r\n'
            self.transport.write((line + rest).encode())
            self.transport.close()

    def _abort(self, reason: str) -> None:
        """Closes without an answer; the application sees a disconnect."""
        self._record_cut(reason)
        self.transport.abort()

    def _record_cut(self, reason: str) -> None:
        connections_cut.inc({'reason': reason})
        event.note(event.ConnectionCut(reason=reason, client=self.client))


def make_protocol_class(
    limits: Limits, on_closed: Callable[[], None]
) -> type[LimitedProtocol]:
    """Returns the protocol class of one listener.

    Args:
      limits: What one client may hold up.
      on_closed: Called when a connection has ended.
    """
    attributes = {'limits': limits, 'on_closed': staticmethod(on_closed)}
    return type('ListenerProtocol', (LimitedProtocol,), attributes)
