"""One attempt: the send of a request to an upstream, and its response."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill_gateway.http import error, message
from quetzalsill_gateway.quarantine import in_flight

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway import dialect as dialect_lib
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.http import call

__all__ = ['ResponseClass', 'classify', 'read_body', 'send_request']

SUCCESS_STATUSES = range(200, 300)
# Statuses by which callers conclude that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MISDIRECTED_STATUS = 421
SMALL_BODY_BYTES = 65_536
# A longer pause of a stream is taken for its end by some callers.
MAX_RESUME_WAIT_S = 1.5


class ResponseClass(enum.Enum):
    """Meaning of a response, by its head."""

    SUCCESS = 'success'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    WRONG_UPSTREAM = 'wrong_upstream'
    UNTRUE_PROMISE = 'untrue_promise'
    UNPROVED = 'unproved'

    @property
    def is_not_run(self) -> bool:
        """Whether the response states that the request has not run."""
        return self in (ResponseClass.NOT_RUN, ResponseClass.WRONG_UPSTREAM)


def classify(
    head: message.ResponseHead,
    dialect: dialect_lib.Dialect,
    request_id: bytes,
) -> ResponseClass:
    """Returns the meaning of a response to a request."""
    if head.status == MISDIRECTED_STATUS:
        return ResponseClass.WRONG_UPSTREAM
    if message.first(head.headers, dialect.not_run) is not None:
        return ResponseClass.NOT_RUN
    if head.status in SUCCESS_STATUSES:
        is_own = message.first(head.headers, dialect.request_id) == request_id
        is_proved = message.first(head.headers, dialect.receipt) is not None
        return (
            ResponseClass.SUCCESS
            if is_own and is_proved
            else ResponseClass.UNPROVED
        )
    # A server may return 503 without that header after the work was done. If
    # the status were relayed, the caller would repeat the request.
    if head.status in NOT_RUN_STATUSES:
        return ResponseClass.UNTRUE_PROMISE
    return ResponseClass.FAILED


# A response without these may be somebody else's.
PROVED_CLASSES = (
    ResponseClass.SUCCESS,
    ResponseClass.FAILED,
    ResponseClass.NOT_RUN,
)


def _echoes_id(
    head: message.ResponseHead,
    dialect: dialect_lib.Dialect,
    exchange: exchange_lib.Exchange,
) -> bool:
    found = message.first(head.headers, dialect.request_id)
    return found == exchange.request_id


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request that was sent, with the head of its response.

    Attributes:
      conn: Connection on which it was sent.
      head: Head of the response.
      response_class: Meaning of the head.
    """

    conn: call.Conn
    head: message.ResponseHead
    response_class: ResponseClass


@contextlib.asynccontextmanager
async def send_request(
    core: core_lib.Core,
    exchange: exchange_lib.Exchange,
    upstream: upstream_lib.Upstream,
    extra_headers: message.Headers,
    *,
    continues: bool = False,
) -> AsyncIterator[SentRequest]:
    """Sends a request and yields the head of the response.

    On exit, a connection whose response was read to its end is returned to the
    pool. Any other is closed, which ends the work at the upstream.

    Args:
      core: State of the gateway.
      exchange: The request.
      upstream: Destination.
      extra_headers: Headers in addition to the usual ones.
      continues: Whether a run resumes from memory; that counts as no further
        attempt.

    Raises:
      error.CallError: No response was received; `ran` says whether the request
        may have run.
    """
    dialect = core.dialect
    conn = await _acquire(core, exchange, upstream, continues=continues)
    try:
        if not _accepts_work(core.upstreams, upstream, continues=continues):
            raise error.UpstreamClosedError(upstream.address_text)
        if not await _wait_for_pause(core, upstream, continues=continues):
            raise error.UpstreamPausingError(upstream.address_text)
        if core.quarantine.rejects(exchange):
            raise error.QuarantinedError(exchange.id_text)
        if not continues and core.shutdown.may_cut(exchange):
            raise error.ProcessStoppingError(exchange.id_text)
        exchange.may_have_run = True
        head = exchange.head(dialect, upstream.id, extra_headers)
        conn.send(
            head,
            exchange.request.body.parts,
            exchange.request.method,
            (dialect.request_id, exchange.request_id),
        )
        if continues:
            core.quota.consume(upstream)
        else:
            exchange.sends += 1
        run = in_flight.Run(exchange, upstream, conn, now())
        core.in_flight.add(run)
        try:
            answer = await conn.head()
            run.begun_s = now()
            response_class = classify(answer, dialect, exchange.request_id)
            if response_class is ResponseClass.WRONG_UPSTREAM:
                core.detector.record_replaced(upstream)
            else:
                core.quarantine.record_answer(upstream, run.sent_s)
                _record_headers(core, run, answer, response_class)
            yield SentRequest(conn, answer, response_class)
            exchange.answered_s = run.begun_s if conn.is_framed else None
        except error.TruncatedError:
            core.detector.record_broken(run)
            raise
        finally:
            core.in_flight.discard(run)
            core.quarantine.record_run(run)
    finally:
        core.conns.release(conn, core.quota.max_idle(upstream))


