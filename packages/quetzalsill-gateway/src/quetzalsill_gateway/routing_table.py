"""Routes, services, client accounts and limits in force at a gateway."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway.http import listener

__all__ = [
    'ClientAccount',
    'Engine',
    'Kind',
    'Route',
    'RoutingTable',
    'Service',
    'Target',
]


BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6


class Kind(enum.StrEnum):
    """What may be done with a request of a route."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'
    RESUMABLE_STREAM = 'resumable_stream'

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE_STREAM)

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self in (Kind.IDEMPOTENT, Kind.RESUMABLE_STREAM)


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A service that a route sends to, and its share of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Where requests of a host and path go, and how they are treated.

    Attributes:
      name: Name of the route.
      host: Host that callers name, in lower case, without a port.
      prefix: Beginning of the path; the longest one that fits is taken.
      kind: What may be done with a request.
      targets: Services with their weights.
      attempts: Most upstreams to which one request may be sent.
      timeout_s: Longest time that a caller is kept waiting.
      objective_s: Time within which an answer, or a stream's first event,
        is wanted.
      max_gap_s: Longest pause between two events of a stream for which it is
        still on time; None for no bound.
      priority: Rank; 0 is the most urgent.
      public: Whether callers need no key.
      regions: Regions in which its requests may be served; None for any.
    """

    name: str
    host: bytes
    prefix: bytes
    kind: Kind
    targets: tuple[Target, ...]
    attempts: int = 1
    timeout_s: float = 30.0
    objective_s: float = 1.0
    max_gap_s: float | None = None
    priority: int = 5
    public: bool = False
    regions: frozenset[str] | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Engine:
    """What the model engines of a service have.

    Attributes:
      slots: Requests that run at once.
      memory_tokens: Key-value memory, in tokens.
      token_bytes: Bytes of key-value memory per token.
      link_mbps: Rate at which memory moves between two engines.
      can_move: Whether a run's memory can be moved.
      can_back_up: Whether an engine copies a run's memory as it grows.
    """

    slots: int = 1
    memory_tokens: int = 0
    token_bytes: float = 0.0
    link_mbps: float = 0.0
    can_move: bool = False
    can_back_up: bool = False

    def copy_s(self, tokens: int) -> float:
        """Returns how long memory is on a free link, in seconds."""
        if not self.link_mbps:
            return 0.0
        bits = tokens * self.token_bytes * BITS_PER_BYTE
        return bits / (self.link_mbps * BITS_PER_MEGABIT)


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A set of upstreams that answer the same requests.

    Attributes:
      name: Name of the service.
      engine: Set if the upstreams are model engines.
      max_connections: Connections that an upstream takes from all gateways
        together; 0 if not told.
      warmup_per_s: Requests a second that a cold upstream takes from all
        gateways together; 0 for no bound.
    """

    name: str
    engine: Engine | None = None
    max_connections: int = 0
    warmup_per_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class ClientAccount:
    """Who calls, known by any of its keys.

    Attributes:
      name: Name of the account.
      priority: Rank of its requests; None for that of their routes.
      regions: Regions in which its requests may be served; None for any.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] | None = None


@dataclasses.dataclass(slots=True)
class RoutingTable:
    """One version of everything that operators set.

    Attributes:
      version: Grows with each change.
      routes: By host, the longest prefix first.
      services: By name.
      accounts: By key; None if callers need no key.
      limits: Bounds of what a caller may send.
    """

    version: int
    routes: dict[bytes, list[Route]]
    services: dict[str, Service]
    accounts: dict[bytes, ClientAccount] | None
    limits: listener.Limits

    @classmethod
    def build(
        cls,
        version: int,
        routes: list[Route],
        services: list[Service],
        accounts: dict[bytes, ClientAccount] | None,
        limits: listener.Limits,
    ) -> RoutingTable:
        """Returns a table with its routes arranged for `match`."""
        by_host: dict[bytes, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        for host_routes in by_host.values():
            host_routes.sort(key=lambda route: -len(route.prefix))
        by_name = {service.name: service for service in services}
        return cls(version, by_host, by_name, accounts, limits)

    def match(self, host: bytes, path: bytes) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self.routes.get(_normalize_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _normalize_host(host: bytes) -> bytes:
    return host.strip().lower().partition(b':')[0]
