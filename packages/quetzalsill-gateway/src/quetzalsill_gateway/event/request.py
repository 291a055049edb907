"""Log events of a request."""

from __future__ import annotations

from quetzalsill.telemetry import event as base

__all__ = [
    'AttemptEnded',
    'CrashRefuted',
    'QuarantineLifted',
    'RequestQuarantined',
    'LegEnded',
    'RequestEnded',
    'RequestFault',
    'RequestHeld',
    'RequestMalformed',
    'RequestPassedOver',
    'RequestRefused',
    'UpstreamChosen',
]


@base.define
class RequestEnded(base.Event):
    """A request has its final response, or its caller disconnected.

    Attributes:
      request: Id of the request.
      route: Matched route.
      kind: Kind of the route.
      service: Chosen service.
      outcome: `served`; `upstream_failed`, an upstream's error response was
        relayed; `refused`, not run; `failed`, may have run; `cut`, aborted in
        the middle of the response; `timeout` and `cut_at_deadline`;
        `not_sent`, no upstream accepted it in time, or before the gateway
        exited; `caller_left`; `stopped`, the gateway exited.
      sends: Number of upstreams to which it was sent.
      took_ms: Time since its first byte.
      first_ms: Time to the first event of a stream.
      widest_gap_ms: Longest pause between two events of a stream.
      configuration: Version of the configuration used for routing.
      membership: Revision of the membership known at the end.
      objective_ms: Target time to the response, or to the first event.
      most_gap_ms: Longest pause that the route allows; None for no limit.
      held_ms: Time spent queued for an engine with room.
      gap_cause: Cause of the longest pause: `move`, `recovery`, or empty if
        the gateway knows of none.
      tokens: Expected KV cache use, in tokens; 0 if it is no generation.
      account: Client account; empty if callers need no key.
      first_request: Request that began the stream which the caller takes up;
        empty if it names none.
      resume_after: Id of the last event that it has; empty if none.
      exit_in_ms: Time from its arrival to the end of the process; None if the
        process was not stopping.
      longest_ms: Longest time that an upstream was assumed to take for it;
        None if the process was not stopping or there is no limit.
      number: Its number on its connection, from 1.
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
    account: str = ''
    first_request: str = ''
    resume_after: str = ''
    exit_in_ms: float | None = None
    longest_ms: float | None = None
    number: int = 1


@base.define
class RequestRefused(base.Event):
    """A request was refused before an upstream was chosen.

    Attributes:
      request: Id of the request, empty if it has none.
      target: Path and query.
      reason: `no_configuration`, `no_route`, `unknown_key`, `no_id`,
        `stopping` or `quarantined`.
      status: Status of the response.
      configuration: Active version; 0 for none.
      trait: Kind and value of the trait for which it is in quarantine.
    """

    request: str
    target: str
    reason: str
    status: int
    configuration: int
    trait: str = ''


@base.define
class UpstreamChosen(base.Event):
    """A request is about to be sent to an upstream.

    Attributes:
      request: Id of the request.
      route: Matched route.
      upstream: Id of the chosen upstream.
      able: Number of the service's upstreams that accept new work.
      outstanding: This gateway's calls to the upstream.
      mean_ms: Mean latency of a call to it.
      runs: Generations running there, from all gateways.
      reserved_tokens: Expected KV cache use of these, in tokens.
      reading_tokens: Prompt tokens that it has yet to prefill.
      needs_tokens: Expected KV cache use of this request, in tokens.
      late_probability: Probability that a gap between its events is too long.
      pace_miss: Whether no engine was fast enough for its gaps.
      failures: Decayed count of recent failures there.
      configuration_age_ms: Time since the configuration was last confirmed.
      membership_age_ms: Time since the membership was last confirmed.
      software_version: Version of the upstream; empty if unknown.
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
    late_probability: float
    pace_miss: bool
    failures: float
    configuration_age_ms: int
    membership_age_ms: int
    software_version: str = ''


@base.define
class RequestHeld(base.Event):
    """A generation was queued for an engine with room, then sent or refused.

    Attributes:
      request: Id of the request.
      waited_ms: Time spent in the queue.
      expected_ms: Wait expected when it was queued, or when it was rejected for
        that.
      waiting: Number of generations still queued.
      admitted: Whether it is sent now; if not, its caller is told to retry.
      come_back_ms: Delay after which a refused caller is told to retry.
      bound_by: What determines the expected wait: `memory`, `prefill`, `rate`
        or `pause`; empty if no wait was expected.
    """

    request: str
    waited_ms: float
    expected_ms: float
    waiting: int
    admitted: bool
    come_back_ms: float
    bound_by: str = ''


