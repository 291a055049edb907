"""Every event that a sidecar writes to its log, with its fields."""

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
    """An attempt failed in a way that nobody foresaw.

    Attributes:
      attempt: Id of the attempt.
    """

    attempt: str


@event.define
class AttemptFailed(event.Event):
    """An attempt has failed.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request.
      account: Client account.
      profile: Profile that was promised.
      items: Items of the answer so far.
      code: Code of the failure; `ok` or empty if none.
      detail: What happened, in words.
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
    """An attempt has given its whole answer.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request.
      account: Client account.
      profile: Profile that was promised.
      items: Items of the answer so far.
      code: Code of the failure; `ok` or empty if none.
      detail: What happened, in words.
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
    """An attempt was refused and has not run.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request.
      account: Client account.
      profile: Profile that was promised.
      items: Items of the answer so far.
      code: Code of the failure; `ok` or empty if none.
      detail: What happened, in words.
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
    """An attempt still runs at the end of the grace period.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request.
      items: Items of the answer so far.
    """

    attempt: str
    request: str
    items: int


@event.define
class AttemptWithdrawn(event.Event):
    """An attempt was taken back before it ran.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request.
      account: Client account.
      profile: Profile that was promised.
      items: Items of the answer so far.
      code: Code of the failure; `ok` or empty if none.
      detail: What happened, in words.
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
    """A background task failed in a way that nobody foresaw."""


@event.define
class ConfigurationInvalid(event.Event, level='error'):
    """A configuration cannot be held; the one before stays in force.

    Attributes:
      router: Node of the router.
      revision: Revision of the configuration.
      detail: What happened, in words.
    """

    router: str
    revision: int
    detail: str


@event.define
class ConfigurationNotHad(event.Event, level='warning'):
    """The configuration that an attempt was judged by did not come in time.

    Attributes:
      revision: Revision of the configuration.
    """

    revision: int


@event.define
class EngineCancelGivenUp(event.Event, level='warning'):
    """The engine could not be told to cancel.

    Attributes:
      attempt: Id of the attempt.
    """

    attempt: str


@event.define
class EngineCancelled(event.Event):
    """The engine was told to cancel.

    Attributes:
      attempt: Id of the attempt.
      state: State that the engine told.
    """

    attempt: str
    state: str


@event.define
class EngineHealthChanged(event.Event, level='warning'):
    """The upstream began or ceased to answer.

    Attributes:
      healthy: Whether it answers.
      detail: What happened, in words.
    """

    healthy: bool
    detail: str


@event.define
class Leaving(event.Event):
    """The upstream leaves; nothing new is taken.

    Attributes:
      upstream: Name of the upstream.
      reason: What was given as the reason.
    """

    upstream: str
    reason: str


@event.define
class MessageUnexpected(event.Event, level='warning'):
    """A router sent a message that it should not.

    Attributes:
      router: Node of the router.
      kind: Kind of it.
    """

    router: str
    kind: str


@event.define
class OrderEnded(event.Event):
    """An order to the engine has ended.

    Attributes:
      kind: Kind of it.
      name: Name of it.
      fence: Revision that the order belongs to.
      outcome: How it ended.
    """

    kind: str
    name: str
    fence: int
    outcome: str


@event.define
class PlacementState(event.Event):
    """Placement of models began to fail, or works again.

    Attributes:
      failing: Code of the failure; empty once it works.
      detail: What happened, in words.
    """

    failing: str
    detail: str


@event.define
class RouterLeaving(event.Event):
    """A router says that it ends.

    Attributes:
      router: Node of the router.
      reason: What was given as the reason.
    """

    router: str
    reason: str


@event.define
class RouterLinked(event.Event):
    """A router is linked.

    Attributes:
      router: Node of the router.
    """

    router: str


@event.define
class RouterUnlinked(event.Event):
    """The link of a router ended.

    Attributes:
      router: Node of the router.
    """

    router: str


@event.define
class SidecarReady(event.Event):
    """The sidecar listens.

    Attributes:
      port: Port listened at.
      incarnation: Number of this start of the process.
      upstream: Name of the upstream.
    """

    port: int
    incarnation: int
    upstream: str
