"""Starts or recovers the generation of an attempt and reads it to its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.wire import message
from quetzalsill_sidecar import error
from quetzalsill_sidecar.upstream import engine as engine_lib
from quetzalsill_sidecar.upstream import generation, outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill_sidecar.attempt import state
    from quetzalsill_sidecar.upstream import http

__all__ = ['recover', 'run']

FORBIDDEN = 'forbidden'


async def run(
    attempt: state.Attempt,
    engine: engine_lib.Engine,
    progress: generation.Generation,
    priority: int,
    start: Callable[[], None],
) -> message.Message:
    """Starts the generation and reads it to its end.

    Args:
      attempt: The attempt to run.
      engine: The engine to run it on.
      progress: Reads the stream and delivers its events.
      priority: Priority on the engine.
      start: Called just before the first byte is written.

    Returns:
      The terminal message.

    Raises:
      UpstreamConnectError: Nothing was written.
      RequestMalformedError: The payload is not a JSON object; nothing was
        written.
    """
    body = engine_lib.generation_body(attempt.dispatch, priority)
    try:
        async with engine.exchange() as conn:
            start()
            if await _start_and_read(
                conn, attempt.dispatch.kind, body, progress
            ):
                return message.Finished(attempt.id, attempt.tail.end)
        await progress.resume()
    except error.UpstreamStatusError as exc:
        return outcome.from_status(attempt.id, exc)
    except error.GenerationGoneError as exc:
        # The request may still be in transit to an engine that does not know
        # it yet; the loss is certain only once its start is forbidden.
        gone = bool(await _cancel(attempt.id, engine))
        return outcome.failed(
            attempt.id,
            request_error.UpstreamFailedError.code,
            exc.detail,
            gone=gone,
        )
    except error.GenerationUnreachableError as exc:
        return outcome.failed(
            attempt.id, request_error.UpstreamFailedError.code, exc.detail
        )
    return message.Finished(attempt.id, attempt.tail.end)


async def recover(
    attempt: state.Attempt,
    engine: engine_lib.Engine,
    progress: generation.Generation,
) -> message.Message:
    """Attaches to a generation that an earlier sidecar started.

    Returns:
      The terminal message; `Refused` only if it certainly did not run.
    """
    try:
        await progress.resume()
    except error.GenerationGoneError as exc:
        return await _resolve_missing(attempt, engine, exc.detail)
    except error.GenerationUnreachableError as exc:
        return _unknown(attempt, exc.detail)
    return message.Finished(attempt.id, attempt.tail.end)


async def _resolve_missing(
    attempt: state.Attempt, engine: engine_lib.Engine, detail: str
) -> message.Message:
    """Returns the terminal of a recovery whose generation the engine lacks.

    The engine is first told never to start it: the request of the earlier
    sidecar may still be in transit, and "not run" would become false. An
    engine that has restarted since the Dispatch was made may have run it
    before, without a record of it.
    """
    cancel_state = await _cancel(attempt.id, engine)
    if not cancel_state:
        return _unknown(attempt, detail)
    if cancel_state != FORBIDDEN or attempt.started or attempt.has_run:
        return outcome.failed(
            attempt.id,
            request_error.UpstreamFailedError.code,
            detail,
            gone=True,
        )
    if not await _is_same_incarnation(engine, attempt.dispatch.engine):
        return _unknown(attempt, 'the engine was restarted', gone=True)
    return message.Refused(
        attempt.id, request_error.NotFoundError.code, detail, 0
    )


def _unknown(
    attempt: state.Attempt, detail: str, *, gone: bool = False
) -> message.Failed:
    return outcome.failed(
        attempt.id,
        request_error.OutcomeUnknownError.code,
        detail,
        base.Ran.UNKNOWN,
        gone=gone,
    )


async def _start_and_read(
    conn: http.Connection,
    kind: str,
    body: bytes,
    progress: generation.Generation,
) -> bool:
    """Starts and reads over one connection; False if it broke or stalled."""
    try:
        await engine_lib.write_start(conn, kind, body)
        await progress.read(conn)
    except (error.ResponseLostError, TimeoutError):
        return False
    return True


async def _cancel(attempt: str, engine: engine_lib.Engine) -> str:
    """Cancels or forbids the generation; empty if that was not confirmed."""
    try:
        return await engine.cancel(attempt)
    except error.ExchangeError:
        return ''


async def _is_same_incarnation(engine: engine_lib.Engine, known: int) -> bool:
    """Returns whether the engine has certainly not restarted.

    An engine that reports no incarnation looks the same after a restart.
    """
    return known > 0 and await _incarnation(engine) == known


async def _incarnation(engine: engine_lib.Engine) -> int:
    """Returns the incarnation of the engine, or -1 if it doesn't respond."""
    try:
        report = await engine.report()
    except error.ExchangeError:
        return -1
    return report.incarnation
