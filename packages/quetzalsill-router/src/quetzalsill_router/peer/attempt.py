"""One attempt of a request, as the router sees it."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Protocol

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.wire import error as wire_error
from quetzalsill.wire import kind, message
from quetzalsill_router.peer import upload

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['HANDLERS', 'Attempt', 'Owner']


class Owner(Protocol):
    """The interface of the peer that an attempt uses.

    Attributes:
      incarnation: Incarnation of the sidecar at the other end of the link.
    """

    incarnation: int

    def send(self, msg: message.Message) -> bool:
        """Sends a message; returns False if there is no link."""

    def send_or_defer(self, msg: message.Message) -> None:
        """Sends a message now, or on the next link to this incarnation."""

    async def send_body(self, msg: message.Body) -> None:
        """Sends a message and waits while the link is congested."""

    def remove_attempt(self, attempt: Attempt) -> None:
        """Removes the attempt from the peer."""


class Attempt:
    """Receives the answer of one attempt, across lost links.

    `receive` returns each item once and in order, and one terminal message:
    Refused, Withdrawn, Finished or Failed. Only the peer calls `handle`,
    `on_link_up`, `on_link_lost` and `expire`.

    Attributes:
      id: Id of the attempt.
      dispatch: Message that opened it.
      started: The work is known to have reached the upstream.
      next_seq: Number of items received so far.
    """

    def __init__(
        self, dispatch: message.Dispatch, owner: Owner, recover_s: float
    ) -> None:
        """Initializes an attempt that the peer is about to dispatch.

        Args:
          dispatch: Message that opens it.
          owner: The peer.
          recover_s: Seconds without a link, or without a response from a new
            sidecar, after which the outcome is reported as unknown.
        """
        self.id = dispatch.attempt
        self.dispatch = dispatch
        self.started = False
        self.next_seq = 0
        self._owner = owner
        self._recover_s = recover_s
        self._credit_limit = dispatch.credit
        self._acknowledged = 0
        self._recovering = dispatch.recover
        self._credit_limit_uncertain = False
        self._body = upload.Upload(dispatch)
        self._head_received = False
        self._withdrawing = False
        self._cancelling = False
        self._closed = False
        self._expired = False
        self._terminal: message.Message | None = None
        self._needs_ack = False
        self._timer: asyncio.TimerHandle | None = None
        # Bounded by the credit that the request grants: a sidecar that sends
        # more violates the protocol.
        self._inbox: asyncio.Queue[message.Message] = asyncio.Queue()
        if self._recovering:
            self._start_timer()

    async def receive(self) -> message.Message:
        """Returns the next message; after the end always the terminal one.

        Started may be missing before the first item, if it was lost with a
        link. Running is the response to `withdraw`, unless Started or an item
        was received first, which mean the same.
        """
        if self._terminal is not None and self._inbox.empty():
            return self._terminal
        return await self._inbox.get()

    def grant(self, seq: int, items: int) -> None:
        """Acknowledges the items below `seq` and permits `items` more."""
        self._credit_limit += items
        self._acknowledged = max(self._acknowledged, seq)
        # A grant that is lost with its link is included in the next Resume.
        self._owner.send(message.Credit(self.id, seq, items))

    async def send_body(self, data: bytes, last: bool) -> None:
        """Sends a further piece of a call's body, with flow control.

        Raises:
          wire_error.LinkClosedError: The link that carries the body is
            lost, or the attempt has ended; the terminal message reports the
            outcome of the call.
        """
        async for piece in self._body.pieces(data, last):
            await self._owner.send_body(piece)

    @property
    def expired(self) -> bool:
        """Whether it ended before the sidecar reported its outcome."""
        return self._expired

    def withdraw(self) -> None:
        """Requests that it not be started; yields Withdrawn or Running."""
        if self._terminal is not None:
            return
        self._withdrawing = True
        if not self._recovering:
            self._owner.send(message.Withdraw(self.id))

    def cancel(self) -> None:
        """Stops the work; the terminal message reports whether it ran."""
        if self._terminal is not None:
            if self._expired:
                self._owner.send_or_defer(message.Cancel(self.id))
            return
        self._cancelling = True
        if not self._recovering:
            self._owner.send(message.Cancel(self.id))

    def close(self) -> None:
        """Closes the attempt: acknowledges the answer or cancels the work."""
        if self._closed:
            return
        self._closed = True
        if self._terminal is not None:
            self._release()
            return
        self.cancel()
        self._start_timer()

    def detach(self) -> None:
        """Closes the attempt without a message: another router has the run."""
        self._closed = True
        self._stop_timer()
        self._owner.remove_attempt(self)

    def refuse(self, code: str, detail: str) -> None:
        """Ends an attempt whose Dispatch was never written to any link."""
        self._finish(message.Refused(self.id, code, detail, 0))

    def handle(self, msg: message.Message) -> bool:
        """Handles a message from the link; returns False if it is redundant.

        Raises:
          wire_error.ProtocolError: It is invalid after earlier messages.
        """
        if self._terminal is not None:
            return False
        recovering = self._recovering
        handled = HANDLERS[type(msg)](self, msg)
        if recovering:
            self._finish_recovery()
        return handled

    def on_link_up(self, *, same: bool) -> None:
        """Resumes or recovers the attempt on a new link.

        Args:
          same: The sidecar is the same incarnation as on the last link.
        """
        if self._terminal is not None:
            return
        if same and not self._recovering:
            self._resume()
            return
        if self.dispatch.kind == kind.CALL and not same:
            self._fail_call()
            return
        # A sidecar that received the Dispatch on the last link rewinds to the
        # first unacknowledged item and counts the credit from there; one that
        # did not counts it from 0. The smaller credit is safe in both cases,
        # and a Resume corrects it once an item shows the position.
        again = self._recovering and same
        credit = (
            self._credit_limit - self._acknowledged
            if again
            else self._credit_limit
        )
        self._credit_limit_uncertain = again
        self._recovering = True
        self._owner.send(self._recover_dispatch(credit))

    def on_link_lost(self) -> None:
        """Starts the timer within which the attempt must be recovered."""
        self._body.abort()
        if self._terminal is None:
            self._start_timer()

    def expire(self) -> None:
        """Ends the attempt: its outcome could not be determined in time."""
        if self._terminal is None:
            self._expired = True
            self._finish(
                message.Failed(
                    self.id,
                    request_error.OutcomeUnknownError.code,
                    'the sidecar could not be reached again in time',
                    base.Ran.UNKNOWN,
                    False,
                )
            )

    def _resume(self) -> None:
        if not self._closed:
            self._stop_timer()
        self._send_resume()
        if self._withdrawing:
            self._owner.send(message.Withdraw(self.id))
        # The rest of a body can't be sent on another link.
        if self._cancelling or self._body.incomplete:
            self._owner.send(message.Cancel(self.id))

    def _send_resume(self) -> None:
        seq = self.next_seq
        self._owner.send(message.Resume(self.id, seq, self._credit_limit - seq))

    def _fail_call(self) -> None:
        """Ends a call whose sidecar was lost, and its answer with it."""
        if self._head_received:
            self._fail('the sidecar was lost', gone=self.dispatch.idempotent)
        else:
            self.expire()

    def _recover_dispatch(self, credit: int) -> message.Dispatch:
        return dataclasses.replace(
            self.dispatch,
            incarnation=self._owner.incarnation,
            recover=True,
            body_open=False,
            credit=credit,
        )

    def _finish_recovery(self) -> None:
        """Completes the recovery: the new sidecar has the attempt now."""
        self._recovering = False
        if self._terminal is not None:
            return
        if not self._closed:
            self._stop_timer()
        # Withdraw and Cancel are not sent before this point: the sidecar could
        # take the attempt for a queued one and report "not run" while the
        # engine runs it. Work that has started can't be withdrawn.
        if self._cancelling:
            self._owner.send(message.Cancel(self.id))

    def _on_started(self, msg: message.Started) -> bool:
        if self.started:
            return False
        self.started = True
        return self._deliver(msg)

    def _on_running(self, msg: message.Running) -> bool:
        if self.started:
            return False
        self.started = True
        return self._deliver(msg)

    def _on_body_credit(self, msg: message.Credit) -> bool:
        self._body.acknowledge(msg.seq)
        return True

    def _on_head(self, msg: message.Head) -> bool:
        if self._head_received:
            return False
        self.started = self._head_received = True
        return self._deliver(msg)

    def _on_chunk(self, msg: message.Chunk) -> bool:
        end = msg.seq + len(msg.items)
        if not 0 <= msg.seq <= self.next_seq:
            raise wire_error.ProtocolError(
                f'{self.id}: item {msg.seq} instead of {self.next_seq}'
            )
        if end > self._credit_limit:
            raise wire_error.ProtocolError(
                f'{self.id}: item {end - 1} beyond the credit of '
                f'{self._credit_limit}'
            )
        first, self.next_seq = self.next_seq, max(self.next_seq, end)
        self.started = True
        if self._credit_limit_uncertain:
            self._credit_limit_uncertain = False
            self._owner.send(
                message.Resume(self.id, end, self._credit_limit - end)
            )
        if end <= first:
            return False
        items = msg.items[first - msg.seq :]
        return self._deliver(message.Chunk(self.id, first, items))

    def _on_finished(self, msg: message.Finished) -> bool:
        if msg.seq > self.next_seq:
            raise wire_error.ProtocolError(
                f'{self.id}: ended at {msg.seq}, received {self.next_seq}'
            )
        if msg.seq < self.next_seq:
            return self._fail('the answer is shorter than what was received')
        return self._finish(msg, acknowledge=True)

    def _on_failed(self, msg: message.Failed) -> bool:
        if self.started and msg.ran == base.Ran.NO:
            msg = dataclasses.replace(msg, ran=base.Ran.YES)
        return self._finish(msg, acknowledge=True)

    def _on_not_run(self, msg: message.Refused | message.Withdrawn) -> bool:
        # Work that has started can't be "not run" any more. During a recovery
        # the refusal means that the engine has lost the work.
        if self.started:
            return self._fail('the work was lost', gone=self._recovering)
        return self._finish(msg)

    def _fail(self, detail: str, *, gone: bool = False) -> bool:
        code, ran = request_error.UpstreamFailedError.code, base.Ran.YES
        if self.dispatch.kind == kind.CALL and not self._head_received:
            # For a call, Started only means that it was sent; only its
            # response shows that it was accepted.
            code, ran = request_error.OutcomeUnknownError.code, base.Ran.UNKNOWN
        return self._finish(message.Failed(self.id, code, detail, ran, gone))

    def _finish(
        self, msg: message.Message, *, acknowledge: bool = False
    ) -> bool:
        self._terminal = msg
        self._needs_ack = acknowledge
        self._stop_timer()
        self._body.abort()
        self._deliver(msg)
        if self._closed:
            self._release()
        return True

    def _deliver(self, msg: message.Message) -> bool:
        if not self._closed:
            self._inbox.put_nowait(msg)
        return True

    def _release(self) -> None:
        self._owner.remove_attempt(self)
        if self._needs_ack:
            self._owner.send_or_defer(message.Ack(self.id))

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                self._recover_s, self.expire
            )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


HANDLERS: dict[type[message.Message], Callable[..., bool]] = {
    message.Refused: Attempt._on_not_run,
    message.Withdrawn: Attempt._on_not_run,
    message.Started: Attempt._on_started,
    message.Running: Attempt._on_running,
    message.Credit: Attempt._on_body_credit,
    message.Head: Attempt._on_head,
    message.Chunk: Attempt._on_chunk,
    message.Finished: Attempt._on_finished,
    message.Failed: Attempt._on_failed,
}
