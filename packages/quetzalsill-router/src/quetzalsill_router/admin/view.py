"""Nodes and requests as the administration API returns them."""

from __future__ import annotations

import dataclasses

__all__ = ['LoadView', 'NodeView', 'RequestView']


@dataclasses.dataclass(slots=True)
class LoadView:
    """The latest load reported by a sidecar.

    Attributes:
      queued: Attempts waiting in the sidecar.
      running: Attempts on the upstream.
      used_tokens: Used part of the KV cache, in tokens.
      capacity_tokens: Size of the KV cache, in tokens; 0 if unknown.
      expected_wait_ms: Expected wait of a new latency-sensitive attempt.
      models: Models that are loaded.
      healthy: The upstream responds to its sidecar.
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
    """A router or sidecar, as seen by the responding router.

    Attributes:
      name: Node name of a router; upstream name of a sidecar.
      kind: `router` or `sidecar`.
      state: `live`, `leaving` or `unlinked` (a sidecar without a link to
        the responding router; it may be linked to others).
      availability_zone: Availability zone of the node.
      address: IP:PORT that it listens on.
      incarnation: Incarnation number of the process; 0 if unknown.
      revision: Revision that is active there; 0 if unknown.
      load: Latest load of a sidecar; None for routers and if unknown.
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
    """A caller's request, without its prompt and response.

    Attributes:
      request: Id of the request.
      state: `queued`, `running`, `finished` or `failed`.
      account: Client account.
      profile: Profile name.
      model: Model or service name.
      upstream: Upstream of the current attempt; empty if none.
      attempts: Number of dispatches so far.
      age_s: Seconds since acceptance.
      delivered: Tokens or chunks delivered to the caller so far.
      durable: The request is journaled in the platform store.
      code: Error code of a failed request; empty otherwise.
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
