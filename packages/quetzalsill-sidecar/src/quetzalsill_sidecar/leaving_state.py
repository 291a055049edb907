"""Whether the upstream accepts new work."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_sidecar import event

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.config import holder

__all__ = ['LeavingState']


class LeavingState:
    """Reasons to refuse new work: a permanent leave, or a drain.

    Attributes:
      reason: Why this process is leaving permanently; empty if it is not.
      started: Set when this process starts to leave permanently.
    """

    def __init__(
        self,
        upstream: str,
        configuration: holder.Holder,
        on_start: Callable[[str], None],
    ) -> None:
        """Starts out accepting work.

        Args:
          upstream: Name of the upstream in the configuration.
          configuration: Configuration, which can drain the upstream.
          on_start: Called once with the reason for leaving permanently.
        """
        self.reason = ''
        self.started = asyncio.Event()
        self._upstream = upstream
        self._configuration = configuration
        self._on_start = on_start

    @property
    def is_draining(self) -> bool:
        """Whether the configuration drains the upstream."""
        upstream = self._configuration.current.upstreams.get(self._upstream)
        return upstream is not None and upstream.draining

    def refusal_reason(self) -> str:
        """Returns why new work is refused; empty if it is accepted."""
        return self.reason or ('draining' if self.is_draining else '')

    def start(self, reason: str) -> None:
        """Starts to leave permanently; later calls have no effect."""
        if self.reason:
            return
        self.reason = reason
        self.started.set()
        event.note(event.Leaving(upstream=self._upstream, reason=reason))
        self._on_start(reason)
