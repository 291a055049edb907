"""Every event that a router writes to its log, with its fields."""

from __future__ import annotations

from typing import Any

from quetzalsill.telemetry import event

__all__ = [
    'AttemptEnded',
    'ConfigurationNotLoaded',
    'ConfigurationNotPulled',
    'ConnectionsCut',
    'ForwardFailed',
    'GoingAway',
    'HostListDown',
    'HttpFault',
    'Leaving',
    'LinkEnded',
    'Linked',
    'PeerTaskFailed',
    'PeerUnreachable',
    'PolicyUnknown',
    'RequestEnded',
    'RequestFault',
    'RequestRefused',
    'RequestTakenOver',
    'RequestUnfinished',
    'RouterReady',
    'RouterStopped',
    'RouterStopping',
    'SeedUnreachable',
    'SettleDelayed',
    'SettleSuperseded',
    'note',
]

note = event.note


@event.define
class AttemptEnded(event.Event):
    """An attempt did not bring the whole answer.

    Attributes:
      request: Id of the request.
      upstream: Name of the upstream.
      code: Code of the failure; `ok` or empty if none.
      detail: What happened, in words.
      ran: Whether it has run: `yes`, `no` or `unknown`.
      gone: Whether the sidecar that had it is gone.
      moved: Whether it goes on at another upstream.
      delivered: What of the answer the caller has.
    """

    request: str
    upstream: str
    code: str
    detail: str
    ran: str
    gone: bool
    moved: bool
    delivered: Any


@event.define
class ConfigurationNotLoaded(event.Event, level='warning'):
    """The first configuration cannot be read yet.

    Attributes:
      detail: What happened, in words.
    """

    detail: str


@event.define
class ConfigurationNotPulled(event.Event):
    """A sidecar that has a newer configuration did not give it.

    Attributes:
      upstream: Name of the upstream.
      detail: What happened, in words.
    """

    upstream: str
    detail: str


@event.define
class ConnectionsCut(event.Event, level='warning'):
    """Connections were still open at the end of the grace period.

    Attributes:
      count: How many.
    """

    count: int


@event.define
class ForwardFailed(event.Event):
    """Another router gave no answer to a call handed on to it.

    Attributes:
      router: Node of the router.
      detail: What happened, in words.
    """

    router: str
    detail: str


@event.define
class GoingAway(event.Event):
    """A sidecar takes no more work.

    Attributes:
      upstream: Name of the upstream.
      reason: What was given as the reason.
    """

    upstream: str
    reason: str


@event.define
class HostListDown(event.Event, level='warning'):
    """The host list cannot be read; what it said last goes on.

    Attributes:
      detail: What happened, in words.
    """

    detail: str


@event.define
class HttpFault(event.Event, level='error'):
    """A handler failed in a way that nobody foresaw."""


@event.define
class Leaving(event.Event):
    """A sidecar says that its upstream leaves.

    Attributes:
      upstream: Name of the upstream.
      reason: What was given as the reason.
    """

    upstream: str
    reason: str


@event.define
class LinkEnded(event.Event):
    """The link to a sidecar ended.

    Attributes:
      upstream: Name of the upstream.
      code: Code of the failure; `ok` or empty if none.
      detail: What happened, in words.
      outstanding: Attempts under way there.
    """

    upstream: str
    code: str
    detail: str
    outstanding: int


@event.define
class Linked(event.Event):
    """A sidecar is linked.

    Attributes:
      upstream: Name of the upstream.
      incarnation: Number of this start of the process.
      same: Whether it is the process that was known.
      outstanding: Attempts under way there.
    """

    upstream: str
    incarnation: int
    same: bool
    outstanding: int


@event.define
class PeerTaskFailed(event.Event, level='error'):
    """What keeps up a link failed in a way that nobody foresaw.

    Attributes:
      upstream: Name of the upstream.
    """

    upstream: str


@event.define
class PeerUnreachable(event.Event, level='warning'):
    """A sidecar cannot be linked; said once until it can.

    Attributes:
      upstream: Name of the upstream.
      address: Where it was dialled.
      code: Code of the failure; `ok` or empty if none.
      detail: What happened, in words.
    """

    upstream: str
    address: str
    code: str
    detail: str


@event.define
class PolicyUnknown(event.Event, level='error'):
    """The configuration names a policy that is not known here.

    Attributes:
      detail: What happened, in words.
    """

    detail: str


@event.define
class RequestEnded(event.Event):
    """A request has its outcome.

    Attributes:
      request: Id of the request.
      account: Client account.
      profile: Profile that was promised.
      target: Model or service asked for.
      code: Code of the failure; `ok` or empty if none.
      ran: Whether it has run: `yes`, `no` or `unknown`.
      attempts: Attempts made.
      delivered: What of the answer the caller has.
      seconds: How long it took so far.
    """

    request: str
    account: str
    profile: str
    target: str
    code: str
    ran: str
    attempts: int
    delivered: Any
    seconds: float


@event.define
class RequestFault(event.Event, level='error'):
    """A request failed in a way that nobody foresaw.

    Attributes:
      request: Id of the request.
    """

    request: str


@event.define
class RequestRefused(event.Event):
    """A request was answered with a failure.

    Attributes:
      request: Id of the request.
      method: Method in capitals.
      path: Path that was asked for.
      code: Code of the failure; `ok` or empty if none.
      status: Status that the caller got.
      detail: What happened, in words.
    """

    request: str
    method: str
    path: str
    code: str
    status: int
    detail: str


@event.define
class RequestTakenOver(event.Event):
    """A request of a router that is gone goes on here.

    Attributes:
      request: Id of the request.
      durable: Whether it is kept until it has its outcome.
      had_run: Whether a run of it was known.
    """

    request: str
    durable: bool
    had_run: bool


@event.define
class RequestUnfinished(event.Event, level='warning'):
    """A request still runs at the end of the grace period.

    Attributes:
      request: Id of the request.
      account: Client account.
      target: Model or service asked for.
      upstream: Name of the upstream.
      durable: Whether it is kept until it has its outcome.
      seconds: How long it took so far.
    """

    request: str
    account: str
    target: str
    upstream: str
    durable: bool
    seconds: float


@event.define
class RouterReady(event.Event):
    """The router listens.

    Attributes:
      port: Port listened at.
      incarnation: Number of this start of the process.
    """

    port: int
    incarnation: int


@event.define
class RouterStopped(event.Event):
    """The router has ended gracefully."""


@event.define
class RouterStopping(event.Event):
    """The router takes no new work.

    Attributes:
      running: Requests under way.
    """

    running: int


@event.define
class SeedUnreachable(event.Event):
    """A sidecar that should give the first configuration did not.

    Attributes:
      seed: Address asked.
      detail: What happened, in words.
    """

    seed: str
    detail: str


@event.define
class SettleDelayed(event.Event, level='warning'):
    """An outcome could not be written in time; it is written later.

    Attributes:
      request: Id of the request.
    """

    request: str


@event.define
class SettleSuperseded(event.Event, level='warning'):
    """Another router has settled the request.

    Attributes:
      request: Id of the request.
    """

    request: str
