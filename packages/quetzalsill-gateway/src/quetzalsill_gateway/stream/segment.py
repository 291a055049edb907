"""One upstream's part of a stream, and how it ended."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_gateway import at_most_once, attempt
from quetzalsill_gateway.http import error

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.http import message

__all__ = [
    'COMPLETE',
    'Outcome',
    'Refusal',
    'Segment',
    'describe',
    'has_not_run',
]

COMPLETE = 'whole'


@dataclasses.dataclass(slots=True)
class Segment:
    """One upstream's part of a stream.

    Attributes:
      upstream: Who makes the events.
      extra_headers: Headers that the gateway sets.
      grounds: Why the request may be sent there.
      backup: Upstream that gets a copy of the run's memory as it grows.
      event_count: Events that have come of it.
      first_event_s: Loop time of the first of them; 0 before it.
      last_event_s: Loop time of the newest.
      is_framed: Whether its stream tells where it ends. One that ends with
        its connection ends alike whether the run is whole or was stopped.
      may_have_stopped: Whether an order may have stopped the run there.
    """

    upstream: upstream_lib.Upstream
    extra_headers: message.Headers
    grounds: at_most_once.Grounds
    backup: upstream_lib.Upstream | None = None
    event_count: int = 0
    first_event_s: float = 0.0
    last_event_s: float = 0.0
    is_framed: bool = False
    may_have_stopped: bool = False

    @property
    def continues(self) -> bool:
        """Whether the run goes on from memory."""
        return self.grounds.goes_on

    @property
    def active_s(self) -> float:
        """For how long events have come of it, in seconds."""
        return self.last_event_s - self.first_event_s

    def record_event(self, now: float) -> None:
        """Takes an event that came at a loop time."""
        if not self.event_count:
            self.first_event_s = now
        self.last_event_s = now
        self.event_count += 1


@dataclasses.dataclass(slots=True)
class Refusal:
    """An answer that is no stream.

    Attributes:
      head: Its head.
      body: Its body.
      verdict: What it means.
    """

    head: message.ResponseHead
    body: bytes
    verdict: attempt.Verdict


Outcome = Refusal | error.CallError | str


def has_not_run(outcome: Outcome | None) -> bool:
    """Whether a segment ended without its request having run there."""
    if isinstance(outcome, error.CallError):
        return not attempt.may_have_run(outcome)
    return isinstance(outcome, Refusal) and outcome.verdict.is_not_run


def describe(outcome: Outcome) -> str:
    """Returns how a segment ended, for logs and metrics."""
    if isinstance(outcome, error.CallError):
        return outcome.code
    if isinstance(outcome, Refusal):
        return f'{outcome.verdict.value}_{outcome.head.status}'
    return outcome
