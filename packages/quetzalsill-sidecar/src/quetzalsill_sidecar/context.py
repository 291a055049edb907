"""Interface of a sidecar that its background tasks use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from quetzalsill.config import holder
    from quetzalsill.wire import message
    from quetzalsill_sidecar import intake, leaving_state
    from quetzalsill_sidecar import runner as runner_lib
    from quetzalsill_sidecar import settings as settings_lib
    from quetzalsill_sidecar.attempt import table
    from quetzalsill_sidecar.queue import schedule

__all__ = ['SidecarContext']


class SidecarContext(Protocol):
    """Components of one sidecar.

    Attributes:
      configuration: The active configuration.
      attempts: All known attempts.
      queue: Waiting and running attempts.
      leaving: Whether new work is accepted.
      runner: Runs attempts on the upstream.
      intake: Handles messages about attempts and starts queued attempts.
    """

    configuration: holder.Holder
    attempts: table.Attempts
    queue: schedule.Schedule
    leaving: leaving_state.LeavingState
    runner: runner_lib.Runner
    intake: intake.Intake

    @property
    def settings(self) -> settings_lib.SidecarSettings:
        """Settings of this process."""

    @property
    def link_count(self) -> int:
        """Number of connected routers."""

    def broadcast(self, msg: message.Message) -> None:
        """Sends a message to every connected router."""

    def leave(self, reason: str) -> None:
        """Refuses new work from now on; running work is completed."""
