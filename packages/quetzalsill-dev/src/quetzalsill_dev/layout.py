"""Description of the processes of a cluster."""

from __future__ import annotations

import dataclasses

__all__ = ['EngineSpec', 'Layout', 'RouterSpec', 'ServiceSpec']


@dataclasses.dataclass(slots=True)
class EngineSpec:
    """A model server: an engine stand-in and its sidecar.

    Attributes:
      name: Name of the upstream.
      availability_zone: Availability zone of its host.
      models: Names of the loaded models.
      capacity_tokens: Capacity of the KV cache, in tokens.
      max_batch: Largest number of sequences in a batch.
      token_s: Duration of a decoding step without load, in seconds.
      checks_fence: Whether it rejects commands with an old fencing number.
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
    """All processes of a cluster except the two platform stand-ins."""

    engines: list[EngineSpec]
    services: list[ServiceSpec]
    routers: list[RouterSpec]
