"""Whether the upstream takes new work."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_sidecar import event

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.config import holder

__all__ = ['LeavingState']


class LeavingState:
    """Reasons to take nothing new: leaving for good, or drained.

    Attributes:
      reason: Why this process leaves for good; empty while it does not.
      started: Set once it leaves for good.
    """

    def __init__(
        self,
        upstream: str,
        configuration: holder.Holder,
        on_start: Callable[[str], None],
    ) -> None:
        """Watches for reasons.

        Args:
          upstream: Name of the upstream in the configuration.
          configuration: May drain the upstream.
          on_start: Called once with the reason for leaving for good.
        """
        self.reason = ''
        self.started = asyncio.Event()
        self._upstream = upstream
        self._configuration = configuration
        self._on_start = on_start

    @property
    def is_draining(self) -> bool:
        """An operator drains the upstream."""
        upstream = self._configuration.current.upstreams.get(self._upstream)
        return upstream is not None and upstream.draining

    def refusal_reason(self) -> str:
        """Why new work is refused; empty if it is not."""
        return self.reason or ('draining' if self.is_draining else '')

    def start(self, reason: str) -> None:
        """Leaves for good; a second call changes nothing."""
        if self.reason:
            return
        self.reason = reason
        self.started.set()
        event.note(event.Leaving(upstream=self._upstream, reason=reason))
        self._on_start(reason)
