"""Messages between router and sidecar.

Each class is one message; its fields travel in order of declaration as a
msgpack array `[type number, field, ...]`. `codec` packs and checks them.
An attempt is one try of one router to have a request served; its id is
`NODE/INCARNATION/COUNTER`, so that it is unique over restarts.
"""

from __future__ import annotations

import dataclasses

__all__ = [
  'BY_NUMBER', 'Ack', 'Body', 'Cancel', 'Chunk', 'ConfigFetch', 'ConfigReply',
  'Credit', 'Dispatch', 'Failed', 'Finished', 'GoAway', 'Head', 'Hello',
  'Leaving', 'Load', 'Message', 'Ping', 'Pong', 'Reject', 'Refused', 'Resume',
  'Running', 'Started', 'VERSION', 'Welcome', 'Withdraw', 'Withdrawn',
]  # fmt: skip

VERSION = 1


@dataclasses.dataclass(slots=True)
class Message:
    """Base of all messages."""


@dataclasses.dataclass(slots=True)
class Hello(Message):
    """First frame of the dialling side (the router)."""

    version: int
    node: str
    incarnation: int
    credential: str
    availability_zone: str
    revision: int


@dataclasses.dataclass(slots=True)
class Welcome(Message):
    """Answer to Hello by the sidecar."""

    version: int
    node: str
    incarnation: int
    upstream: str
    availability_zone: str
    revision: int
    leaving: bool


@dataclasses.dataclass(slots=True)
class Reject(Message):
    """A link is closed for the named reason; goes to that link only."""

    code: str
    detail: str


@dataclasses.dataclass(slots=True)
class Dispatch(Message):
    """Asks the sidecar to run an attempt.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request, the same over its attempts.
      incarnation: Incarnation of the sidecar that the router believes in;
        another one refuses (not run).
      revision: Configuration under which the router decided.
      fence: Ownership epoch of a durable request; a lower one than seen
        for this request is refused.
      account: Client account.
      profile: Profile name.
      model: Model or service name.
      kind: One of those in `wire.kind`.
      method: HTTP method of a call; `POST` otherwise.
      path: Path of a call below its service; empty otherwise.
      headers: Header pairs of a call, in order.
      payload: JSON body of a generation, or first bytes of a call's body.
      body_open: More Body messages follow (calls only).
      idempotent: The work may be run again by the sidecar or router.
      remaining_ms: Time left to the deadline.
      queue_ms: Longest time in the sidecar's queue.
      prompt_tokens: Estimated tokens of the prompt.
      max_tokens: Bound on generated tokens.
      prefix: Digest of the prompt prefix for cache affinity.
      recover: Only attach to work of this request that the engine already
        has; if the engine has none, answer Refused (not run), or Failed
        with `ran` unknown if its incarnation is not `engine`.
      credit: Items that the sidecar may send before a Credit.
      trace: W3C traceparent.
      engine: Incarnation of the engine that the sidecar last reported; 0
        if unknown. An engine that restarted since can't prove that the
        work did not run.
    """

    attempt: str
    request: str
    incarnation: int
    revision: int
    fence: int
    account: str
    profile: str
    model: str
    kind: str
    method: str
    path: str
    headers: list[list[str]]
    payload: bytes
    body_open: bool
    idempotent: bool
    remaining_ms: int
    queue_ms: int
    prompt_tokens: int
    max_tokens: int
    prefix: str
    recover: bool
    credit: int
    trace: str
    engine: int = 0


@dataclasses.dataclass(slots=True)
class Body(Message):
    """A further piece of a call's request body."""

    attempt: str
    data: bytes
    last: bool


@dataclasses.dataclass(slots=True)
class Refused(Message):
    """The attempt did not run and never will (a tombstone is kept)."""

    attempt: str
    code: str
    detail: str
    retry_after_ms: int


@dataclasses.dataclass(slots=True)
class Started(Message):
    """The attempt was handed to the upstream; it counts as run."""

    attempt: str
    waited_ms: int


@dataclasses.dataclass(slots=True)
class Head(Message):
    """Status line and headers of a call's answer."""

    attempt: str
    status: int
    headers: list[list[str]]


