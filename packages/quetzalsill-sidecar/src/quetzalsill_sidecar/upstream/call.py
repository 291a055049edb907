"""One call to an app server, with streamed bodies."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.wire import message
from quetzalsill_sidecar import error
from quetzalsill_sidecar.upstream import headers, http, outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.net import parser
    from quetzalsill_sidecar.attempt import state

__all__ = ['not_found', 'run']

ITEM_BYTES = 65536


def not_found(attempt: str) -> message.Failed:
    """Returns the terminal of a recovery whose call this process never made.

    An app server can't be asked for the outcome of a call, and making the call
    could repeat one that an earlier sidecar made. Only the router knows
    whether it sent the call to this sidecar.
    """
    return outcome.failed(
        attempt,
        request_error.NotFoundError.code,
        'no such call was made here',
        base.Ran.UNKNOWN,
        gone=True,
    )


async def run(
    attempt: state.Attempt,
    origin: http.Origin,
    connect_timeout_s: float,
    start: Callable[[], None],
) -> message.Message:
    """Makes the call, streaming both bodies; never sends it twice.

    Args:
      attempt: The attempt, which receives the response.
      origin: Address of the app server.
      connect_timeout_s: Timeout for opening the connection, in seconds.
      start: Called just before the first byte is written.

    Returns:
      The terminal message.

    Raises:
      UpstreamConnectError: Nothing was written.
      RequestMalformedError: A header is malformed; nothing was written.
    """
    request_headers = _request_headers(attempt.dispatch)
    method, path = attempt.dispatch.method, attempt.dispatch.path
    async with http.exchange(origin, connect_timeout_s) as conn:
        head = conn.build_head(method, path, request_headers)
        start()
        write_task = asyncio.create_task(_write(attempt, conn, head))
        try:
            return await _read(attempt, conn)
        finally:
            write_task.cancel()
            with contextlib.suppress(
                asyncio.CancelledError,
                error.ResponseLostError,
                error.RequestMalformedError,
            ):
                await write_task


async def _write(
    attempt: state.Attempt, conn: http.Connection, head: bytes
) -> None:
    # A failed write doesn't decide the outcome: the server may have responded
    # early and closed the connection. The outcome depends on what is read.
    await conn.write(head)
    async for data in attempt.body.pieces():
        await conn.write_body(data)
        _acknowledge_body(attempt)
    if attempt.body.overflowed:
        conn.close()
        return
    await conn.write_end()


def _acknowledge_body(attempt: state.Attempt) -> None:
    """Grants the router credit for further pieces of the body."""
    if attempt.put is not None and attempt.body.is_open:
        attempt.put(message.Credit(attempt.id, attempt.body.consumed, 1))


async def _read(
    attempt: state.Attempt, conn: http.Connection
) -> message.Message:
    is_idempotent = attempt.dispatch.idempotent
    try:
        head = await conn.read_head()
    except error.ResponseLostError as exc:
        return outcome.failed(
            attempt.id,
            request_error.OutcomeUnknownError.code,
            exc.detail,
            base.Ran.UNKNOWN,
            gone=is_idempotent,
        )
    attempt.set_head(_head_message(attempt.id, head))
    try:
        while data := await conn.read_data():
            attempt.deliver(_split_items(data))
            await attempt.tail.wait_for_room()
    except error.ResponseLostError as exc:
        return outcome.failed(
            attempt.id,
            request_error.UpstreamFailedError.code,
            exc.detail,
            gone=is_idempotent,
        )
    return message.Finished(attempt.id, attempt.tail.end)


def _request_headers(dispatch: message.Dispatch) -> http.Headers:
    pairs = headers.end_to_end(dispatch.headers, request=True)
    pairs += headers.framing(
        dispatch.method,
        dispatch.headers,
        dispatch.payload,
        is_open=dispatch.body_open,
    )
    return [
        (name.encode('latin-1', 'replace'), value.encode('latin-1', 'replace'))
        for name, value in pairs
    ]


def _head_message(attempt: str, head: parser.Head) -> message.Head:
    pairs = [
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in head.headers
    ]
    kept = headers.end_to_end(pairs, request=False)
    return message.Head(attempt, head.status, [list(pair) for pair in kept])


def _split_items(data: bytes) -> list[bytes]:
    return [data[i : i + ITEM_BYTES] for i in range(0, len(data), ITEM_BYTES)]
