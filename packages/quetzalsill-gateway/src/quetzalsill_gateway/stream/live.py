"""Streams that this gateway is relaying, indexed by upstream."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections.abc import Callable
from typing import TYPE_CHECKING

from quetzalsill_gateway.balance import upstream_stats

if TYPE_CHECKING:
    from quetzalsill_gateway import dialect as dialect_lib
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway.fleet import software_versions
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['LiveStreams', 'ResumePoint', 'StopFailure', 'StopOutcome', 'Stream']

# The caller's hint is accurate at the median; one run in a few exceeds it.
HINT_MARGIN = 1.3
DEFAULT_OUTPUT_SHARE = 0.5


class StopFailure(enum.Enum):
    """Why a stop command did not yield a point to resume from.

    Attributes:
      NOT_STOPPED: The source answered and did not stop the run.
      NO_RESPONSE: There was no answer, so the state of the run is unknown.
    """

    NOT_STOPPED = 'not_stopped'
    NO_RESPONSE = 'no_word'


@dataclasses.dataclass(slots=True)
class ResumePoint:
    """Where a run resumes after it was stopped at its source.

    Attributes:
      source: Upstream that stopped the run.
      target: Upstream to resume at: the destination, or the source again.
      handle: Identifies the copy of the KV cache.
    """

    source: upstream_lib.Upstream
    target: upstream_lib.Upstream
    handle: str


# Result of a stop command.
StopOutcome = ResumePoint | StopFailure


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """One stream to a caller.

    Attributes:
      exchange: The request and its response.
      prompt: Prompt length and expected output, as declared by the caller.
      reservation: Memory that it is expected to need at its upstream.
      upstream: Upstream that runs it; None before the first send.
      backup: Upstream that receives a copy of its KV cache as it grows.
      origin: What generated the first event that its caller has; None before.
      last_id: Number of the last event written to the caller; None before it.
      pending_stop: Set while its run is being stopped to resume elsewhere.
      precopy: First copy of a move, made while the run continued. Once the run
        has stopped it can resume from it, and recomputes the last few tokens.
      placed_at_s: Loop time at which it was first sent; None before.
      prefill_since: Prompt tokens queued ahead of its own at its upstream when
        it was sent, and the loop time then.
      ended: Whether relaying has ended.
    """

    exchange: exchange_lib.Exchange
    prompt: dialect_lib.Prompt
    reservation: upstream_stats.Reservation
    upstream: upstream_lib.Upstream | None = None
    backup: upstream_lib.Upstream | None = None
    origin: software_versions.Origin | None = None
    last_id: int | None = None
    pending_stop: asyncio.Future[StopOutcome] | None = None
    precopy: ResumePoint | None = None
    placed_at_s: float | None = None
    prefill_since: tuple[int, float] = (0, 0.0)
    ended: bool = False


class LiveStreams:
    """Index of streams by upstream, which maintains their reservations."""

    def __init__(self, stats_table: upstream_stats.StatsTable) -> None:
        self._stats_table = stats_table
        self._streams: dict[str, set[Stream]] = {}
        self._on_leaving: Callable[[upstream_lib.Upstream], None] | None = None
        self._on_changed: Callable[[bool], None] | None = None

    def on_placed_while_leaving(
        self, callback: Callable[[upstream_lib.Upstream], None]
    ) -> None:
        """Sets a callback for streams that are placed at a leaving upstream."""
        self._on_leaving = callback

    def on_changed(self, callback: Callable[[bool], None]) -> None:
        """Sets a callback for changes that other gateways should receive.

        Args:
          callback: Takes whether the change is urgent.
        """
        self._on_changed = callback

    def of(self, upstream: upstream_lib.Upstream) -> list[Stream]:
        """Returns the streams that run at an upstream."""
        return list(self._streams.get(upstream.key, ()))

    def hold(self, stream: Stream, upstream: upstream_lib.Upstream) -> None:
        """Reserves memory for a stream at a further upstream."""
        stats = self._stats_table.of(upstream)
        stats.serves_streams = True
        stats.reservations.add(stream.reservation)
        self.notify_changed()

    def release(self, stream: Stream, upstream: upstream_lib.Upstream) -> None:
        """Undoes `hold`, unless the stream has moved to the upstream."""
        if stream.upstream is not upstream:
            stats = self._stats_table.of(upstream)
            stats.reservations.discard(stream.reservation)

    def set_backup(
        self, stream: Stream, upstream: upstream_lib.Upstream | None
    ) -> None:
        """Sets the upstream that keeps a copy of a stream's KV cache."""
        if stream.backup is not None:
            stats = self._stats_table.of(stream.backup)
            stats.backup_reservations.discard(stream.reservation)
            self._forget_if_removed(stream.backup)
        stream.backup = upstream
        if upstream is not None:
            self._stats_table.of(upstream).backup_reservations.add(
                stream.reservation
            )

    def notify_changed(self, *, is_urgent: bool = False) -> None:
        """Schedules an update to the other gateways, immediately if urgent."""
        if self._on_changed is not None:
            self._on_changed(is_urgent)

    def place(self, stream: Stream, upstream: upstream_lib.Upstream) -> None:
        """Records that a stream now runs at an upstream."""
        self.remove(stream)
        stream.upstream = upstream
        now = asyncio.get_running_loop().time()
        if stream.placed_at_s is None:
            stream.placed_at_s = now
        if stream.reservation.is_prefilling:
            ahead = self._stats_table.of(upstream).prefill_tokens
            stream.prefill_since = (ahead, now)
        self._streams.setdefault(upstream.key, set()).add(stream)
        self.hold(stream, upstream)
        if upstream.leaving and self._on_leaving is not None:
            self._on_leaving(upstream)

    def record_prefill(self, stream: Stream, *, is_sample: bool = True) -> None:
        """Records that an upstream has completed the prefill of a stream.

        Args:
          stream: The stream.
          is_sample: Whether its duration shows the speed of the upstream.
        """
        stream.reservation.is_prefilling = False
        ahead, since_s = stream.prefill_since
        duration_s = asyncio.get_running_loop().time() - since_s
        tokens = ahead + stream.reservation.prompt_tokens
        self._stats_table.record_prefill(tokens, duration_s)
        if is_sample and stream.upstream is not None:
            self._stats_table.engine_speeds.record_prefill(
                stream.upstream, tokens, duration_s
            )

    def end(self, stream: Stream) -> None:
        """Removes a stream that has ended and records its duration."""
        stream.ended = True
        self.set_backup(stream, None)
        self.remove(stream)
        if stream.placed_at_s is not None:
            held_s = asyncio.get_running_loop().time() - stream.placed_at_s
            self._stats_table.record_generation(stream.reservation, held_s)

    def remove(self, stream: Stream) -> None:
        """Removes a stream from its upstream, and releases its reservation."""
        if stream.upstream is None:
            return
        streams = self._streams.get(stream.upstream.key, set())
        streams.discard(stream)
        if not streams:
            self._streams.pop(stream.upstream.key, None)
        stats = self._stats_table.of(stream.upstream)
        stats.reservations.discard(stream.reservation)
        self._forget_if_removed(stream.upstream)
        stream.upstream = None

    def _forget_if_removed(self, upstream: upstream_lib.Upstream) -> None:
        if upstream.removed and not self._streams.get(upstream.key):
            self._stats_table.remove(upstream)


def reserve(prompt: dialect_lib.Prompt) -> upstream_stats.Reservation:
    """Returns the memory that a generation is expected to need at its end."""
    estimate = prompt.output_hint * HINT_MARGIN
    output = estimate or prompt.output_limit * DEFAULT_OUTPUT_SHARE
    output = min(output, prompt.output_limit) if prompt.output_limit else output
    return upstream_stats.Reservation(
        prompt.input_tokens,
        prompt.input_tokens + int(output),
    )
