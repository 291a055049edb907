"""Streams that this gateway relays, by the upstream that makes them."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections.abc import Callable
from typing import TYPE_CHECKING

from quetzalsill_gateway.balance import book

if TYPE_CHECKING:
    from quetzalsill_gateway import dialect as dialect_lib
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['LiveStreams', 'ResumePoint', 'StopFailure', 'StopOutcome', 'Stream']

# The caller's guess is right at the median; one run in a few is longer.
HINT_MARGIN = 1.3
DEFAULT_OUTPUT_SHARE = 0.5


class StopFailure(enum.Enum):
    """What an order to stop a run came to that gives it no place to go on.

    Attributes:
      NOT_STOPPED: Whoever answers at the source has not stopped it.
      NO_RESPONSE: Nobody knows: there was no answer.
    """

    NOT_STOPPED = 'not_stopped'
    NO_RESPONSE = 'no_word'


@dataclasses.dataclass(slots=True)
class ResumePoint:
    """Where a run goes on after it was stopped at its source.

    Attributes:
      source: Upstream that it ran on.
      target: Upstream to go on at: the destination, or the source again.
      handle: Names the copy.
    """

    source: upstream_lib.Upstream
    target: upstream_lib.Upstream
    handle: str


# What an order to stop a run comes to.
StopOutcome = ResumePoint | StopFailure


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """One stream on its way to a caller.

    Attributes:
      exchange: The request.
      prompt: What the caller says of the generation.
      reservation: What it holds at its upstream.
      upstream: Where it runs; None before the first send.
      backup: Upstream that gets a copy of its memory as it grows.
      last_id: Number of the last event written to the caller; None at first.
      pending_stop: Set while its run is being stopped in order to go on
        elsewhere.
      precopy: Where it can go on, less a few tokens, once it has stopped.
      placed_at_s: Loop time at which it was first sent; None before.
      prefill_since: Prompt tokens that were ahead of its own at its upstream,
        and the loop time of that.
      ended: Nothing of it is relayed any more.
    """

    exchange: exchange_lib.Exchange
    prompt: dialect_lib.Prompt
    reservation: book.Reservation
    upstream: upstream_lib.Upstream | None = None
    backup: upstream_lib.Upstream | None = None
    last_id: int | None = None
    pending_stop: asyncio.Future[StopOutcome] | None = None
    precopy: ResumePoint | None = None
    placed_at_s: float | None = None
    prefill_since: tuple[int, float] = (0, 0.0)
    ended: bool = False


class LiveStreams:
    """Streams by upstream, with what they hold there."""

    def __init__(self, pages: book.Book) -> None:
        self._pages = pages
        self._streams: dict[str, set[Stream]] = {}
        self._on_leaving: Callable[[upstream_lib.Upstream], None] | None = None
        self._on_changed: Callable[[bool], None] | None = None

    def on_placed_while_leaving(
        self, callback: Callable[[upstream_lib.Upstream], None]
    ) -> None:
        """Calls back when a stream begins at an upstream that leaves."""
        self._on_leaving = callback

    def on_changed(self, callback: Callable[[bool], None]) -> None:
        """Calls back when there is something to tell the other gateways.

        Args:
          callback: Told whether they wait for it.
        """
        self._on_changed = callback

    def of(self, upstream: upstream_lib.Upstream) -> list[Stream]:
        """Returns the streams of an upstream."""
        return list(self._streams.get(upstream.key, ()))

    def hold(self, stream: Stream, upstream: upstream_lib.Upstream) -> None:
        """Notes that a stream will need its memory at an upstream too."""
        page = self._pages.page(upstream)
        page.makes_streams = True
        page.reservations.add(stream.reservation)
        self.notify_changed()

    def release(self, stream: Stream, upstream: upstream_lib.Upstream) -> None:
        """Takes `hold` back, unless the stream has gone there."""
        if stream.upstream is not upstream:
            page = self._pages.page(upstream)
            page.reservations.discard(stream.reservation)

    def set_backup(
        self, stream: Stream, upstream: upstream_lib.Upstream | None
    ) -> None:
        """Notes where a copy of a stream's memory is kept from now on."""
        if stream.backup is not None:
            page = self._pages.page(stream.backup)
            page.copies.discard(stream.reservation)
            self._forget_if_gone(stream.backup)
        stream.backup = upstream
        if upstream is not None:
            self._pages.page(upstream).copies.add(stream.reservation)

    def notify_changed(self, *, is_urgent: bool = False) -> None:
        """Lets the other gateways be told: soon, or at once."""
        if self._on_changed is not None:
            self._on_changed(is_urgent)

    def place(self, stream: Stream, upstream: upstream_lib.Upstream) -> None:
        """Notes that a stream runs at an upstream from now on."""
        self.remove(stream)
        stream.upstream = upstream
        now = asyncio.get_running_loop().time()
        if stream.placed_at_s is None:
            stream.placed_at_s = now
        if stream.reservation.is_reading:
            ahead = self._pages.page(upstream).reading_tokens
            stream.prefill_since = (ahead, now)
        self._streams.setdefault(upstream.key, set()).add(stream)
        self.hold(stream, upstream)
        if upstream.leaving and self._on_leaving is not None:
            self._on_leaving(upstream)

    def record_prefill(self, stream: Stream) -> None:
        """Notes that an upstream has read a stream's prompt."""
        stream.reservation.is_reading = False
        ahead, since_s = stream.prefill_since
        duration_s = asyncio.get_running_loop().time() - since_s
        tokens = ahead + stream.reservation.prompt_tokens
        self._pages.note_read(tokens, duration_s)

    def end(self, stream: Stream) -> None:
        """Notes that a stream has ended, and for how long it held memory."""
        stream.ended = True
        self.set_backup(stream, None)
        self.remove(stream)
        if stream.placed_at_s is not None:
            held_s = asyncio.get_running_loop().time() - stream.placed_at_s
            self._pages.note_run(stream.reservation, held_s)

    def remove(self, stream: Stream) -> None:
        """Notes that a stream runs nowhere."""
        if stream.upstream is None:
            return
        streams = self._streams.get(stream.upstream.key, set())
        streams.discard(stream)
        if not streams:
            self._streams.pop(stream.upstream.key, None)
        page = self._pages.page(stream.upstream)
        page.reservations.discard(stream.reservation)
        self._forget_if_gone(stream.upstream)
        stream.upstream = None

    def _forget_if_gone(self, upstream: upstream_lib.Upstream) -> None:
        if upstream.gone and not self._streams.get(upstream.key):
            self._pages.forget(upstream)


def reserve(prompt: dialect_lib.Prompt) -> book.Reservation:
    """Returns what a generation is expected to hold at its end."""
    estimate = prompt.output_hint * HINT_MARGIN
    output = estimate or prompt.output_limit * DEFAULT_OUTPUT_SHARE
    output = min(output, prompt.output_limit) if prompt.output_limit else output
    return book.Reservation(
        prompt.input_tokens,
        prompt.input_tokens + int(output),
    )
