"""HTTP server protocol with limits on the resources that a client holds."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import http
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http import flow_control, httptools_impl

from quetzalsill import event
from quetzalsill.net import client_memory, inbound, keepalive
from quetzalsill.net import turns as turns_lib
from quetzalsill.telemetry import metric

__all__ = ['Limits', 'LimitedProtocol', 'make_protocol_class']

connections_cut = metric.counter(
    'quetzalsill_http_connections_cut_total',
    'Connections of callers closed for exceeding a bound, by reason.',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on the clients of a listener.

    Attributes:
      head_timeout_s: Longest time from the first byte, or from the connection,
        to the end of a request's head.
      body_timeout_s: Longest time without data within a request's body.
      write_timeout_s: Longest time in which the client reads nothing of a
        response.
      idle_timeout_s: Longest time between two requests of a connection.
      max_head_bytes: Largest request head.
      max_connections: Open connections of the listener.
    """

    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    write_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    max_head_bytes: int = 32768
    max_connections: int = 10_000


# A field takes this much besides its bytes, as a pair in a list.
FIELD_BYTES = 160
# A body stands in memory in parts and joined.
BODY_COPIES = 2
RETRY_AFTER_S = 0.2


class _Expected(enum.Enum):
    """The part of a request that the client has yet to send."""

    HEAD = 'head'
    BODY = 'body'
    NOTHING = 'nothing'


class _BodyFlow:
    """Passes uvicorn's flow control on to the receiving side."""

    def __init__(self, receiving: inbound.Inbound) -> None:
        self._receiving = receiving

    def pause_reading(self) -> None:
        """Pauses within a body that the application does not consume."""
        self._receiving.block(is_blocked=True)

    def resume_reading(self) -> None:
        """Goes on with the body."""
        self._receiving.block(is_blocked=False)