def _record_headers(
    core: core_lib.Core,
    run: in_flight.Run,
    head: message.ResponseHead,
    response_class: ResponseClass,
) -> None:
    """Records what a response shows about its upstream."""
    dialect, found = core.dialect, run.upstream
    is_own = _echoes_id(head, dialect, run.exchange)
    core.server_limits.record_response(
        found,
        message.values(head.headers, dialect.server_limit),
        run.sent_s,
        is_proved=is_own and response_class in PROVED_CLASSES,
    )
    core.backoffs.record_response(
        found,
        head.status,
        message.values(head.headers, b'retry-after'),
        message.first(head.headers, b'date'),
        run.sent_s,
    )
    # A failure without the id is relayed too.
    is_evidence = is_own or response_class is ResponseClass.FAILED
    notice = message.values(head.headers, dialect.server_leaving)
    if notice and is_evidence and core.upstreams.notices.read(found, notice):
        core.upstreams.mark_leaving(found, 'response', is_shared=True)


async def _acquire(
    core: core_lib.Core,
    exchange: exchange_lib.Exchange,
    upstream: upstream_lib.Upstream,
    *,
    continues: bool,
) -> call.Conn:
    """Returns a connection to an upstream.

    Raises:
      error.ConnectError: None could be opened.
    """
    try:
        return await core.conns.acquire(
            upstream.address,
            repeatable=exchange.route.kind.may_repeat,
            # The limit does not apply to a resumed run: it has been stopped at
            # its source, and would be lost without a connection.
            max_connections=None
            if continues
            else core.quota.max_connections(upstream),
        )
    except error.RefusedError:
        core.detector.record_refused(upstream)
        raise


def _accepts_work(
    upstreams: upstream_lib.Upstreams,
    upstream: upstream_lib.Upstream,
    *,
    continues: bool,
) -> bool:
    """Whether an upstream still accepts the work, after connecting."""
    if continues:
        return upstreams.zones.accepts_runs(upstream.availability_zone)
    return upstreams.accepts_new_work(upstream)


async def _wait_for_pause(
    core: core_lib.Core,
    upstream: upstream_lib.Upstream,
    *,
    continues: bool,
) -> bool:
    """Returns whether a request may be sent in spite of a pause.

    Other requests go elsewhere. A run that resumes would be lost, so it waits
    for the end of the pause, if this is soon.
    """
    if not continues:
        return not core.backoffs.is_pausing(upstream)
    if core.backoffs.try_resume(upstream):
        return True
    end_s = now() + MAX_RESUME_WAIT_S
    while left_s := core.backoffs.left_s(upstream):
        if now() + left_s > end_s:
            return False
        await asyncio.sleep(left_s)
    return True


async def read_body(
    conn: call.Conn,
    limit: int,
    may_buffer: Callable[[int], bool] = lambda size: True,
) -> tuple[bytes, bool]:
    """Reads the body of a response up to a limit.

    Args:
      conn: Connection whose response is being read.
      limit: Size in bytes beyond which reading stops.
      may_buffer: Returns whether there is memory for a body of some size; asked
        once for those that are not small.

    Returns:
      The bytes read, and whether they are the complete body.

    Raises:
      error.CallError: The response was truncated.
    """
    body = bytearray()
    is_granted = False
    while len(body) <= limit:
        chunk = await conn.read()
        if not chunk:
            return bytes(body), True
        body += chunk
        if not is_granted and len(body) > SMALL_BODY_BYTES:
            is_granted = may_buffer(limit)
            if not is_granted:
                break
    return bytes(body), False


def may_have_run(exc: error.CallError) -> bool:
    """Whether the request may have run although the call failed."""
    return exc.ran is not base.Ran.NO


def now() -> float:
    """Returns the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()
