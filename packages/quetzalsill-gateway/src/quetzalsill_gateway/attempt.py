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

__all__ = ['Verdict', 'judge', 'opened', 'read_body']

SUCCESS = range(200, 300)
# These statuses promise a caller that the request has not run.
PROMISES = (408, 421, 429, 503)
MISDIRECTED = 421


class Verdict(enum.Enum):
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
        return self in (Verdict.NOT_RUN, Verdict.WRONG_UPSTREAM)


def judge(
    head: message.ResponseHead,
    dialect: dialect_lib.Dialect,
    request_id: bytes,
) -> Verdict:
    """Returns what an answer says of its request."""
    if head.status == MISDIRECTED:
        return Verdict.WRONG_UPSTREAM
    if message.first(head.headers, dialect.not_run) is not None:
        return Verdict.NOT_RUN
    if head.status in SUCCESS:
        ours = message.first(head.headers, dialect.request_id) == request_id
        proved = message.first(head.headers, dialect.receipt) is not None
        return Verdict.SUCCESS if ours and proved else Verdict.UNPROVED
    # A server's own 503 without that header may stand behind work that was
    # done; handed on, the caller would send the request again.
    if head.status in PROMISES:
        return Verdict.UNTRUE_PROMISE
    return Verdict.FAILED


@dataclasses.dataclass(slots=True)
class Opened:
    """A request that was sent, with the head of its answer.

    Attributes:
      conn: Connection that carries it.
      head: Head of the answer.
      verdict: What the head means.
    """

    conn: call.Conn
    head: message.ResponseHead
    verdict: Verdict


@contextlib.asynccontextmanager
async def opened(
    core: core_lib.Core,
    exchange: exchange_lib.Exchange,
    upstream: upstream_lib.Upstream,
    extra: message.Headers,
    *,
    continues: bool = False,
) -> AsyncIterator[Opened]:
    """Sends a request and gives the head of the answer.

    On leaving, a connection whose answer was read whole is kept, any other is
    closed, which ends the work at the upstream.

    Args:
      core: Names of headers, kept connections, and where work may go.
      exchange: The request.
      upstream: Where to.
      extra: Headers that the gateway sets besides the usual ones.
      continues: The run goes on from memory, so this is no further send.

    Raises:
      error.CallError: There is no answer; `ran` says whether it may have run.
    """
    dialect = core.dialect
    conn = await core.conns.take(
        upstream.address,
        repeatable=exchange.route.kind.may_repeat,
        # A run that was stopped to go on there would be lost for want of one.
        most=None if continues else core.quota.max_connections(upstream),
    )
    try:
        if not _takes(core.upstreams, upstream, continues=continues):
            raise error.ClosedError(upstream.address_text)
        head = exchange.head(dialect, upstream.id, extra)
        conn.send(
            head,
            exchange.request.body,
            exchange.request.method,
            (dialect.request_id, exchange.request_id),
        )
        exchange.sends += 0 if continues else 1
        answer = await conn.head()
        verdict = judge(answer, dialect, exchange.request_id)
        yield Opened(conn, answer, verdict)
    finally:
        core.conns.give_back(conn, core.quota.max_idle(upstream))


def _takes(
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
    pieces = bytearray()
    while len(pieces) <= limit:
        piece = await conn.read()
        if not piece:
            return bytes(pieces), True
        pieces += piece
    return bytes(pieces), False


def may_have_run(exc: error.CallError) -> bool:
    """Whether work may have been done although the call failed."""
    return exc.ran is not base.Ran.NO


def now() -> float:
    """Loop time, in seconds."""
    return asyncio.get_running_loop().time()