class LimitedProtocol(
    httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol
):
    """Closes a connection whose client exceeds a limit.

    A client that sends its request byte by byte, or stops in the middle,
    holds a connection and memory indefinitely; many of them block all other
    clients (slow-loris attack). One timer per connection runs while part of
    a request is outstanding, and closes the connection when it expires.

    The next request is parsed once the response before it is complete and has
    been read. What all clients hold is bounded by the ledger.
    """

    limits = Limits()
    on_closed: Callable[[], None] = staticmethod(lambda: None)
    ledger: client_memory.Ledger
    turns: turns_lib.Turns

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
        self._error_reason = 'malformed'
        self._inbound = inbound.Inbound(
            self._feed, self.turns, self._update_held
        )
        self._account: client_memory.Account | None = None
        self._fields_bytes = 0
        self._body_bytes = 0
        self._admitted_bytes = 0
        self._progress = client_memory.Progress()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the timeout of the first request head."""
        super().connection_made(transport)
        self._inbound.attach(transport)
        self.flow = flow_control.FlowControl(_BodyFlow(self._inbound))
        keepalive.enable(transport)
        # The write timeout runs while writing is paused. With the default
        # water marks, a client that stops reading when less than 64 KiB is left
        # never pauses the writer, and its connection stays open forever. (A
        # high mark of 0 would pause a TLS connection with nothing to write.)
        transport.set_write_buffer_limits(high=1, low=0)
        self._begin_progress()
        self._account = self.ledger.open(self)
        if (
            self._account is None
            or len(self.connections) > self.limits.max_connections
        ):
            self._reject(http.HTTPStatus.SERVICE_UNAVAILABLE, 'connections')
            return
        self._expect_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timers."""
        self._stop_timer()
        self.resume_writing()
        self._inbound.stop()
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        if self._account is not None:
            self._account.close()
        self.on_closed()

    def stalled_s(self, now_s: float) -> float:
        """Returns for how long the client has made no progress, in seconds."""
        is_awaited = (
            self.flow.write_paused
            or self._expected is not _Expected.NOTHING
            or self._is_idle()
        )
        if not is_awaited or self._inbound.has_pending or self.flow.read_paused:
            return 0.0
        return now_s - self._progress.since_s

    def evict(self) -> None:
        """Refuses or closes at once; the application sees a disconnect."""
        self._inbound.stop()
        self._reject(http.HTTPStatus.SERVICE_UNAVAILABLE, 'memory')
        self._account.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next bytes are read to."""
        del sizehint
        return self._inbound.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Handles bytes received from the client."""
        if not self.transport.is_closing():
            self._inbound.receive(nbytes)

    def _feed(self, data: bytes | memoryview) -> None:
        if self.transport.is_closing():
            return
        # The parser does not start a message at line ends before a request
        # line, so the timeout has to start with the first byte.
        if self._expected is _Expected.NOTHING and self._is_idle():
            self._expect_head()
        self._has_completed = False
        self.data_received(data)
        # If a request ended in this data, most of it may be the body.
        if self._expected is _Expected.HEAD and not self._has_completed:
            self._count_head_bytes(len(data))

    def on_message_begin(self) -> None:
        """Handles the start of a request."""
        super().on_message_begin()
        self._parsed_head_bytes = self._fields_bytes = 0
        self._body_bytes = self._admitted_bytes = 0
        self._begin_progress()
        if self._expected is _Expected.NOTHING:
            self._expect_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header; rejects a head that is too large."""
        self._parsed_head_bytes += len(name) + len(value)
        if self._parsed_head_bytes > self.limits.max_head_bytes:
            self._error_status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise ValueError(self._error_status.phrase)
        self._fields_bytes += len(name) + len(value) + FIELD_BYTES
        super().on_header(name, value)

    def on_url(self, url: bytes) -> None:
        """Handles the request target; rejects one that is too long."""
        self._parsed_head_bytes += len(url)
        if self._parsed_head_bytes > self.limits.max_head_bytes:
            self._error_status = http.HTTPStatus.REQUEST_URI_TOO_LONG
            raise ValueError(self._error_status.phrase)
        super().on_url(url)

    def on_headers_complete(self) -> None:
        """Starts the timeout of the body."""
        self._expected = _Expected.BODY
        self._extend_deadline(self.limits.body_timeout_s)
        lengths = [v for k, v in self.headers if k == b'content-length']
        if lengths:
            self._inbound.body_left = int(lengths[0])
        self._admit_body(self._inbound.body_left)
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Handles a chunk of the body and extends its timeout."""
        self._extend_deadline(self.limits.body_timeout_s)
        self._body_bytes += len(body)
        self._progress.update(self._body_bytes, self.loop.time())
        if self._body_bytes > self._admitted_bytes:
            # The length is not known; each step doubles what is admitted.
            self._admit_body(2 * self._body_bytes)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Stops the timer at the end of a request."""
        self._has_completed = True
        self._stop_timer()
        super().on_message_complete()
        self._inbound.end_message()
        self._resume_after_response()

    def on_response_complete(self) -> None:
        """Goes on with the next request."""
        super().on_response_complete()
        self._fields_bytes = self._body_bytes = 0
        self._account.release_body()
        self._resume_after_response()

    def send_400_response(self, msg: str) -> None:
        """Rejects a request that the parser does not accept."""
        self._reject(self._error_status, self._error_reason)

    def pause_writing(self) -> None:
        """Starts the write timeout."""
        super().pause_writing()
        self._begin_progress()
        self._update_held()
        self._write_timer = self.loop.call_later(
            self.limits.write_timeout_s, self._abort, 'write_stalled'
        )

    def resume_writing(self) -> None:
        """Stops the write timeout."""
        super().resume_writing()
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
        self._update_held()
        self._resume_after_response()

    def _resume_after_response(self) -> None:
        """Parses the next request once the response before it was read."""
        if (
            self._expected is _Expected.NOTHING
            and self._is_idle()
            and not self.flow.write_paused
        ):
            self._begin_progress()
            self._inbound.resume()

    def _begin_progress(self) -> None:
        self._progress.begin(0, self.loop.time())

    def _update_held(self) -> None:
        if self._account is not None:
            self._account.hold(
                self._inbound.held_bytes
                + self._fields_bytes
                + self.transport.get_write_buffer_size()
            )

    def _admit_body(self, size: int) -> None:
        """Stops the parser if there is no memory for a body of some size."""
        if self._account.admit_body(BODY_COPIES * size):
            self._admitted_bytes = size
            return
        self._error_status = http.HTTPStatus.SERVICE_UNAVAILABLE
        self._error_reason = 'memory'
        raise ValueError(self._error_status.phrase)

    def _is_idle(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def _expect_head(self) -> None:
        self._expected = _Expected.HEAD
        self._received_head_bytes = 0
        self._extend_deadline(self.limits.head_timeout_s)

    def _extend_deadline(self, timeout_s: float) -> None:
        self._deadline = self.loop.time() + timeout_s
        # A timer that expires early is rescheduled to the new deadline, which
        # costs less than a new timer for each chunk of a body.
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
        # While the application does not consume the body, reading is paused,
        # and the client is not the one that stalls.
        if self.flow.read_paused or self._inbound.has_pending:
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
        """Sends a status without a body and closes the connection."""
        # During a response, the status line would corrupt its body.
        if not self._is_idle():
            self._abort(reason)
            return
        self._record_cut(reason)
        self._stop_timer()
        if not self.transport.is_closing():
            lines = [f'HTTP/1.1 {status.value} {status.phrase}']
            if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
                lines.append(f'retry-after: {RETRY_AFTER_S}')
            lines += ['content-length: 0', 'connection: close', '\r\n']
            self.transport.write('\r\n'.join(lines).encode())
            self.transport.close()

    def _abort(self, reason: str) -> None:
        """Closes without a response; the application sees a disconnect."""
        self._record_cut(reason)
        self.transport.abort()

    def _record_cut(self, reason: str) -> None:
        connections_cut.inc({'reason': reason})
        event.note(event.ConnectionCut(reason=reason, client=self.client))


def make_protocol_class(
    limits: Limits,
    on_closed: Callable[[], None],
    ledger: client_memory.Ledger,
) -> type[LimitedProtocol]:
    """Returns the protocol class of one listener.

    Args:
      limits: Limits on the clients of the listener.
      on_closed: Called after each connection is closed.
      ledger: What they hold together.
    """
    attributes = {
        'limits': limits,
        'on_closed': staticmethod(on_closed),
        'ledger': ledger,
        'turns': turns_lib.Turns(),
    }
    return type('ListenerProtocol', (LimitedProtocol,), attributes)