@base.define
class RequestPassedOver(base.Event):
    """A queued request waits, as its client account is ahead of its share.

    Logged at most once a second for each account.

    Attributes:
      request: Id of the request.
      account: Client account.
      at_peer: Whether the request that goes first is at another gateway.
      lead_s: How far the account is ahead, as the time in which all gateways
        serve as many tokens.
    """

    request: str
    account: str
    at_peer: bool
    lead_s: float


@base.define
class AttemptEnded(base.Event):
    """One attempt to send a call has its result.

    Attributes:
      request: Id of the request.
      upstream: Upstream to which it was sent.
      result: Response class and status, such as `success_200`, or an error
        code of `http.error`.
      again: Whether it is retried at another upstream.
    """

    request: str
    upstream: str
    result: str
    again: bool


@base.define
class LegEnded(base.Event):
    """One upstream's segment of a stream has ended.

    Attributes:
      request: Id of the request.
      upstream: Upstream that generated the events.
      leaving: Whether it was known to be leaving.
      continued: Whether the segment resumed from a KV cache copy.
      result: `whole`, or what interrupted it.
      last_event: Id of the last event that the caller has received.
      next: Upstream where the stream continues; empty if nowhere.
      backup: Upstream that had a copy of its KV cache; empty if none.
      grounds: Why the request could be sent there: `not_run` before,
        `repeatable`, or resumed from a `copy` that an engine has named or
        from its `backup`.
      events: Number of events of the segment.
      software_version: Version of the upstream; empty if unknown.
      next_version: That of the upstream where the stream continues.
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
    software_version: str = ''
    next_version: str = ''


@base.define
class StreamOriginFound(base.Event):
    """It is known what began a stream that its caller takes up.

    Attributes:
      request: Id of the request.
      first_request: Request that began the stream, as its caller says.
      service: Service that began it.
      software_version: Version that began it.
      grounds: `record`, a gateway has recorded it; `only_version`, the service
        has had no other.
    """

    request: str
    first_request: str
    service: str
    software_version: str
    grounds: str


@base.define
class StreamNotResumed(base.Event):
    """A stream that its caller takes up was refused.

    Attributes:
      request: Id of the request.
      first_request: Request that began the stream, as its caller says.
      service: Its service.
      reason: `unknown_origin`, nobody knows which software version began it;
        `no_upstream_of_version`, none that may continue it takes new work.
      software_version: Version that began it; empty if unknown.
      versions: Versions seen in the service, separated by commas.
    """

    request: str
    first_request: str
    service: str
    reason: str
    software_version: str
    versions: str


@base.define
class RequestFault(base.Event, level='error'):
    """The handler of a request raised an unexpected exception.

    Attributes:
      target: Path and query.
    """

    target: str


@base.define
class RequestMalformed(base.Event):
    """A caller sent a malformed or unacceptable request.

    Attributes:
      status: Status of the response.
    """

    status: int


@base.define
class RequestQuarantined(base.Event):
    """Requests are refused from now on, as they have crashed upstreams.

    Attributes:
      fingerprint: Identifies the trait that they have in common.
      label: Route, client account and path of one; empty if this gateway never
        ran any.
      upstreams: Ids of upstreams that crashed while they ran one.
      for_s: Time until a probe, in seconds.
      failed_probes: Number of probes so far that crashed an upstream.
      source: Gateway that found it, or `store`; empty for this one.
      stopped: Number of their runs that this gateway has stopped.
      trait: Kind and value of the trait; several, separated by commas, if only
        requests with all of them are refused.
    """

    fingerprint: str
    label: str
    upstreams: str
    for_s: float
    failed_probes: int
    source: str
    stopped: int
    trait: str = ''


@base.define
class QuarantineLifted(base.Event):
    """Requests are no longer refused.

    Attributes:
      fingerprint: Identifies the trait that they have in common.
      label: Route, client account and path of one.
      reason: `completed` if an upstream has answered one, `explained` if
        another trait has caused the same crashes, or `operator`.
      trait: Kind and value of the trait.
    """

    fingerprint: str
    label: str
    reason: str
    trait: str = ''


@base.define
class CrashRefuted(base.Event):
    """An upstream that seemed to have crashed has answered since.

    Attributes:
      upstream: The upstream.
    """

    upstream: str
