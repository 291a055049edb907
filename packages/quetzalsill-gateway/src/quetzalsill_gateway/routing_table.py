"""Routes, services, client accounts and limits of a configuration."""

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
    """Execution semantics of a route's requests."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'
    RESUMABLE_STREAM = 'resumable_stream'

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE_STREAM)

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self in (Kind.IDEMPOTENT, Kind.RESUMABLE_STREAM)


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A service that a route sends to, with its weight."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Where and how requests for a host and path prefix are forwarded.

    Attributes:
      name: Name of the route.
      host: Value of the Host header, in lower case, without a port.
      prefix: Path prefix; the longest match wins.
      kind: Execution semantics of its requests.
      targets: Services with their weights.
      attempts: Maximum number of upstreams to which a request may be sent.
      timeout_s: Longest time that a caller is kept waiting.
      objective_s: Target time to the response, or to a stream's first event.
      max_gap_s: Longest pause between two events with which a stream still
        counts as on time; None for no limit.
      priority: Priority; 0 is the most urgent.
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
    """Capacity and features of a service's model engines.

    Attributes:
      slots: Maximum number of concurrent runs.
      memory_tokens: Size of the KV cache, in tokens.
      token_bytes: Bytes of KV cache per token.
      link_mbps: Bandwidth between two engines, in megabits per second.
      can_move: Whether a run can move to another engine with its KV cache.
      can_back_up: Whether an engine copies a run's KV cache to another engine
        as it grows.
    """

    slots: int = 1
    memory_tokens: int = 0
    token_bytes: float = 0.0
    link_mbps: float = 0.0
    can_move: bool = False
    can_back_up: bool = False

    def copy_s(self, tokens: int) -> float:
        """Returns the transfer time of KV cache on an idle link, in seconds."""
        if not self.link_mbps:
            return 0.0
        bits = tokens * self.token_bytes * BITS_PER_BYTE
        return bits / (self.link_mbps * BITS_PER_MEGABIT)


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A set of interchangeable upstreams.

    Attributes:
      name: Name of the service.
      engine: Set if the upstreams are model engines.
      max_connections: Connections that an upstream accepts from all gateways
        together; 0 if unknown.
      warmup_per_s: Requests per second that a cold upstream accepts from all
        gateways together; 0 for no limit.
    """

    name: str
    engine: Engine | None = None
    max_connections: int = 0
    warmup_per_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class ClientAccount:
    """A client account, identified by any of its keys.

    Attributes:
      name: Name of the account.
      priority: Priority of its requests; None for that of the route.
      regions: Regions in which its requests may be served; None for any.
      weight: Its share of the engines while they are short, relative to the
        other accounts.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] | None = None
    weight: float = 1.0


@dataclasses.dataclass(slots=True)
class RoutingTable:
    """One version of the configuration.

    Attributes:
      version: Increases with each change.
      routes: By host, the longest prefix first.
      services: By name.
      accounts: By key; None if callers need no key.
      limits: Limits on callers' requests.
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
        """Returns a table with routes and services indexed for lookup."""
        by_host: dict[bytes, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        for host_routes in by_host.values():
            host_routes.sort(key=lambda route: -len(route.prefix))
        by_name = {service.name: service for service in services}
        return cls(version, by_host, by_name, accounts, limits)

    def match(self, host: bytes, path: bytes) -> Route | None:
        """Returns the host's route with the longest matching path prefix."""
        for route in self.routes.get(_normalize_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _normalize_host(host: bytes) -> bytes:
    return host.strip().lower().partition(b':')[0]
