"""An open connection between a router and a sidecar."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from quetzalsill.wire import codec, error, frame, message

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from quetzalsill.settings import section

__all__ = ['MAX_UNSENT_BYTES', 'Link']

MAX_UNSENT_BYTES = 2 * frame.MAX_BODY_BYTES
READ_BYTES = 65536
CLOSE_GRACE_S = 2.0


def _ignore_revision(revision: int) -> None:
    """Default of `Link.on_revision`."""


def _default_factor() -> float:
    """Default of `heartbeat_factor`."""
    return 1.0


class Link:
    """Sends and receives messages over one connection.

    The link sends and answers heartbeats itself. The silence timeout applies
    only while `messages` is being read, so one task must read it all the time.

    Attributes:
      peer: Hello or Welcome of the peer.
      remote: Address of the peer, for logs.
      on_revision: Called with each revision received in a heartbeat.
      sent_bytes: Bytes written to the connection so far.
      received_bytes: Bytes read so far.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: message.Hello | message.Welcome,
        splitter: frame.Splitter,
        timing: section.LinkTiming,
        revision: Callable[[], int],
        on_revision: Callable[[int], None] | None = None,
        heartbeat_factor: Callable[[], float] | None = None,
    ) -> None:
        """Takes over a connection after its handshake.

        Args:
          reader: Stream of the connection.
          writer: Stream of the connection.
          peer: Handshake message of the peer.
          splitter: Holds the data received after the handshake.
          timing: Heartbeat interval and silence timeout.
          revision: Returns the current local revision for heartbeats.
          on_revision: See the attribute.
          heartbeat_factor: Returns the factor by which `idle_s` is multiplied
            for the first heartbeat on an idle link; 1 if None.
        """
        self.peer = peer
        self.remote = remote_address(writer)
        self.on_revision = on_revision or _ignore_revision
        self.sent_bytes = 0
        self.received_bytes = 0
        self._reader = reader
        self._writer = writer
        self._splitter = splitter
        self._timing = timing
        self._revision = revision
        self._heartbeat_factor = heartbeat_factor or _default_factor
        self._loop = asyncio.get_running_loop()
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._failure: error.WireError | None = None
        self.echoed = 0
        self._nonce = 0
        self._sent_at = self._pinged_at = self._loop.time()
        self._reading_since: float | None = None
        self._timer = self._loop.call_later(timing.idle_s, self._on_timer)

    @property
    def closed(self) -> bool:
        """Whether the link is closed for sending."""
        return self._failure is not None

    def get_extra_info(self, name: str) -> Any:
        """Returns information of the transport, such as its `socket`."""
        return self._writer.get_extra_info(name)

    def send_nowait(self, msg: message.Message) -> None:
        """Buffers a message; one loop iteration's messages share a write.

        Raises:
          error.LinkClosedError: The link is closed, or was closed now because
            the peer reads too slowly (`LinkOverflowError`).
          error.MalformedFrameError: A field cannot be encoded.
          error.OversizeFrameError: The message is too long.
        """
        if self._failure is not None:
            raise error.LinkClosedError(str(self._failure))
        data = frame.pack(codec.encode(msg))
        self._check_unsent(len(data))
        if not self._unsent:
            self._loop.call_soon(self._flush)
        self._unsent.append(data)
        self._unsent_bytes += len(data)

    async def send(self, msg: message.Message) -> None:
        """Sends a message and waits while the write buffer is full.

        Raises:
          error.LinkClosedError: The link is closed, or closes meanwhile.
          error.MalformedFrameError: A field cannot be encoded.
          error.OversizeFrameError: The message is too long.
        """
        self.send_nowait(msg)
        self._flush()
        try:
            await self._writer.drain()
        except OSError as exc:
            raise self._fail(error.LinkClosedError(str(exc))) from exc

    async def messages(self) -> AsyncIterator[message.Message]:
        """Yields received messages, except heartbeats and other control ones.

        Raises:
          error.LinkClosedError: The connection ended.
          error.LinkSilentError: Nothing was received for `silence_s`.
          error.RejectedError: The peer closed the link and sent the reason.
          error.WireError: The peer violated the protocol and was sent a
            Reject.
        """
        data = b''
        while True:
            try:
                for body in self._splitter.feed(data):
                    msg = codec.decode(body)
                    if not self._handle_control(msg):
                        yield msg
            except error.WireError as exc:
                self.reject(exc)
                raise
            data = await self._read()

    def reject(self, exc: error.WireError) -> None:
        """Sends the peer the reason in a Reject, and closes the link."""
        if not isinstance(exc, error.RejectedError):
            with contextlib.suppress(error.LinkClosedError):
                self.send_nowait(message.Reject(exc.code, exc.detail))
        self.close(exc)

    def ping(self) -> int:
        """Sends a Ping and returns its nonce.

        Once `echoed` reaches it, the peer has read everything sent before the
        Ping, and everything that the peer sent before its Pong has been read.
        """
        self._ping()
        return self._nonce

    def probe(self) -> None:
        """Sends a Ping now if nothing was received for `idle_s`.

        For a sender that assigns work to an idle link, whose longer heartbeat
        interval thereby ends: a dead link is detected within `silence_s`.
        """
        now = self._loop.time()
        since = self._reading_since
        if self.closed or since is None:
            return
        if now - since >= self._timing.idle_s:
            self._reading_since = now
            self._ping()
        if not self.closed:
            self._timer.cancel()
            self._timer = self._loop.call_at(
                self._next_timer_at(), self._on_timer
            )

    def close(self, exc: error.WireError | None = None) -> None:
        """Closes the link after the buffered data is written."""
        if self._failure is not None:
            return
        self._flush()
        self._failure = exc or error.LinkClosedError('closed locally')
        self._timer.cancel()
        self._writer.close()
        # If the peer has stopped reading, the buffer never drains, and the
        # connection would stay open with it.
        self._loop.call_later(CLOSE_GRACE_S, self._writer.transport.abort)

    def _handle_control(self, msg: message.Message) -> bool:
        """Handles a control message; returns False for any other."""
        cls = type(msg)
        if cls is message.Ping:
            if self._failure is None:
                self.send_nowait(message.Pong(msg.nonce, self._revision()))
            self.on_revision(msg.revision)
        elif cls is message.Pong:
            self.echoed = max(self.echoed, msg.nonce)
            self.on_revision(msg.revision)
        elif cls is message.Reject:
            raise error.RejectedError(msg.code, msg.detail)
        elif cls is message.Hello or cls is message.Welcome:
            raise error.ProtocolError('second handshake on one link')
        else:
            return False
        return True

    async def _read(self) -> bytes:
        self._reading_since = self._loop.time()
        try:
            data = await self._reader.read(READ_BYTES)
        except OSError as exc:
            raise self._fail(error.LinkClosedError(str(exc))) from exc
        finally:
            self._reading_since = None
        if not data:
            raise self._fail(error.LinkClosedError('closed by the peer'))
        self.received_bytes += len(data)
        return data

    def _fail(self, exc: error.WireError) -> error.WireError:
        """Aborts the connection; returns the error to be raised."""
        if self._failure is None:
            self._failure = exc
            self._timer.cancel()
            self._unsent.clear()
            self._writer.transport.abort()
        return self._failure

    def _check_unsent(self, size: int) -> None:
        # If a peer stops reading without closing its connection, the buffer
        # would grow until this process runs out of memory.
        waiting = self._writer.transport.get_write_buffer_size()
        if waiting + self._unsent_bytes + size > MAX_UNSENT_BYTES:
            raise self._fail(
                error.LinkOverflowError(
                    f'more than {MAX_UNSENT_BYTES} bytes unsent'
                )
            )

    def _flush(self) -> None:
        if not self._unsent or self._failure is not None:
            return
        data = b''.join(self._unsent)
        self._unsent.clear()
        self._unsent_bytes = 0
        self._sent_at = self._loop.time()
        self.sent_bytes += len(data)
        self._writer.write(data)

    def _on_timer(self) -> None:
        """Sends a heartbeat if one is due; aborts a silent link."""
        now = self._loop.time()
        if self._is_silent(now):
            self._fail(
                error.LinkSilentError(
                    f'no data for {self._max_silence_s()} s from {self.remote}'
                )
            )
            return
        if now >= self._next_ping_at():
            self._ping()
        if self._failure is None:
            self._timer = self._loop.call_at(
                self._next_timer_at(), self._on_timer
            )

    def _ping(self) -> None:
        self._nonce += 1
        self._pinged_at = self._loop.time()
        # On overflow the link is aborted; its reader gets the error from
        # `messages`.
        with contextlib.suppress(error.LinkClosedError):
            self.send_nowait(message.Ping(self._nonce, self._revision()))
            self._flush()

    def _is_silent(self, now: float) -> bool:
        # A middlebox can lose its state of the connection: both ends see it
        # open, and nothing ever arrives. Each end sends Pings repeatedly while
        # it receives nothing; a live peer responds at once, so that several
        # unanswered Pings show that the link is dead.
        if self._reading_since is None:
            return False
        # After a pause of this process, the timer is late and received data
        # is still unread. The silence was not the peer's, so it is reset.
        if now - self._timer.when() > self._timing.idle_s:
            self._reading_since = now
        return now >= self._reading_since + self._max_silence_s()

    def _max_silence_s(self) -> float:
        timing = self._timing
        return self._first_heartbeat_s() - timing.idle_s + timing.silence_s

    def _first_heartbeat_s(self) -> float:
        return self._timing.idle_s * self._heartbeat_factor()

    def _next_ping_at(self) -> float:
        # While this end does not read, it cannot detect silence, but must
        # still send heartbeats to the peer.
        if self._reading_since is None:
            return self._sent_at + self._timing.idle_s
        return max(
            self._reading_since + self._first_heartbeat_s(),
            self._pinged_at + self._timing.idle_s,
        )

    def _next_timer_at(self) -> float:
        due = self._next_ping_at()
        if self._reading_since is None:
            return due
        return min(due, self._reading_since + self._max_silence_s())


def remote_address(writer: asyncio.StreamWriter) -> str:
    """Returns the address of the peer as `IP:PORT`."""
    address = writer.get_extra_info('peername') or ('unknown', 0)
    return f'{address[0]}:{address[1]}'
