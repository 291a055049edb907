"""Log events of the router and their fields."""

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
    """An attempt ended without a complete answer.

    Attributes:
      request: Id of the request.
      upstream: Name of the upstream.
      code: Code of the failure; `ok` or empty if none.
      detail: Description of what happened.
      ran: Whether it ran: `yes`, `no` or `unknown`.
      gone: Whether the sidecar that held it is gone.
      moved: Whether it continues at another upstream.
      delivered: How much of the answer the caller received.
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
    """The initial configuration cannot be read yet.

    Attributes:
      detail: Description of what happened.
    """

    detail: str


@event.define
class ConfigurationNotPulled(event.Event):
    """Fetching a newer configuration from a sidecar failed.

    Attributes:
      upstream: Name of the upstream.
      detail: Description of what happened.
    """

    upstream: str
    detail: str


@event.define
class ConnectionsCut(event.Event, level='warning'):
    """Connections were still open at the end of the grace period.

    Attributes:
      count: Number of connections.
    """

    count: int


@event.define
class ForwardFailed(event.Event):
    """Another router did not answer a forwarded call.

    Attributes:
      router: Node name of the router.
      detail: Description of what happened.
    """

    router: str
    detail: str


@event.define
class GoingAway(event.Event):
    """A sidecar accepts no more work.

    Attributes:
      upstream: Name of the upstream.
      reason: Reason given by the sidecar.
    """

    upstream: str
    reason: str


@event.define
class HostListDown(event.Event, level='warning'):
    """The host list cannot be read; its last state is kept.

    Attributes:
      detail: Description of what happened.
    """

    detail: str


@event.define
class HttpFault(event.Event, level='error'):
    """An HTTP handler failed with an unexpected exception."""


@event.define
class Leaving(event.Event):
    """A sidecar announced that its upstream is leaving.

    Attributes:
      upstream: Name of the upstream.
      reason: Reason given by the sidecar.
    """

    upstream: str
    reason: str


@event.define
class LinkEnded(event.Event):
    """The link to a sidecar ended.

    Attributes:
      upstream: Name of the upstream.
      code: Code of the failure; `ok` or empty if none.
      detail: Description of what happened.
      outstanding: Number of attempts in flight there.
    """

    upstream: str
    code: str
    detail: str
    outstanding: int


@event.define
class Linked(event.Event):
    """A link to a sidecar was established.

    Attributes:
      upstream: Name of the upstream.
      incarnation: Incarnation number of the process.
      same: Whether it is the same process as before.
      outstanding: Number of attempts in flight there.
    """

    upstream: str
    incarnation: int
    same: bool
    outstanding: int


@event.define
class PeerTaskFailed(event.Event, level='error'):
    """The task that maintains a link failed unexpectedly.

    Attributes:
      upstream: Name of the upstream.
    """

    upstream: str


@event.define
class PeerUnreachable(event.Event, level='warning'):
    """A link cannot be established; logged once until it can.

    Attributes:
      upstream: Name of the upstream.
      address: Address that was dialed.
      code: Code of the failure; `ok` or empty if none.
      detail: Description of what happened.
    """

    upstream: str
    address: str
    code: str
    detail: str


@event.define
class PolicyUnknown(event.Event, level='error'):
    """The configuration names a policy unknown to this router.

    Attributes:
      detail: Description of what happened.
    """

    detail: str


@event.define
class RequestEnded(event.Event):
    """A request ended with an outcome.

    Attributes:
      request: Id of the request.
      account: Client account.
      profile: Name of the profile.
      target: Name of the requested model or service.
      code: Code of the failure; `ok` or empty if none.
      ran: Whether it ran: `yes`, `no` or `unknown`.
      attempts: Number of attempts made.
      delivered: How much of the answer the caller received.
      seconds: Time since acceptance.
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
    """A request failed with an unexpected exception.

    Attributes:
      request: Id of the request.
    """

    request: str


@event.define
class RequestRefused(event.Event):
    """A request was answered with an error.

    Attributes:
      request: Id of the request.
      method: HTTP method in upper case.
      path: Path of the request.
      code: Code of the failure; `ok` or empty if none.
      status: HTTP status sent to the caller.
      detail: Description of what happened.
    """

    request: str
    method: str
    path: str
    code: str
    status: int
    detail: str


@event.define
class RequestTakenOver(event.Event):
    """A request of a router that is gone continues here.

    Attributes:
      request: Id of the request.
      durable: Whether it is stored until it is settled.
      had_run: Whether a run of it is known.
    """

    request: str
    durable: bool
    had_run: bool


@event.define
class RequestUnfinished(event.Event, level='warning'):
    """A request is still running at the end of the grace period.

    Attributes:
      request: Id of the request.
      account: Client account.
      target: Name of the requested model or service.
      upstream: Name of the upstream.
      durable: Whether it is stored until it is settled.
      seconds: Time since acceptance.
    """

    request: str
    account: str
    target: str
    upstream: str
    durable: bool
    seconds: float


@event.define
class RouterReady(event.Event):
    """The router is listening.

    Attributes:
      port: Port it listens on.
      incarnation: Incarnation number of the process.
    """

    port: int
    incarnation: int


@event.define
class RouterStopped(event.Event):
    """The router stopped gracefully."""


@event.define
class RouterStopping(event.Event):
    """The router is draining and will refuse new work.

    Attributes:
      running: Number of requests in flight.
    """

    running: int


@event.define
class SeedUnreachable(event.Event):
    """A seed did not return the initial configuration.

    Attributes:
      seed: Address of the sidecar.
      detail: Description of what happened.
    """

    seed: str
    detail: str


@event.define
class SettleDelayed(event.Event, level='warning'):
    """An outcome could not be written in time; it will be written later.

    Attributes:
      request: Id of the request.
    """

    request: str


@event.define
class SettleSuperseded(event.Event, level='warning'):
    """The request was already settled by another router.

    Attributes:
      request: Id of the request.
    """

    request: str
