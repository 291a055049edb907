"""State of one attempt: its Dispatch, its progress and its link."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from typing import TYPE_CHECKING

from quetzalsill.wire import message

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill_sidecar.attempt import body as body_lib
    from quetzalsill_sidecar.attempt import tail as tail_lib

__all__ = ['Attempt', 'Stage']


class Stage(enum.Enum):
    """Progress of an attempt."""

    RECEIVED = 'judged'
    QUEUED = 'queued'
    CONNECTING = 'connecting'
    STARTED = 'started'
    ENDED = 'over'


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """State of an attempt that this incarnation has received.

    Attributes:
      dispatch: The router's request.
      arrived: Time of arrival (monotonic seconds).
      deadline: Time by which the response must be complete (monotonic
        seconds).
      queue_deadline: Time until which it may wait in the queue.
      tail: Unacknowledged part of its response.
      body: Further pieces of a call's request body.
      orphan_s: How long it keeps running without a link.
      stage: Its progress.
      started: Time at which it was sent to the upstream; 0 if it was not.
      has_run: Whether a generation of this id is known to have run, even if
        the engine no longer has it.
      link: Identity of the link of its router; None while there is none.
      put: Sends a message over that link.
      detached: Time at which the link was lost.
      head: Status and headers of a call's response, once received.
      terminal: Terminal message, once it has ended.
      ended: Time at which it ended.
      task: Task that runs it on the upstream.
      stop_code: Code of the failure for which `task` is being cancelled.
    """

    dispatch: message.Dispatch
    arrived: float
    deadline: float
    queue_deadline: float
    tail: tail_lib.Tail
    body: body_lib.RequestBody
    orphan_s: float
    stage: Stage = Stage.RECEIVED
    started: float = 0.0
    has_run: bool = False
    link: object = None
    put: Callable[[message.Message], None] | None = None
    detached: float = 0.0
    head: message.Head | None = None
    terminal: message.Message | None = None
    ended: float = 0.0
    task: asyncio.Task[None] | None = None
    stop_code: str = ''
    _flush_due: bool = False
    _terminal_sent: bool = False

    @property
    def id(self) -> str:
        """Id of the attempt."""
        return self.dispatch.attempt

    def attach(
        self, link: object, put: Callable[[message.Message], None]
    ) -> None:
        """Sends over `link` from now on, starting with the current state."""
        self.link = link
        self.put = put
        self._terminal_sent = False
        if self.started:
            put(self._started_message())
        if self.head is not None:
            put(self.head)
        self.flush()

    def detach(self, now: float) -> None:
        """Records that the link is lost."""
        self.link = None
        self.put = None
        self.detached = now

    def start(self, now: float) -> None:
        """Records that the request is about to be written to the upstream.

        From here on the attempt counts as run, even if the write fails.
        """
        self.stage = Stage.STARTED
        self.started = now
        if self.put is not None:
            self.put(self._started_message())

    def set_head(self, head: message.Head) -> None:
        """Stores and sends the head of a call's response."""
        self.head = head
        if self.put is not None:
            self.put(head)

    def deliver(self, items: list[bytes]) -> None:
        """Adds items of the response; those of one loop tick share a chunk."""
        self.tail.append(items)
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Sends what credit allows, and the terminal after the last item.

        A failure does not wait for credit, so that a slow reader learns at
        once that the response will be incomplete.
        """
        self._flush_due = False
        if self.put is None or self._terminal_sent:
            return
        failed = isinstance(self.terminal, message.Failed)
        if not failed:
            self.tail.send(self.put)
        if self.terminal is not None and (failed or self.tail.all_sent):
            self._terminal_sent = True
            self.put(self.terminal)

    def _started_message(self) -> message.Started:
        waited_ms = round((self.started - self.arrived) * 1000)
        return message.Started(self.id, waited_ms)
