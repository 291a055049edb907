"""Events of upstreams and of the runs on them."""

from __future__ import annotations

from quetzalsill.telemetry import event as base

__all__ = [
    'EntryInvalid',
    'CopyNotFreed',
    'MigrationStarted',
    'ReportFailed',
    'RunBrokeOff',
    'RunOrdered',
    'UpstreamAdded',
    'UpstreamLapsed',
    'UpstreamLeaving',
    'UpstreamRemoved',
    'UpstreamStale',
]


@base.define
class CopyNotFreed(base.Event):
    """A copy that is not needed could not be freed; it ends by itself.

    Attributes:
      upstream: Engine that it was made at.
      handle: Its name.
      reason: Code of the failure.
    """

    upstream: str
    handle: str
    reason: str


@base.define
class MigrationStarted(base.Event):
    """An engine leaves and its runs are moved.

    Attributes:
      upstream: The engine.
      runs: What it works on, by its own report.
      own: Streams of this gateway there.
      unprotected: Own runs without a backup, which have to be moved.
      left_ms: Time until it is expected to go.
    """

    upstream: str
    runs: int
    own: int
    unprotected: int
    left_ms: float


@base.define
class RunOrdered(base.Event):
    """An engine was told to copy a run to another one.

    Attributes:
      request: Id of the request.
      source: Engine that runs it.
      target: Destination.
      last: Whether the run was to stop first.
      copied: Whether the copy is complete.
      unknown_run: The engine has no such run.
      events: Events made so far.
      last_event: Number of the last event that the caller has.
      answer: What the engine answered.
      took_ms: Time to the answer.
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
    """An engine did not say how it does.

    Attributes:
      upstream: The engine.
      reason: Code of the failure.
    """

    upstream: str
    reason: str


@base.define
class RunBrokeOff(base.Event):
    """A stream broke off whose run had a copy; says if it goes on.

    Attributes:
      request: Id of the request.
      source: Engine that had the run.
      target: Engine that keeps the copy, or was to keep it.
      stop: What is known of the run at its source after an order to stop it:
        `stopped`, `ended`, `unreached` or `at_work`.
      events: Events that came of it from there.
      made_ms: For how long they came.
      grounds: Why it goes on: from a `copy` that its source has named, or
        from its `backup`; empty if it does not.
      answer: What the source answered to the order, or why it did not.
    """

    request: str
    source: str
    target: str
    stop: str
    events: int
    made_ms: float
    grounds: str
    answer: str


@base.define
class UpstreamAdded(base.Event):
    """An upstream is known from now on.

    Attributes:
      upstream: Its id.
      service: Service that it answers for.
      address: IP number and port.
      leaving: Whether it takes no new work.
      version: Version of the membership.
    """

    upstream: str
    service: str
    address: str
    leaving: bool
    version: str


@base.define
class UpstreamLeaving(base.Event):
    """An upstream takes no new work from now on.

    Attributes:
      upstream: Its id.
      source: Who said so: `membership`, `removed`, `report` or a peer.
      version: Version of the membership.
    """

    upstream: str
    source: str
    version: str


@base.define
class UpstreamRemoved(base.Event):
    """An upstream is not known any more.

    Attributes:
      upstream: Its id.
      version: Version of the membership.
    """

    upstream: str
    version: str


@base.define
class UpstreamLapsed(base.Event):
    """An entry is gone, just after an outage of its source; it may be back.

    Attributes:
      upstream: Its id.
      version: Version of the membership.
    """

    upstream: str
    version: str


@base.define
class EntryInvalid(base.Event, level='error'):
    """An upstream's entry makes no sense and is left out.

    Attributes:
      upstream: Its id.
      reason: What is wrong.
    """

    upstream: str
    reason: str


@base.define
class UpstreamStale(base.Event):
    """An entry is of an earlier start of an upstream, or of none; left out.

    Attributes:
      upstream: Its id.
      version: Version of the membership.
    """

    upstream: str
    version: str
