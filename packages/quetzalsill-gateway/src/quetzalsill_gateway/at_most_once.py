"""Ensures that a request which may run at most once never starts twice.

Whatever continues a request after a send needs grounds from this module: a
further send of a call, a restarted stream, or a run that resumes elsewhere
after a move, at its backup, or at its source again.

Grounds are positive evidence: something that was reported or observed. The
absence of evidence to the contrary is not sufficient, since a requested copy
may never have been made, and an engine that did not execute an order to stop
may still be working.
"""

from __future__ import annotations

import dataclasses
import enum

__all__ = [
    'BACKUP_INTERVAL_S',
    'Grounds',
    'RunState',
    'SendHistory',
    'grounds_to_resume',
]

# An engine replicates the memory of a run to its backup at least this often.
BACKUP_INTERVAL_S = 1 / 3


class Grounds(enum.Enum):
    """Why a request may be sent to an upstream.

    Attributes:
      NOT_RUN: No send has started the work: its receiver said so, or nothing
        was sent.
      REPEATABLE: The request may run more than once.
      COPY: An engine has named a copy of the run's memory, and has stopped the
        run as ordered, or has closed its stream after the order, or the run is
        no longer in progress anywhere.
      BACKUP: The run is no longer in progress anywhere, and produced events for
        long enough that its memory has been replicated to its backup.
    """

    NOT_RUN = 'not_run'
    REPEATABLE = 'repeatable'
    COPY = 'copy'
    BACKUP = 'backup'

    @property
    def resumes(self) -> bool:
        """Whether a run resumes from its memory instead of starting."""
        return self in (Grounds.COPY, Grounds.BACKUP)


class RunState(enum.Enum):
    """State of a run at the engine that worked on it last.

    Attributes:
      STOPPED: It was stopped as ordered, and its engine named the copy that it
        kept.
      ENDED: The process at the engine's address knows no such run.
      UNREACHED: The address accepts no connection. Behind a network partition
        the run may continue until its engine notices the closed connection, but
        its output reaches nobody.
      AT_WORK: The engine is reachable, and the run is not known to have ended.
    """

    STOPPED = 'stopped'
    ENDED = 'ended'
    UNREACHED = 'unreached'
    AT_WORK = 'at_work'


@dataclasses.dataclass(slots=True)
class SendHistory:
    """Whether a request has possibly run, over all of its sends.

    Attributes:
      may_repeat: Whether the request may run more than once.
      may_have_run: Whether any send may have started the work.
    """

    may_repeat: bool
    may_have_run: bool = False

    def record(self, *, may_have_run: bool) -> None:
        """Records the result of a send; `may_have_run` is never reset."""
        self.may_have_run |= may_have_run

    def grounds_to_start(self) -> Grounds | None:
        """Returns the grounds for starting the work; None if there are none."""
        if not self.may_have_run:
            return Grounds.NOT_RUN
        return Grounds.REPEATABLE if self.may_repeat else None


def grounds_to_resume(
    state: RunState, streamed_s: float, *, has_copy: bool = False
) -> Grounds | None:
    """Returns the grounds for resuming an interrupted run; None if none.

    An engine may abort a run as it starts it, or soon after. Nothing has been
    replicated to the backup by then. A backup engine that looks for the copy
    late, or fails before it does, would start the run a second time.

    Args:
      state: State of the run where it was interrupted.
      streamed_s: Time between the first and the last event received from there,
        in seconds; 0 for fewer than two events.
      has_copy: Whether an engine has named a copy of it.
    """
    if state is RunState.AT_WORK:
        return None
    if state is RunState.STOPPED or has_copy:
        return Grounds.COPY
    if streamed_s < BACKUP_INTERVAL_S:
        return None
    return Grounds.BACKUP
