"""What the background work of a sidecar may use of it."""

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
    """The parts of one sidecar.

    Attributes:
      configuration: Configuration in force here.
      attempts: All attempts known.
      queue: What waits and what runs.
      leaving: Whether new work is taken.
      runner: Work under way at the upstream.
      intake: What takes attempts in and lets the queue move.
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
        """Routers that are linked now."""

    def broadcast(self, msg: message.Message) -> None:
        """Sends to every router."""

    def leave(self, reason: str) -> None:
        """Takes nothing new from now on; running work goes to its end."""
