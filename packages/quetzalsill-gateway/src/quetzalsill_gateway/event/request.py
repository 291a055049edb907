"""Events of one request."""

from __future__ import annotations

from quetzalsill.telemetry import event as base

__all__ = [
    'AttemptEnded',
    'LegEnded',
    'RequestEnded',
    'RequestFault',
    'RequestHeld',
    'RequestMalformed',
    'RequestRefused',
    'UpstreamChosen',
]


@base.define
class RequestEnded(base.Event):
    """A request of a caller has its final answer, or its caller left.

    Attributes:
      request: Id of the request.
      route: Route taken.
      kind: Kind of the route.
      service: Service chosen.
      outcome: `served`; `upstream_failed`, a server's own failure handed on;
        `refused`, not run; `failed`, may have run; `cut`, broken off in the
        middle; `timeout` and `cut_at_deadline`; `not_sent`, no upstream took
        it in time; `caller_left`; `stopped`, its gateway came to its end.
      sends: Upstreams to which it was sent.
      took_ms: Time from its first byte.
      first_ms: Time to the first event of a stream.
      widest_gap_ms: Longest pause between two events of a stream.
      configuration: Version that decided.
      membership: Revision of the membership known at the end.
      objective_ms: Time within which an answer, or the first event, is wanted.
      most_gap_ms: Longest pause that the route allows; None for no bound.
      held_ms: Time that it waited for an engine with room.
      gap_cause: What happened in the longest pause: `move`, `recovery`, or
        nothing that the gateway knows of.
      tokens: Memory that it was expected to need; 0 for what is no generation.
    """

    request: str
    route: str
    kind: str
    service: str
    outcome: str
    sends: int
    took_ms: float
    first_ms: float | None
    widest_gap_ms: float | None
    configuration: int
    membership: str
    objective_ms: float = 0.0
    most_gap_ms: float | None = None
    held_ms: float = 0.0
    gap_cause: str = ''
    tokens: int = 0


@base.define
class RequestRefused(base.Event):
    """A request was refused before anything was decided about an upstream.

    Attributes:
      request: Id of the request, empty if it has none.
      target: Its path and query.
      reason: `no_configuration`, `no_route`, `unknown_key` or `no_id`.
      status: Status told.
      configuration: Version in force; 0 for none.
    """

    request: str
    target: str
    reason: str
    status: int
    configuration: int


@base.define
class UpstreamChosen(base.Event):
    """A request is about to be sent to an upstream.

    Attributes:
      request: Id of the request.
      route: Route taken.
      upstream: Id of the upstream.
      able: Upstreams of the service that take new work.
      outstanding: Own calls at the chosen one.
      mean_ms: Mean time of a call there.
      runs: Generations there, of all gateways.
      reserved_tokens: Memory that these are expected to need.
      reading_tokens: Prompt tokens that it is still to read.
      needs_tokens: Memory that this one is expected to need.
      failures: Recent failures there.
      configuration_age_ms: Since the configuration was last confirmed.
      membership_age_ms: Since the membership was last confirmed.
    """

    request: str
    route: str
    upstream: str
    able: int
    outstanding: int
    mean_ms: float
    runs: int
    reserved_tokens: int
    reading_tokens: int
    needs_tokens: int
    failures: float
    configuration_age_ms: int
    membership_age_ms: int


@base.define
class RequestHeld(base.Event):
    """A generation waited for an engine with room, or was told to come back.

    Attributes:
      request: Id of the request.
      waited_ms: How long.
      expected_ms: How long it was expected to wait when it came.
      waiting: Others that wait still.
      admitted: Whether it is sent now; if not, its caller is told to come back.
      come_back_ms: When its caller is told to come back, if it is.
    """

    request: str
    waited_ms: float
    expected_ms: float
    waiting: int
    admitted: bool
    come_back_ms: float


@base.define
class AttemptEnded(base.Event):
    """One send of a call has its result.

    Attributes:
      request: Id of the request.
      upstream: Where it was sent.
      result: What came: `success_200` and the like, or a code of
        `http.error`.
      again: Whether it is sent to another upstream.
    """

    request: str
    upstream: str
    result: str
    again: bool


@base.define
class LegEnded(base.Event):
    """One upstream's part of a stream is over.

    Attributes:
      request: Id of the request.
      upstream: Who made the events.
      leaving: Whether it was known to leave.
      continued: Whether the part went on from memory.
      result: `whole`, or what broke it off.
      last_event: Number of the last event that the caller has.
      next: Upstream where it goes on; empty if nowhere.
      backup: Upstream that had a copy of its memory; empty if none.
      grounds: Why the request might be sent there: `not_run` before,
        `repeatable`, or going on from a `copy` that an engine has named or
        from its `backup`.
      events: Events that came of the part.
    """

    request: str
    upstream: str
    leaving: bool
    continued: bool
    result: str
    last_event: int | None
    next: str
    backup: str
    grounds: str = ''
    events: int = 0


@base.define
class RequestFault(base.Event, level='error'):
    """A request failed in a way that nobody foresaw.

    Attributes:
      target: Path and query.
    """

    target: str


@base.define
class RequestMalformed(base.Event):
    """Bytes of a caller are no request that is served.

    Attributes:
      status: Status told.
    """

    status: int
