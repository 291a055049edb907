"""One attempt: dispatched to one peer and followed to its end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.wire import error as wire_error
from quetzalsill.wire import message
from quetzalsill_router.request import outcome, piece, spec

if TYPE_CHECKING:
    from quetzalsill_router.peer import attempt as peer_attempt
    from quetzalsill_router.peer import peer as peer_module
    from quetzalsill_router.request import active as active_module

__all__ = ['ShouldMove', 'build', 'follow']

ShouldMove = Callable[[], bool]

GRANTS_PER_CREDIT = 4
MAX_CALL_CREDIT = 16
MOVE_CHECK_INTERVAL_S = 0.25
MILLIS = 1000


def build(
    work: spec.Work,
    peer: peer_module.Peer,
    attempt: str,
    revision: int,
    credit: int,
    recover: bool = False,
) -> message.Dispatch:
    """Builds the Dispatch of `work` to `peer`."""
    remaining_s = max(0.0, work.remaining_s())
    queue_s = min(work.profile.queue_wait_s, remaining_s)
    return message.Dispatch(
        attempt=attempt,
        request=work.request,
        incarnation=peer.incarnation,
        revision=revision,
        fence=work.entry.fence if work.entry is not None else 0,
        account=work.account,
        profile=work.profile_name,
        model=work.target,
        kind=work.kind,
        method=work.method,
        path=work.path,
        headers=work.headers,
        payload=work.payload,
        body_open=work.body is not None,
        idempotent=work.idempotent,
        remaining_ms=int(remaining_s * MILLIS),
        queue_ms=int(queue_s * MILLIS),
        prompt_tokens=work.prompt_tokens,
        max_tokens=work.max_tokens,
        prefix=work.prefix,
        recover=recover,
        credit=min(credit, MAX_CALL_CREDIT)
        if work.kind == spec.CALL
        else credit,
        trace=work.trace,
    )


async def follow(
    attempt: peer_attempt.Attempt,
    active: active_module.ActiveRequest,
    should_move: ShouldMove,
) -> AsyncGenerator[piece.Piece, None]:
    """Yields the pieces of one attempt.

    However the consumer ends, an attempt that reached no terminal message
    is cancelled by its `close`, so that the upstream does not go on for
    nobody.

    Raises:
      AttemptEndedError: The attempt ended without its whole answer.
    """
    work = active.work
    credit = _CreditWindow(attempt)
    ended = False
    sender: asyncio.Task[None] | None = None
    try:
        async for msg in _messages(attempt, should_move):
            match msg:
                case message.Started():
                    # That a call reached an app server proves nothing: only
                    # its answer says that the order was taken.
                    if work.kind != spec.CALL:
                        active.attempt_started()
                    if work.body is not None and sender is None:
                        sender = asyncio.create_task(
                            _send_body(attempt, active)
                        )
                case message.Head():
                    active.attempt_started()
                    yield piece.Head(msg.status, msg.headers)
                case message.Chunk():
                    active.charge_items(len(msg.items))
                    yield credit.items(msg)
                case message.Finished():
                    ended = True
                    if work.entry is not None:
                        active.unacknowledged = attempt
                    return
                case _:
                    ended = True
                    raise outcome.AttemptEndedError(
                        _read_terminal(attempt, work, msg)
                    )
    finally:
        if sender is not None:
            sender.cancel()
        # The router that takes a journalled request over attaches to this
        # run; cancelled here, it would be lost there.
        if active.unacknowledged is not attempt:
            if ended or not active.handed_over:
                attempt.close()
            else:
                attempt.detach()


def _read_terminal(
    attempt: peer_attempt.Attempt, work: spec.Work, msg: message.Message
) -> outcome.Outcome:
    """Reads a terminal message, and cancels what another run may replace.

    Of work that may not be repeated the run goes on: its outcome can be
    asked for later.
    """
    ended = failure(msg)
    if ended.ran is base.Ran.UNKNOWN and work.idempotent:
        attempt.cancel()
    if work.kind == spec.CALL and not attempt.gave_up:
        # Only its sidecar can say more of a call, and this was its word.
        ended.gone = True
    return ended


def failure(msg: message.Message) -> outcome.Outcome:
    """Reads a terminal message other than Finished."""
    match msg:
        case message.Withdrawn():
            error = request_error.OverloadedError('withdrawn from the queue')
            return outcome.Outcome(error, moved=True)
        case message.Refused():
            retry_after_s = msg.retry_after_ms / MILLIS or None
            error = request_error.from_code(
                msg.code, msg.detail, base.Ran.NO, retry_after_s
            )
            return outcome.Outcome(error)
        case message.Failed():
            error = request_error.from_code(
                msg.code, msg.detail, base.Ran(msg.ran)
            )
            return outcome.Outcome(error, gone=msg.gone)
    error = request_error.OutcomeUnknownError(
        f'unexpected {type(msg).__name__} from the sidecar'
    )
    return outcome.Outcome(error)


class _CreditWindow:
    """Grants a sidecar further items, some at once.

    A grant for each token would cost as much as the token itself.
    """

    def __init__(self, attempt: peer_attempt.Attempt) -> None:
        self._attempt = attempt
        self._step = max(1, attempt.dispatch.credit // GRANTS_PER_CREDIT)
        self._granted = 0

    def items(self, chunk: message.Chunk) -> piece.Items:
        """Makes the piece of a chunk, whose release counts here."""
        end = chunk.seq + len(chunk.items)
        return piece.Items(chunk.items, lambda: self._release(end))

    def _release(self, end: int) -> None:
        if end - self._granted >= self._step:
            self._attempt.grant(end, end - self._granted)
            self._granted = end


async def _messages(
    attempt: peer_attempt.Attempt, should_move: ShouldMove
) -> AsyncIterator[message.Message]:
    """Yields the attempt's messages."""
    yield await _receive_queued(attempt, should_move)
    while True:
        yield await attempt.receive()


async def _receive_queued(
    attempt: peer_attempt.Attempt, should_move: ShouldMove
) -> message.Message:
    """Returns the first message that ends the attempt's time in a queue.

    While it waits, the attempt is withdrawn once if `should_move` says
    that another upstream would serve it sooner; whether it moves is the
    sidecar's word alone (Withdrawn or Running).
    """
    timeout_s: float | None = MOVE_CHECK_INTERVAL_S
    receiver = asyncio.ensure_future(attempt.receive())
    try:
        while True:
            done, _ = await asyncio.wait({receiver}, timeout=timeout_s)
            if done:
                msg = receiver.result()
                if not isinstance(msg, message.Running):
                    return msg
                receiver = asyncio.ensure_future(attempt.receive())
            elif should_move():
                attempt.withdraw()
                timeout_s = None
    finally:
        receiver.cancel()


async def _send_body(
    attempt: peer_attempt.Attempt, active: active_module.ActiveRequest
) -> None:
    """Passes the rest of a call's body on, each piece as it comes.

    A link that is lost meanwhile cuts the body; what became of the call is
    then told by the attempt's terminal message. A body that breaks off or
    is too large is never ended, so that the upstream can't take it for
    whole; the call fails.
    """
    active.work.body_consumed = True
    try:
        async for data in active.work.body:
            await attempt.send_body(data, last=False)
        await attempt.send_body(b'', last=True)
    except wire_error.LinkClosedError:
        return
    except request_error.RequestError as exc:
        active.fail(exc)
