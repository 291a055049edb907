"""Stores the outcomes of requests that can be fetched later."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill.net import deadline
from quetzalsill_router import event
from quetzalsill_router.durable import answer as durable_answer
from quetzalsill_router.request import piece, spec

if TYPE_CHECKING:
    from quetzalsill_router import context
    from quetzalsill_router.request import active as active_module

__all__ = ['KIND_HEADER', 'MODEL_HEADER', 'record_answer', 'record_failure']

KIND_HEADER = 'x-quetzalsill-kind'
MODEL_HEADER = 'x-quetzalsill-model'
SETTLE_TIMEOUT_S = 2.0
MAX_STORED_BYTES = 8_000_000


async def record_answer(
    ctx: context.Context,
    active: active_module.ActiveRequest,
    pieces: AsyncGenerator[piece.Piece, None],
) -> AsyncGenerator[piece.Piece, None]:
    """Forwards `pieces`, and ends once the whole answer is stored.

    Pieces are forwarded as they arrive, unless the request is buffered:
    then nothing is forwarded before the complete answer is stored.
    """
    answer = _empty(active.work)
    stored_bytes = 0
    buffered: list[piece.Piece] = []
    async with contextlib.aclosing(pieces):
        async for part in pieces:
            if isinstance(part, piece.Head):
                answer.status = part.status
                answer.headers = part.headers
            else:
                answer.events.extend(part.items)
                stored_bytes += sum(map(len, part.items))
            if active.work.is_buffered:
                buffered.append(part)
            else:
                yield part
    if stored_bytes > MAX_STORED_BYTES:
        answer = _too_large(stored_bytes)
    await settle(ctx, active, answer)
    for part in buffered:
        yield part


async def record_failure(
    ctx: context.Context,
    active: active_module.ActiveRequest,
    error: request_error.RequestError,
) -> None:
    """Stores the failure of a request."""
    await settle(ctx, active, durable_answer.failure(error))


async def settle(
    ctx: context.Context,
    active: active_module.ActiveRequest,
    answer: durable_answer.Answer,
) -> None:
    """Stores the outcome and waits up to `SETTLE_TIMEOUT_S` for the write.

    If the store is unavailable, the caller still gets its answer; the
    journal keeps the outcome and writes it when the store recovers.
    """
    work = active.work
    request = work.request
    if work.entry is None:
        ctx.recent.put(work.account, request, answer)
        return
    try:
        async with deadline.timeout(SETTLE_TIMEOUT_S):
            await ctx.journal.settle(work.entry, answer)
    except TimeoutError:
        event.note(event.SettleDelayed(request=request))
    except request_error.SupersededError:
        event.note(event.SettleSuperseded(request=request))


def _empty(work: spec.Work) -> durable_answer.Answer:
    """Creates the answer that the pieces are added to."""
    if work.kind == spec.CALL:
        return durable_answer.Answer()
    headers = [[KIND_HEADER, work.kind], [MODEL_HEADER, work.target]]
    return durable_answer.Answer(headers=headers)


def _too_large(size: int) -> durable_answer.Answer:
    """Replaces an answer that is too large to be stored."""
    error = request_error.TooLargeError
    return durable_answer.Answer(
        code=error.code,
        detail=f'the answer of {size} bytes was delivered but not kept',
        status=0,
    )
