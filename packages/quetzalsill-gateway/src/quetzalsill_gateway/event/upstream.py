"""Log events of upstreams and of their runs."""

from __future__ import annotations

from quetzalsill.telemetry import event as base

__all__ = [
    'EntryInvalid',
    'CopyNotFreed',
    'CrashSuspected',
    'EngineSpeedKnown',
    'LapsedEngineAsked',
    'MigrationStarted',
    'ReportFailed',
    'RetryAfterInvalid',
    'RunBrokeOff',
    'RunOrdered',
    'ServerBackoff',
    'ServerBackoffEnded',
    'ServerLimit',
    'ServerLimitInvalid',
    'ShutdownNoticeInvalid',
    'UpstreamAdded',
    'UpstreamCrashed',
    'UpstreamLapsed',
    'UpstreamLeaving',
    'UpstreamRemoved',
    'UpstreamStale',
]


@base.define
class CopyNotFreed(base.Event):
    """An unneeded KV cache copy could not be released; it expires by itself.

    Attributes:
      upstream: Engine that made it.
      handle: Handle of the copy.
      reason: Error code.
    """

    upstream: str
    handle: str
    reason: str


@base.define
class MigrationStarted(base.Event):
    """An engine is leaving and its runs are moved.

    Attributes:
      upstream: The engine.
      runs: Number of runs in its report.
      own: Number of this gateway's streams there.
      unprotected: Own runs without a backup, which have to be moved.
      left_ms: Time until it is expected to be gone.
    """

    upstream: str
    runs: int
    own: int
    unprotected: int
    left_ms: float


@base.define
class RunOrdered(base.Event):
    """An engine was told to copy a run's KV cache to another engine.

    Attributes:
      request: Id of the request.
      source: Engine that runs it.
      target: Destination.
      last: Whether this is the final copy, before which the run stops.
      copied: Whether the copy is complete.
      unknown_run: Whether the engine has no such run.
      events: Number of events generated so far.
      last_event: Id of the last event that the caller has received.
      answer: Response code of the engine.
      took_ms: Time to the response.
    """

    request: str
    source: str
    target: str
    last: bool
    copied: bool
    unknown_run: bool
    events: int
    last_event: int | None
    answer: str
    took_ms: float


@base.define
class ReportFailed(base.Event):
    """The status of an engine could not be polled.

    Attributes:
      upstream: The engine.
      reason: Error code or exception.
    """

    upstream: str
    reason: str


@base.define
class RunBrokeOff(base.Event):
    """A stream whose run had a copy was interrupted; it may resume.

    Attributes:
      request: Id of the request.
      source: Engine that had the run.
      target: Engine that holds the copy, or was to hold it.
      stop: State of the run at its source after a stop command: `stopped`,
        `ended`, `unreached` or `at_work`.
      events: Number of events received from the source.
      made_ms: Time over which they were received.
      grounds: Why it resumes: from a `copy` that its source has named, or
        from its `backup`; empty if it does not.
      answer: The source's response to the stop command, or why there is none.
      source_version: Software version of the source; empty if unknown.
      target_version: That of the target.
    """

    request: str
    source: str
    target: str
    stop: str
    events: int
    made_ms: float
    grounds: str
    answer: str
    source_version: str = ''
    target_version: str = ''


@base.define
class UpstreamAdded(base.Event):
    """An upstream was added.

    Attributes:
      upstream: Id of the upstream.
      service: Its service.
      address: IP address and port.
      leaving: Whether it accepts no new work.
      version: Version of the membership.
      software_version: Version of its software; empty if unknown.
    """

    upstream: str
    service: str
    address: str
    leaving: bool
    version: str
    software_version: str = ''


@base.define
class UpstreamLeaving(base.Event):
    """An upstream accepts no new work from now on.

    Attributes:
      upstream: Id of the upstream.
      source: Origin of the information: `response`, `membership`, `removed`,
        `report` or a peer.
      version: Version of the membership.
    """

    upstream: str
    source: str
    version: str


@base.define
class UpstreamRemoved(base.Event):
    """An upstream was removed.

    Attributes:
      upstream: Id of the upstream.
      version: Version of the membership.
    """

    upstream: str
    version: str


