"""The size that the system is designed for, as required by its users."""

from __future__ import annotations

import dataclasses

__all__ = [
    'BUDGET',
    'ROUTER_LINKS',
    'SIDECAR_LINKS',
    'TARGET',
    'Budget',
    'Size',
]

DAY_S = 86_400.0


@dataclasses.dataclass(slots=True, frozen=True)
class Size:
    """Size of the deployment that the users require."""

    routers: int = 480
    upstreams: int = 1400
    zones: int = 7
    regions: int = 3
    models: int = 29
    accounts: int = 3500
    requests_per_s: float = 17_000.0
    tokens_per_s: float = 5_300_000.0
    edits_per_day: int = 2100
    failures_per_day: int = 36
    restarts_per_day: int = 540

    @property
    def edits_per_s(self) -> float:
        """Mean number of edits per second."""
        return self.edits_per_day / DAY_S

    @property
    def tokens_per_request(self) -> float:
        """Mean number of tokens in an answer."""
        return self.tokens_per_s / self.requests_per_s


@dataclasses.dataclass(slots=True, frozen=True)
class Budget:
    """Limits of a node's control overhead and of the time for an edit."""

    core: float = 0.027
    memory_bytes: float = 256e6
    bytes_per_s: float = 3000.0
    edit_s: float = 14.0


TARGET = Size()
BUDGET = Budget()

# Links per process at the target size as computed by the part `subsets`; the
# simulated peers of the benchmark behave as if they had as many.
ROUTER_LINKS = 448
SIDECAR_LINKS = 154