@dataclasses.dataclass(slots=True)
class Chunk(Message):
    """Pieces of an answer, in order.

    Attributes:
      attempt: Id of the attempt.
      seq: Number of the first item; the next chunk starts at seq + len.
      items: For a generation the JSON payloads of the engine's events, one
        token each; for a call the pieces of the body.
    """

    attempt: str
    seq: int
    items: list[bytes]


@dataclasses.dataclass(slots=True)
class Credit(Message):
    """Permits further items and acknowledges all below `seq`."""

    attempt: str
    seq: int
    items: int


@dataclasses.dataclass(slots=True)
class Ack(Message):
    """Acknowledges a terminal message; the sidecar may forget the tail."""

    attempt: str


@dataclasses.dataclass(slots=True)
class Finished(Message):
    """The attempt ended whole with `seq` items in all."""

    attempt: str
    seq: int


@dataclasses.dataclass(slots=True)
class Failed(Message):
    """The attempt ended in failure.

    Attributes:
      attempt: Id of the attempt.
      code: Code of a `error.request` class.
      detail: Text for the reader.
      ran: `no`, `yes` or `unknown`.
      gone: The generation is proved lost, so that an idempotent request
        with nothing delivered may be dispatched again.
    """

    attempt: str
    code: str
    detail: str
    ran: str
    gone: bool


@dataclasses.dataclass(slots=True)
class Withdraw(Message):
    """Asks that a queued attempt never start."""

    attempt: str


@dataclasses.dataclass(slots=True)
class Withdrawn(Message):
    """Not run and never will be; also sent for an attempt never seen."""

    attempt: str


@dataclasses.dataclass(slots=True)
class Running(Message):
    """Too late to withdraw: the attempt has started."""

    attempt: str


@dataclasses.dataclass(slots=True)
class Cancel(Message):
    """The answer is no longer wanted; stops the work on the upstream."""

    attempt: str


@dataclasses.dataclass(slots=True)
class Resume(Message):
    """Takes up an attempt on a new link, with items from `seq` on."""

    attempt: str
    seq: int
    credit: int


@dataclasses.dataclass(slots=True)
class Load(Message):
    """What the sidecar knows of its upstream.

    Attributes:
      queued: Attempts waiting in the sidecar.
      running: Attempts on the upstream.
      used_tokens: Key-value memory in use.
      capacity_tokens: Key-value memory in all; 0 if unknown.
      expected_wait_ms: Wait that a new prompt attempt would see.
      token_ms: Recent mean time between tokens.
      models: Models loaded now.
      leaving: Takes no new work.
      healthy: The upstream answers.
      revision: Configuration in force at the sidecar.
      engine: Incarnation of the engine; 0 if unknown.
    """

    queued: int
    running: int
    used_tokens: int
    capacity_tokens: int
    expected_wait_ms: int
    token_ms: float
    models: list[str]
    leaving: bool
    healthy: bool
    revision: int
    engine: int = 0


@dataclasses.dataclass(slots=True)
class Leaving(Message):
    """The upstream is leaving; nothing new is taken from now on."""

    upstream: str
    reason: str


@dataclasses.dataclass(slots=True)
class Ping(Message):
    """Sent on an idle link; carries the sender's revision."""

    nonce: int
    revision: int


@dataclasses.dataclass(slots=True)
class Pong(Message):
    """Answer to Ping."""

    nonce: int
    revision: int


@dataclasses.dataclass(slots=True)
class ConfigFetch(Message):
    """Asks for the configuration if newer than `revision`."""

    revision: int


@dataclasses.dataclass(slots=True)
class ConfigReply(Message):
    """A whole configuration document (JSON) at `revision`."""

    revision: int
    document: bytes


@dataclasses.dataclass(slots=True)
class GoAway(Message):
    """The sender is stopping; its attempts go on to their end."""

    reason: str


BY_NUMBER: dict[int, type[Message]] = {
  1: Hello, 2: Welcome, 3: Reject, 4: Dispatch, 5: Body, 6: Refused,
  7: Started, 8: Head, 9: Chunk, 10: Credit, 11: Ack, 12: Finished,
  13: Failed, 14: Withdraw, 15: Withdrawn, 16: Running, 17: Cancel,
  18: Resume, 19: Load, 20: Leaving, 21: Ping, 22: Pong, 23: ConfigFetch,
  24: ConfigReply, 25: GoAway,
}  # fmt: skip
