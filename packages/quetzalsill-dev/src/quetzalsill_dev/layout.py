"""Which processes a cluster has."""

from __future__ import annotations

import dataclasses

__all__ = ['EngineSpec', 'Layout', 'RouterSpec', 'ServiceSpec']


@dataclasses.dataclass(slots=True)
class EngineSpec:
    """A model server: an engine stand-in and its sidecar.

    Attributes:
      name: Name of the upstream.
      availability_zone: Where it stands.
      models: Models loaded.
      capacity_tokens: Key-value memory.
      max_batch: Sequences in a batch.
      token_s: Time of an unloaded step, in seconds.
      checks_fence: It refuses orders with an old fencing number.
    """

    name: str
    availability_zone: str
    models: list[str]
    capacity_tokens: int = 20_000
    max_batch: int = 32
    token_s: float = 0.01
    checks_fence: bool = False


@dataclasses.dataclass(slots=True)
class ServiceSpec:
    """An app server: a service stand-in and its sidecar."""

    name: str
    availability_zone: str
    services: list[str]


@dataclasses.dataclass(slots=True)
class RouterSpec:
    """A router on an entry host."""

    name: str
    availability_zone: str


@dataclasses.dataclass(slots=True)
class Layout:
    """All of a cluster, besides the platform's two stand-ins."""

    engines: list[EngineSpec]
    services: list[ServiceSpec]
    routers: list[RouterSpec]
