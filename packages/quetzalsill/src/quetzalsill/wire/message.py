"""Messages between router and sidecar.

Each class is one message type; its fields are encoded in order of declaration
as a msgpack array `[type number, field, ...]`. `codec` encodes and checks them.
An attempt is one try of one router to have a request served; its id is
`NODE/INCARNATION/COUNTER`, so that it is unique across restarts.
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
    """The sidecar's response to Hello."""

    version: int
    node: str
    incarnation: int
    upstream: str
    availability_zone: str
    revision: int
    leaving: bool


@dataclasses.dataclass(slots=True)
class Reject(Message):
    """Closes the link on which it is sent, for the given reason."""

    code: str
    detail: str


@dataclasses.dataclass(slots=True)
class Dispatch(Message):
    """Asks the sidecar to run an attempt.

    Attributes:
      attempt: Id of the attempt.
      request: Id of the request, the same over its attempts.
      incarnation: Incarnation of the sidecar that the router expects;
        another one refuses (not run).
      revision: Configuration revision on which the router's decision is based.
      fence: Ownership epoch of a durable request; an epoch lower than one
        already seen for this request is refused.
      account: Client account.
      profile: Profile name.
      model: Model or service name.
      kind: A constant of `wire.kind`.
      method: HTTP method of a call; `POST` otherwise.
      path: Path of a call below its service; empty otherwise.
      headers: Headers of a call, in order, as name-value pairs.
      payload: JSON body of a generation, or the first bytes of a call's body.
      body_open: More Body messages follow (calls only).
      idempotent: The sidecar or router may run the work again.
      remaining_ms: Time left until the deadline.
      queue_ms: Longest time in the sidecar's queue.
      prompt_tokens: Estimated tokens of the prompt.
      max_tokens: Maximum number of generated tokens.
      prefix: Digest of the prompt prefix for cache affinity.
      recover: Only attach to work of this request that the engine already
        has; if it has none, respond with Refused (not run), or with Failed
        with `ran` unknown if its incarnation is not `engine`.
      credit: Number of items that the sidecar may send before a Credit.
      trace: W3C traceparent.
      engine: Incarnation of the engine that the sidecar last reported; 0
        if unknown. An engine that has restarted since can't prove that the
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
    """A further chunk of a call's request body."""

    attempt: str
    data: bytes
    last: bool


@dataclasses.dataclass(slots=True)
class Refused(Message):
    """The attempt did not run and never will; a tombstone is kept."""

    attempt: str
    code: str
    detail: str
    retry_after_ms: int


@dataclasses.dataclass(slots=True)
class Started(Message):
    """The attempt was sent to the upstream and counts as run."""

    attempt: str
    waited_ms: int


@dataclasses.dataclass(slots=True)
class Head(Message):
    """Status and headers of the response to a call."""

    attempt: str
    status: int
    headers: list[list[str]]


@dataclasses.dataclass(slots=True)
class Chunk(Message):
    """Items of a response, in order.

    Attributes:
      attempt: Id of the attempt.
      seq: Sequence number of the first item; the next chunk starts at
        seq + len(items).
      items: For a generation, the JSON payloads of the engine's events, one
        token each; for a call, chunks of the body.
    """

    attempt: str
    seq: int
    items: list[bytes]


@dataclasses.dataclass(slots=True)
class Credit(Message):
    """Allows `items` further items and acknowledges all below `seq`."""

    attempt: str
    seq: int
    items: int


@dataclasses.dataclass(slots=True)
class Ack(Message):
    """Acknowledges a terminal message; the sidecar may drop the tail."""

    attempt: str


@dataclasses.dataclass(slots=True)
class Finished(Message):
    """The attempt is complete, with `seq` items in total."""

    attempt: str
    seq: int


@dataclasses.dataclass(slots=True)
class Failed(Message):
    """The attempt failed.

    Attributes:
      attempt: Id of the attempt.
      code: Code of an `error.request` class.
      detail: Human-readable description.
      ran: `no`, `yes` or `unknown`.
      gone: The generation is known to be lost, so that an idempotent request
        of which nothing was delivered may be dispatched again.
    """

    attempt: str
    code: str
    detail: str
    ran: str
    gone: bool


@dataclasses.dataclass(slots=True)
class Withdraw(Message):
    """Requests that a queued attempt is not started."""

    attempt: str


@dataclasses.dataclass(slots=True)
class Withdrawn(Message):
    """The attempt did not run and never will; also sent if it is unknown."""

    attempt: str


@dataclasses.dataclass(slots=True)
class Running(Message):
    """The attempt cannot be withdrawn, as it has started."""

    attempt: str


@dataclasses.dataclass(slots=True)
class Cancel(Message):
    """The response is no longer needed; stops the work on the upstream."""

    attempt: str


@dataclasses.dataclass(slots=True)
class Resume(Message):
    """Resumes an attempt on a new link, with the items from `seq` on."""

    attempt: str
    seq: int
    credit: int


@dataclasses.dataclass(slots=True)
class Load(Message):
    """Load and state of the upstream as seen by its sidecar.

    Attributes:
      queued: Attempts in the sidecar's queue.
      running: Attempts on the upstream.
      used_tokens: KV cache in use, in tokens.
      capacity_tokens: KV cache capacity, in tokens; 0 if unknown.
      expected_wait_ms: Expected wait of a new attempt of the highest rank.
      token_ms: Recent mean time between tokens.
      models: Models currently loaded.
      leaving: The upstream accepts no new work.
      healthy: The upstream responds.
      revision: Configuration revision active at the sidecar.
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
    """The upstream is leaving and accepts no new work from now on."""

    upstream: str
    reason: str


@dataclasses.dataclass(slots=True)
class Ping(Message):
    """Heartbeat of an idle link; carries the sender's revision."""

    nonce: int
    revision: int


@dataclasses.dataclass(slots=True)
class Pong(Message):
    """Response to Ping."""

    nonce: int
    revision: int


@dataclasses.dataclass(slots=True)
class ConfigFetch(Message):
    """Requests the configuration if it is newer than `revision`."""

    revision: int


@dataclasses.dataclass(slots=True)
class ConfigReply(Message):
    """The complete configuration document (JSON) at `revision`."""

    revision: int
    document: bytes


@dataclasses.dataclass(slots=True)
class GoAway(Message):
    """The sender is stopping; its running attempts continue to their end."""

    reason: str


BY_NUMBER: dict[int, type[Message]] = {
  1: Hello, 2: Welcome, 3: Reject, 4: Dispatch, 5: Body, 6: Refused,
  7: Started, 8: Head, 9: Chunk, 10: Credit, 11: Ack, 12: Finished,
  13: Failed, 14: Withdraw, 15: Withdrawn, 16: Running, 17: Cancel,
  18: Resume, 19: Load, 20: Leaving, 21: Ping, 22: Pong, 23: ConfigFetch,
  24: ConfigReply, 25: GoAway,
}  # fmt: skip
