"""One send of a request to one upstream."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill_gateway.http import error, message

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway import dialect as dialect_lib
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.http import call

__all__ = ['ResponseClass', 'classify', 'read_body', 'send_request']

SUCCESS_STATUSES = range(200, 300)
# These statuses promise a caller that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MISDIRECTED_STATUS = 421


class ResponseClass(enum.Enum):
    """What the head of an answer means."""

    SUCCESS = 'success'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    WRONG_UPSTREAM = 'wrong_upstream'
    UNTRUE_PROMISE = 'untrue_promise'
    UNPROVED = 'unproved'

    @property
    def is_not_run(self) -> bool:
        """Whether the answer says that the request has not run there."""
        return self in (ResponseClass.NOT_RUN, ResponseClass.WRONG_UPSTREAM)


def classify(
    head: message.ResponseHead,
    dialect: dialect_lib.Dialect,
    request_id: bytes,
) -> ResponseClass:
    """Returns what an answer says of its request."""
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
    # A server's own 503 without that header may stand behind work that was
    # done; handed on, the caller would send the request again.
    if head.status in NOT_RUN_STATUSES:
        return ResponseClass.UNTRUE_PROMISE
    return ResponseClass.FAILED


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request that was sent, with the head of its answer.

    Attributes:
      conn: Connection that carries it.
      head: Head of the answer.
      response_class: What the head means.
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
    """Sends a request and gives the head of the answer.

    On leaving, a connection whose answer was read whole is kept, any other is
    closed, which ends the work at the upstream.

    Args:
      core: Names of headers, kept connections, and where work may go.
      exchange: The request.
      upstream: Where to.
      extra_headers: Headers that the gateway sets besides the usual ones.
      continues: The run goes on from memory, so this is no further send.

    Raises:
      error.CallError: There is no answer; `ran` says whether it may have run.
    """
    dialect = core.dialect
    conn = await core.conns.acquire(
        upstream.address,
        repeatable=exchange.route.kind.may_repeat,
        # A run that was stopped to go on there would be lost for want of one.
        max_connections=None
        if continues
        else core.quota.max_connections(upstream),
    )
    try:
        if not _accepts_work(core.upstreams, upstream, continues=continues):
            raise error.UpstreamClosedError(upstream.address_text)
        head = exchange.head(dialect, upstream.id, extra_headers)
        conn.send(
            head,
            exchange.request.body,
            exchange.request.method,
            (dialect.request_id, exchange.request_id),
        )
        exchange.sends += 0 if continues else 1
        answer = await conn.head()
        response_class = classify(answer, dialect, exchange.request_id)
        yield SentRequest(conn, answer, response_class)
    finally:
        core.conns.release(conn, core.quota.max_idle(upstream))


def _accepts_work(
    upstreams: upstream_lib.Upstreams,
    upstream: upstream_lib.Upstream,
    *,
    continues: bool,
) -> bool:
    """Whether work may go to an upstream, once the connection is there."""
    if continues:
        return upstreams.zones.accepts_runs(upstream.availability_zone)
    return upstreams.accepts_new_work(upstream)


async def read_body(conn: call.Conn, limit: int) -> tuple[bytes, bool]:
    """Returns the body, and whether that is all of it.

    Args:
      conn: Connection whose answer is being read.
      limit: Bytes after which reading stops.

    Raises:
      error.CallError: The answer was cut off.
    """
    body = bytearray()
    while len(body) <= limit:
        chunk = await conn.read()
        if not chunk:
            return bytes(body), True
        body += chunk
    return bytes(body), False


def may_have_run(exc: error.CallError) -> bool:
    """Whether work may have been done although the call failed."""
    return exc.ran is not base.Ran.NO


def now() -> float:
    """Loop time, in seconds."""
    return asyncio.get_running_loop().time()
