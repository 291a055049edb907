"""A segment is the part of a stream that one upstream produces."""

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
      upstream: Upstream that produces the events.
      extra_headers: Request headers that the gateway adds.
      grounds: Why it is safe to send the request to the upstream.
      backup: Upstream that receives the run's KV cache as it grows.
      event_count: Number of events received.
      first_event_s: Loop time of the first event; 0 before it.
      last_event_s: Loop time of the latest event; 0 before the first.
      is_framed: Whether the response has explicit framing. The end of a
        response that is delimited by its connection looks the same whether
        the run is complete or was stopped.
      may_have_stopped: Whether a stop command may have ended the run here.
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
        """Whether the run resumes from a copy of its KV cache."""
        return self.grounds.resumes

    @property
    def active_s(self) -> float:
        """Time between the first and the latest event, in seconds."""
        return self.last_event_s - self.first_event_s

    def record_event(self, now: float) -> None:
        """Counts an event that was received at loop time `now`."""
        if not self.event_count:
            self.first_event_s = now
        self.last_event_s = now
        self.event_count += 1


@dataclasses.dataclass(slots=True)
class Refusal:
    """A response other than a stream.

    Attributes:
      head: Status and headers.
      body: Body, possibly truncated.
      verdict: How the status and headers are classified.
    """

    head: message.ResponseHead
    body: bytes
    verdict: attempt.ResponseClass


Outcome = Refusal | error.CallError | str


def has_not_run(outcome: Outcome | None) -> bool:
    """Whether the upstream is known not to have run the request."""
    if isinstance(outcome, error.CallError):
        return not attempt.may_have_run(outcome)
    return isinstance(outcome, Refusal) and outcome.verdict.is_not_run


def describe(outcome: Outcome) -> str:
    """Returns the outcome of a segment as a code for logs and metrics."""
    if isinstance(outcome, error.CallError):
        return outcome.code
    if isinstance(outcome, Refusal):
        return f'{outcome.verdict.value}_{outcome.head.status}'
    return outcome
