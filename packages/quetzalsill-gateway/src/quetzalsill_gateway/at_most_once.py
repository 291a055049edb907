"""Keeps work that may be done once only from beginning a second time.

Every way in which a request goes on after a send needs grounds from here: a
further send of a call, a stream that begins anew, a run that goes on elsewhere
by a move, at its backup, or back at its source.

Grounds are what somebody has said or what has been seen. That nothing speaks
against it is none: a copy that was asked for may never have been made, and an
engine that did not carry out an order to stop may work on.
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

# An engine sends the memory of a run to its backup several times a second.
BACKUP_INTERVAL_S = 1 / 3


class Grounds(enum.Enum):
    """Why a request may be sent to an upstream.

    Attributes:
      NOT_RUN: None of its sends has begun its work, by the word of whoever got
        it or because nothing was sent.
      REPEATABLE: Its work may be done more than once.
      COPY: An engine has named a copy of its memory. It has stopped the run by
        order, or closed its stream behind the order to stop it, or the run is
        at work nowhere.
      BACKUP: The run is at work nowhere, and made events where it was for so
        long that memory of it has been sent to its backup.
    """

    NOT_RUN = 'not_run'
    REPEATABLE = 'repeatable'
    COPY = 'copy'
    BACKUP = 'backup'

    @property
    def resumes(self) -> bool:
        """Whether a run goes on from its memory rather than begins."""
        return self in (Grounds.COPY, Grounds.BACKUP)


class RunState(enum.Enum):
    """What is known of a run at the engine that worked on it last.

    Attributes:
      STOPPED: It was stopped by order, and its engine names what it kept.
      ENDED: Whoever answers at the engine's address knows no such run.
      UNREACHED: Nobody takes a connection there. A run may go on behind a
        cut until its engine notices that its connection has ended, but nothing
        that it makes reaches anyone.
      AT_WORK: The engine is there, and nobody says that the run has ended.
    """

    STOPPED = 'stopped'
    ENDED = 'ended'
    UNREACHED = 'unreached'
    AT_WORK = 'at_work'


@dataclasses.dataclass(slots=True)
class SendHistory:
    """What is known of the sends of one request.

    Attributes:
      may_repeat: Whether its work may be done more than once.
      may_have_run: Whether any of them may have begun its work.
    """

    may_repeat: bool
    may_have_run: bool = False

    def record(self, *, may_have_run: bool) -> None:
        """Takes how a send ended; what may have run stays so."""
        self.may_have_run |= may_have_run

    def grounds_to_start(self) -> Grounds | None:
        """Returns the grounds on which the work may begin; None for none."""
        if not self.may_have_run:
            return Grounds.NOT_RUN
        return Grounds.REPEATABLE if self.may_repeat else None


def grounds_to_resume(
    state: RunState, streamed_s: float, *, has_copy: bool = False
) -> Grounds | None:
    """Returns the grounds on which a run goes on that broke off.

    An engine may end a run as it begins it, or soon after. No memory has gone
    to the backup by then, and an engine there that looks for the copy late, or
    fails before it does, would begin the run a second time.

    Args:
      state: What is known of it where it broke off.
      streamed_s: For how long events came of it from there, in seconds; 0 if
        none did, or one.
      has_copy: Whether an engine has named a copy of it.
    """
    if state is RunState.AT_WORK:
        return None
    if state is RunState.STOPPED or has_copy:
        return Grounds.COPY
    if streamed_s < BACKUP_INTERVAL_S:
        return None
    return Grounds.BACKUP
