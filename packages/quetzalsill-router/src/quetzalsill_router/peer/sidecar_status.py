"""Status that a sidecar has reported about itself."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.wire import message

__all__ = ['SidecarStatus']


@dataclasses.dataclass(slots=True)
class SidecarStatus:
    """Status reported by one incarnation of a sidecar.

    Attributes:
      incarnation: Incarnation of the sidecar; 0 before the first link.
      load: Latest Load; None before the first.
      leaving: It reported that it is leaving; a later Load may reset this.
      going_away: It reported that it is stopping, which is final.
    """

    incarnation: int = 0
    load: message.Load | None = None
    leaving: bool = False
    going_away: bool = False

    def update_load(self, load: message.Load) -> None:
        """Stores a newer Load."""
        self.load = load
        self.leaving = load.leaving

    def has_loaded(self, model: str) -> bool:
        """Whether the model is loaded and its engine is healthy."""
        return self.healthy and model in self.load.models

    @property
    def healthy(self) -> bool:
        """Whether the upstream is known to be healthy."""
        return self.load is not None and self.load.healthy

    @property
    def engine(self) -> int:
        """Incarnation of the engine; 0 if unknown."""
        return self.load.engine if self.load else 0
