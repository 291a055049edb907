"""All log events of a sidecar and their fields."""

from __future__ import annotations

from quetzalsill.telemetry import event

__all__ = [
    'AttemptCrashed',
    'AttemptFailed',
    'AttemptFinished',
    'AttemptRefused',
    'AttemptStarted',
    'AttemptUnfinished',
    'AttemptWithdrawn',
    'BackgroundTaskFailed',
    'ConfigurationInvalid',
    'ConfigurationNotHad',
    'EngineCancelGivenUp',
    'EngineCancelled',
    'EngineHealthChanged',
    'Leaving',
    'MessageUnexpected',
    'OrderEnded',
    'PlacementState',
    'RouterLeaving',
    'RouterLinked',
    'RouterUnlinked',
    'SidecarReady',
    'note',
]

note = event.note


@event.define
class AttemptCrashed(event.Event, level='error'):
    """An attempt failed with an unexpected exception.

    Attributes:
      attempt: Id of the attempt.
    """

    attempt: str


@event.define
class AttemptFailed(event.Event):
    """An attempt failed.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request.
      account: Client account.
      profile: Profile of the request.
      items: Number of answer items so far.
      code: Error code; `ok` or empty if none.
      detail: Human-readable description.
    """

    attempt: str
    request: str
    account: str
    profile: str
    items: int
    code: str
    detail: str


@event.define
class AttemptFinished(event.Event):
    """An attempt delivered its complete answer.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request.
      account: Client account.
      profile: Profile of the request.
      items: Number of answer items so far.
      code: Error code; `ok` or empty if none.
      detail: Human-readable description.
    """

    attempt: str
    request: str
    account: str
    profile: str
    items: int
    code: str
    detail: str


@event.define
class AttemptRefused(event.Event):
    """An attempt was refused before it ran.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request.
      account: Client account.
      profile: Profile of the request.
      items: Number of answer items so far.
      code: Error code; `ok` or empty if none.
      detail: Human-readable description.
    """

    attempt: str
    request: str
    account: str
    profile: str
    items: int
    code: str
    detail: str


@event.define
class AttemptStarted(event.Event):
    """An attempt was sent to the upstream.

    Attributes:
      attempt: Id of the attempt.
    """

    attempt: str


@event.define
class AttemptUnfinished(event.Event, level='warning'):
    """An attempt was still running at the end of the grace period.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request.
      items: Number of answer items so far.
    """

    attempt: str
    request: str
    items: int


@event.define
class AttemptWithdrawn(event.Event):
    """An attempt was withdrawn before it ran.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request.
      account: Client account.
      profile: Profile of the request.
      items: Number of answer items so far.
      code: Error code; `ok` or empty if none.
      detail: Human-readable description.
    """

    attempt: str
    request: str
    account: str
    profile: str
    items: int
    code: str
    detail: str


@event.define
class BackgroundTaskFailed(event.Event, level='error'):
    """A background task failed with an unexpected exception."""


@event.define
class ConfigurationInvalid(event.Event, level='error'):
    """A configuration is invalid; the previous one stays active.

    Attributes:
      router: Node name of the router.
      revision: Revision of the configuration.
      detail: Human-readable description.
    """

    router: str
    revision: int
    detail: str


@event.define
class ConfigurationNotHad(event.Event, level='warning'):
    """The configuration that an attempt needs did not arrive in time.

    Attributes:
      revision: Revision of the configuration.
    """

    revision: int


@event.define
class EngineCancelGivenUp(event.Event, level='warning'):
    """Cancelling an attempt on the engine failed and was given up.

    Attributes:
      attempt: Id of the attempt.
    """

    attempt: str


@event.define
class EngineCancelled(event.Event):
    """An attempt was cancelled on the engine.

    Attributes:
      attempt: Id of the attempt.
      state: State that the engine reported.
    """

    attempt: str
    state: str


@event.define
class EngineHealthChanged(event.Event, level='warning'):
    """The upstream started or stopped responding.

    Attributes:
      healthy: Whether it responds.
      detail: Human-readable description.
    """

    healthy: bool
    detail: str


@event.define
class Leaving(event.Event):
    """The upstream is leaving; new work is refused.

    Attributes:
      upstream: Name of the upstream.
      reason: Reason that was given.
    """

    upstream: str
    reason: str


@event.define
class MessageUnexpected(event.Event, level='warning'):
    """A router sent a message of an unexpected kind.

    Attributes:
      router: Node name of the router.
      kind: Class name of the message.
    """

    router: str
    kind: str


@event.define
class OrderEnded(event.Event):
    """An order to the engine has ended.

    Attributes:
      kind: Kind of the order.
      name: Name of the model, adapter or role.
      fence: Revision that the order belongs to.
      outcome: How the order ended.
    """

    kind: str
    name: str
    fence: int
    outcome: str


@event.define
class PlacementState(event.Event):
    """Placement of models started to fail, or recovered.

    Attributes:
      failing: Error code; empty after recovery.
      detail: Human-readable description.
    """

    failing: str
    detail: str


@event.define
class RouterLeaving(event.Event):
    """A router announced that it is shutting down.

    Attributes:
      router: Node name of the router.
      reason: Reason that was given.
    """

    router: str
    reason: str


@event.define
class RouterLinked(event.Event):
    """A router established its link.

    Attributes:
      router: Node name of the router.
    """

    router: str


@event.define
class RouterUnlinked(event.Event):
    """The link of a router closed.

    Attributes:
      router: Node name of the router.
    """

    router: str


@event.define
class SidecarReady(event.Event):
    """The sidecar is ready and listening.

    Attributes:
      port: Port that it listens on.
      incarnation: Number of this start of the process.
      upstream: Name of the upstream.
    """

    port: int
    incarnation: int
    upstream: str