@base.define
class UpstreamLapsed(base.Event):
    """An entry is missing just after an outage of its source; it may return.

    Attributes:
      upstream: Id of the upstream.
      version: Version of the membership.
    """

    upstream: str
    version: str


@base.define
class LapsedEngineAsked(base.Event):
    """An engine whose entry is missing was asked whether it is leaving.

    Attributes:
      upstream: Id of the upstream.
      answer: `leaving`, `serving`, or why there is no valid answer.
      leaving: Whether its report says that it is leaving.
      left_ms: Reported time left; None if it is not reported.
      asked_by_turn: Number of gateways whose turn was earlier.
    """

    upstream: str
    answer: str
    leaving: bool
    left_ms: float | None
    asked_by_turn: int


@base.define
class EntryInvalid(base.Event, level='error'):
    """An upstream's entry is invalid and ignored.

    Attributes:
      upstream: Id of the upstream.
      reason: What is wrong.
    """

    upstream: str
    reason: str


@base.define
class UpstreamStale(base.Event):
    """An entry has an old or no incarnation of its upstream and is ignored.

    Attributes:
      upstream: Id of the upstream.
      version: Version of the membership.
    """

    upstream: str
    version: str


@base.define
class CrashSuspected(base.Event):
    """A request was running at an upstream when it crashed.

    Attributes:
      upstream: The upstream.
      fingerprint: Identifies the request across repeats with other ids.
      label: Its route, client account and path.
      ran_ms: For how long it had been running.
      parts: Ids of the shared parts of its prompt; the first ones, if they are
        many.
    """

    upstream: str
    fingerprint: str
    label: str
    ran_ms: float
    parts: str = ''


@base.define
class UpstreamCrashed(base.Event):
    """An upstream has crashed while it ran requests of this gateway.

    Attributes:
      upstream: The upstream.
      evidence: `refused` if its address refuses connections, `replaced` if
        another process has taken over the address.
      requests: Number of requests of this gateway that were running.
    """

    upstream: str
    evidence: str
    requests: int


@base.define
class EngineSpeedKnown(base.Event):
    """The speed of an engine is known to this gateway for the first time.

    Attributes:
      upstream: The engine.
      event_ms: Time between two events of a run at a light load; 0 if unknown.
      prefill_per_s: Prompt tokens prefilled per second; 0 if unknown.
      slowness: Time between events relative to the median of its service.
      source: Gateway that measured it; empty for this one.
    """

    upstream: str
    event_ms: float
    prefill_per_s: int
    slowness: float
    source: str


@base.define
class ServerLimit(base.Event):
    """An upstream limits what all gateways together may send to it.

    Attributes:
      upstream: The upstream.
      per_s: Requests a second; None if the limit was lifted.
      source: Gateway that received it from the upstream; empty for this one.
    """

    upstream: str
    per_s: float | None
    source: str


@base.define
class ServerLimitInvalid(base.Event):
    """An upstream named a limit that is no number, negative or too large.

    Attributes:
      upstream: The upstream.
      value: What it named.
      advice: What it should name.
    """

    upstream: str
    value: str
    advice: str


@base.define
class ShutdownNoticeInvalid(base.Event):
    """An upstream did not clearly say whether it leaves.

    Attributes:
      upstream: The upstream.
      value: Value of the header.
      advice: What it should send.
    """

    upstream: str
    value: str
    advice: str


@base.define
class ServerBackoff(base.Event):
    """An upstream has rejected a request and asked this gateway for a pause.

    Attributes:
      upstream: The upstream.
      for_s: Time that it named.
      resumes_in_s: Time until this gateway sends to it again.
    """

    upstream: str
    for_s: float
    resumes_in_s: float


@base.define
class ServerBackoffEnded(base.Event):
    """This gateway sends to an upstream again after a pause.

    Attributes:
      upstream: The upstream.
      paused_s: How long the pause was.
    """

    upstream: str
    paused_s: float


@base.define
class RetryAfterInvalid(base.Event):
    """An upstream asked for a pause without a valid time.

    Attributes:
      upstream: The upstream.
      value: Value of the header.
      advice: What it should send.
    """

    upstream: str
    value: str
    advice: str
