"""Acceptance of requests that must outlast this router."""

from __future__ import annotations

import hashlib
import time
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.platform import error as platform_error
from quetzalsill_router.durable import claim as durable_claim
from quetzalsill_router.durable import claim_writer
from quetzalsill_router.durable import entry as durable_entry
from quetzalsill_router.request import spec

if TYPE_CHECKING:
    from quetzalsill.config import model
    from quetzalsill_router import context

__all__ = ['accept', 'key_holder', 'needs_journal', 'work_from_entry']

MILLIS = 1000
STORE_RETRY_AFTER_S = 2.0


def needs_journal(work: spec.Work) -> bool:
    """Whether acceptance has to be journalled: durable, or with a key."""
    return work.durable or bool(work.key)


async def accept(ctx: context.Context, work: spec.Work) -> str:
    """Journals the request and claims its idempotency key.

    Returns:
      Id of the request that answers it: its own, or, for a repeat, that of
      the request that holds the key; the repeat itself will never run.

    Raises:
      RequestError: It is not accepted.
    """
    entry = _entry(work)
    try:
        work.request = await ctx.journal.accept(entry)
        work.entry = entry
        if not work.key:
            return work.request
        claim = await ctx.claims.claim(entry)
    except request_error.RequestError as exc:
        # A caller who is told "unknown" asks by this id what became of it.
        exc.request = entry.request
        raise
    return claim.request


async def key_holder(ctx: context.Context, account: str, key: str) -> str:
    """Returns the id of the request that holds an idempotency key.

    Raises:
      NotFoundError: The account has no such key.
      StoreUnavailableError: The platform did not answer.
    """
    row_key = durable_claim.key_of(account, key)
    try:
        row = await ctx.table.get(claim_writer.TABLE, row_key)
    except platform_error.PlatformError as exc:
        raise request_error.StoreUnavailableError(
            exc.detail,
            ran=base.Ran.UNKNOWN,
            retry_after_s=STORE_RETRY_AFTER_S,
        ) from exc
    if row is None:
        raise request_error.UnknownRequestError('no request has this key')
    return row.value['request']


def work_from_entry(
    entry: durable_entry.Entry, profile: model.Profile
) -> spec.Work:
    """Rebuilds the work of an entry that another router accepted."""
    remaining_s = entry.remaining_s(_now_ms())
    return spec.Work(
        request=entry.request,
        account=entry.account,
        profile_name=entry.profile,
        profile=profile,
        target=entry.model,
        kind=entry.kind,
        payload=entry.payload,
        deadline=time.monotonic() + remaining_s,
        idempotent=entry.idempotent,
        stream=entry.stream,
        max_tokens=profile.max_output_tokens,
        method=entry.method,
        path=entry.path,
        headers=entry.headers,
        entry=entry,
        run=entry.run,
        trace=entry.trace,
        key=entry.idempotency_key,
    )


def _entry(work: spec.Work) -> durable_entry.Entry:
    """Makes the entry of a request.

    Only durable work is ever dispatched by another router; of the rest
    the payload need not be kept.
    """
    now_ms = _now_ms()
    deadline_ms = now_ms + int(work.remaining_s() * MILLIS)
    return durable_entry.Entry(
        account=work.account,
        profile=work.profile_name,
        model=work.target,
        kind=work.kind,
        payload=work.payload if work.durable else b'',
        stream=work.stream,
        durable=work.durable,
        idempotent=work.idempotent,
        idempotency_key=work.key,
        digest=_digest(work),
        accepted_ms=now_ms,
        deadline_ms=deadline_ms,
        method=work.method,
        path=work.path,
        headers=work.headers if work.durable else [],
        trace=work.trace,
    )


def _digest(work: spec.Work) -> str:
    """Digests all that makes two requests the same."""
    digest = hashlib.sha256()
    parts = (work.kind, work.target, work.method, work.path)
    for part in parts:
        digest.update(part.encode() + b'\0')
    digest.update(work.payload)
    return digest.hexdigest()


def _now_ms() -> int:
    """Returns the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
