"""What the administration API tells of nodes and requests."""

from __future__ import annotations

import dataclasses

__all__ = ['LoadView', 'NodeView', 'RequestView']


@dataclasses.dataclass(slots=True)
class LoadView:
    """Newest load that a sidecar reported.

    Attributes:
      queued: Attempts waiting in the sidecar.
      running: Attempts on the upstream.
      used_tokens: Key-value memory in use, in tokens.
      capacity_tokens: Key-value memory in all, in tokens; 0 if unknown.
      expected_wait_ms: Wait that a new prompt attempt would see.
      models: Models loaded now.
      healthy: The upstream answers its sidecar.
    """

    queued: int
    running: int
    used_tokens: int
    capacity_tokens: int
    expected_wait_ms: int
    models: list[str]
    healthy: bool


@dataclasses.dataclass(slots=True)
class NodeView:
    """One process of the system, as the answering router sees it.

    Attributes:
      name: Node name of a router; upstream name of a sidecar.
      kind: `router` or `sidecar`.
      state: `live`, `leaving` or `unlinked` (a sidecar that the answering
        router holds no link to; other routers may).
      availability_zone: Where it runs.
      address: IP:PORT where it listens.
      incarnation: Number of its present start; 0 if unknown.
      revision: Configuration in force there; 0 if unknown.
      load: Newest load of a sidecar; None for routers and if unknown.
    """

    name: str
    kind: str
    state: str
    availability_zone: str
    address: str
    incarnation: int
    revision: int
    load: LoadView | None = None


@dataclasses.dataclass(slots=True)
class RequestView:
    """A caller's request, without its prompt and answer.

    Attributes:
      request: Id of the request.
      state: `queued`, `running`, `finished` or `failed`.
      account: Client account.
      profile: Profile name.
      model: Model or service name.
      upstream: Upstream of the present attempt; empty if none.
      attempts: Dispatches so far.
      age_s: Seconds since acceptance.
      delivered: Tokens or pieces handed to the caller so far.
      durable: The request is journalled in the platform.
      code: Error code if it failed; empty otherwise.
    """

    request: str
    state: str
    account: str
    profile: str
    model: str
    upstream: str
    attempts: int
    age_s: float
    delivered: int
    durable: bool
    code: str
