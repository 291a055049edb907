"""A caller's request while it is served, and the gateway's own refusals."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from quetzalsill_gateway.http import message
from quetzalsill_gateway.quarantine import fingerprint as fingerprint_lib
from quetzalsill_gateway.quarantine import trait

if TYPE_CHECKING:
    from quetzalsill_gateway import dialect as dialect_lib
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.http import responder as responder_lib

__all__ = ['Exchange', 'RETRY_AFTER_S', 'refuse']

MS_PER_S = 1000
# Short compared with the timeouts of the most impatient callers; long enough
# for another gateway, or an engine's next report, to give another result.
RETRY_AFTER_S = 0.1
BODILESS_METHODS = (b'GET', b'HEAD')


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request with its routing decision and progress.

    Attributes:
      request: The caller's request.
      responder: Writes the response.
      route: Matched route.
      service: Service chosen among the route's targets.
      account: Name of the client account; None if callers need no key.
      request_id: Id set by the caller.
      priority: Priority; 0 is the most urgent.
      regions: Regions in which it may be served; None for any.
      deadline_s: Loop time after which the caller no longer waits.
      version: Version of the configuration used for routing.
      sends: Number of upstreams to which it was sent so far.
      may_have_run: Whether an upstream has it now, or may have run it.
      first_event_s: Time from the request to the first event; None before it.
      widest_gap_s: Longest pause between events so far.
      last_event_s: Loop time of the latest event.
      held_s: Time spent queued for an engine with room.
      held_by: What determined its expected wait when it was queued; None if it
        was not queued.
      switch_cause: Why the run resumes at another upstream; cleared by the
        next event.
      gap_cause: `switch_cause` of the longest pause; empty if the run did not
        switch.
      late_probability: Probability, expected when its engine was chosen, that
        a gap between its events is too long.
      pace_miss: Whether it was sent to an engine that is too slow for it.
      is_probe: Whether it is forwarded to find out if it still crashes
        upstreams.
      is_suspect: Whether it may have crashed an upstream.
      tokens: Expected KV cache use, in tokens; 0 if it is no generation.
      retry_after_s: When a refused caller is told to retry, in seconds.
      read_shared_parts: Reads the ids of the shared parts of a prompt.
      answered_s: Loop time at which its latest response began, if that shows
        its own end; None otherwise.
      longest_s: Longest time that an upstream is assumed to take for it, in
        seconds.
      exit_in_s: Time from its arrival to the end of the process, in seconds;
        None if the process was not stopping.
    """

    request: message.Request
    responder: responder_lib.Responder
    route: routing_table.Route
    service: routing_table.Service
    account: bytes | None
    request_id: bytes
    priority: int
    deadline_s: float
    version: int
    sends: int = 0
    may_have_run: bool = False
    first_event_s: float | None = None
    widest_gap_s: float = 0.0
    last_event_s: float = 0.0
    held_s: float = 0.0
    held_by: str | None = None
    switch_cause: str = ''
    gap_cause: str = ''
    tokens: int = 0
    retry_after_s: float = RETRY_AFTER_S
    regions: frozenset[str] | None = None
    late_probability: float = 0.0
    pace_miss: bool = False
    is_probe: bool = False
    is_suspect: bool = False
    read_shared_parts: Callable[[message.Fields], tuple[bytes, ...]] = (
        lambda _: ()
    )
    answered_s: float | None = None
    longest_s: float = math.inf
    exit_in_s: float | None = None
    _fingerprint: bytes = b''
    _traits: tuple[bytes, ...] = ()

    @property
    def fingerprint(self) -> bytes:
        """Identifies the request across repeats, which have other ids."""
        if not self._fingerprint:
            req = self.request
            self._fingerprint = fingerprint_lib.compute(
                req.method,
                message.first(req.headers, b'host') or b'',
                req.target,
                self.account or b'',
                req.body.parts,
            )
        return self._fingerprint

    @property
    def traits(self) -> tuple[bytes, ...]:
        """Fingerprints of what may crash upstreams, its own first."""
        if not self._traits:
            self._traits = trait.of(self)
        return self._traits

    @property
    def shared_parts(self) -> tuple[bytes, ...]:
        """Ids of the parts of its prompt that other prompts may hold too."""
        return self.read_shared_parts(self.request.headers)

    def record_event(self) -> None:
        """Records that events are being sent to the caller now."""
        now = asyncio.get_running_loop().time()
        if self.first_event_s is None:
            self.first_event_s = now - self.request.received_s
        elif now - self.last_event_s > self.widest_gap_s:
            self.widest_gap_s = now - self.last_event_s
            self.gap_cause = self.switch_cause
        self.switch_cause = ''
        self.last_event_s = now

    @property
    def remaining_s(self) -> float:
        """Time left until the deadline, in seconds."""
        return self.deadline_s - asyncio.get_running_loop().time()

    @property
    def id_text(self) -> str:
        """The request id as text, for logs."""
        return self.request_id.decode('latin-1')

    def head(
        self,
        dialect: dialect_lib.Dialect,
        upstream_id: str,
        extra: message.Headers,
    ) -> bytes:
        """Returns the request head to send to an upstream.

        Reserved headers that the caller sent are dropped, and so is the
        caller's key.
        """
        req = self.request
        dropped = dialect.reserved | {
            dialect.deadline_ms,
            b'content-length',
            b'expect',
        }
        if self.account is not None or self.route.public:
            dropped |= {b'authorization'}
        replaced = {name for name, _ in extra}
        lines = [b'%s %s HTTP/1.1' % (req.method, req.target)]
        lines.extend(
            b'%s: %s' % pair
            for pair in message.end_to_end(req.headers)
            if pair[0] not in dropped and pair[0] not in replaced
        )
        left_ms = max(1, int(self.remaining_s * MS_PER_S))
        lines.append(b'%s: %d' % (dialect.deadline_ms, left_ms))
        lines.append(
            b'%s: %s' % (dialect.expected_upstream, upstream_id.encode())
        )
        if self.account is not None:
            lines.append(b'%s: %s' % (dialect.account, self.account))
        lines.extend(b'%s: %s' % pair for pair in extra)
        if req.body or req.method not in BODILESS_METHODS:
            lines.append(b'content-length: %d' % len(req.body))
        lines.append(b'\r\n')
        return b'\r\n'.join(lines)


def refuse(
    responder: responder_lib.Responder,
    status: int,
    reason: str,
    *,
    may_retry: bool = False,
    retry_after_s: float = RETRY_AFTER_S,
) -> None:
    """Sends an error response that originates at the gateway.

    Args:
      responder: Writes the response.
      status: Status code.
      reason: Error code, sent as the body.
      may_retry: Whether to send Retry-After; only if the request has not run.
      retry_after_s: Value of Retry-After, in seconds.
    """
    headers = [(b'content-type', b'text/plain')]
    if may_retry:
        headers.append((b'retry-after', b'%.2f' % retry_after_s))
    responder.reply(status, headers, reason.encode() + b'\n')
