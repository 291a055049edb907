"""Admits and starts requests, and detects duplicates by key."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_router.http import stored
from quetzalsill_router.request import journaling, serve, spec

if TYPE_CHECKING:
    import blacksheep

    from quetzalsill_router import context
    from quetzalsill_router.http import auth
    from quetzalsill_router.limit import shares
    from quetzalsill_router.request import active

__all__ = ['Duplicate', 'replay', 'submit']


@dataclasses.dataclass(slots=True)
class Duplicate:
    """A request whose idempotency key belongs to an earlier request.

    Attributes:
      account: Client account.
      request: Id of the request that holds the key.
    """

    account: str
    request: str


async def submit(
    ctx: context.Context,
    identity: auth.Caller,
    work: spec.Work,
    is_attended: bool,
) -> active.ActiveRequest | Duplicate:
    """Admits, accepts and starts a request.

    Args:
      ctx: The router.
      identity: The caller.
      work: The requested work; its request id is set here.
      is_attended: Whether the caller waits for the answer.

    Raises:
      RequestError: The request is not accepted.
    """
    grant = _admit(ctx, identity, work)
    accepted = False
    try:
        key_holder = await _accept(ctx, work)
        accepted = key_holder == work.request
    finally:
        if not accepted:
            grant.release()
    if not accepted:
        return Duplicate(work.account, key_holder)
    if work.kind == spec.CALL:
        work.headers.append(['x-request-id', work.request])
    start = serve.start if is_attended else serve.start_detached
    return start(ctx, work, grant)


async def replay(
    ctx: context.Context, duplicate: Duplicate, as_events: bool
) -> blacksheep.Response:
    """Answers a duplicate with the answer of the original request.

    Raises:
      ConflictError: The original did not end within the wait.
    """
    original = await ctx.answers.wait(
        duplicate.account,
        duplicate.request,
        ctx.settings.requests.conflict_wait_s,
    )
    if original.answer is None:
        raise stored.conflict(duplicate.request)
    return stored.render(duplicate.request, original.answer, as_events)


def _admit(
    ctx: context.Context, identity: auth.Caller, work: spec.Work
) -> shares.Grant:
    """Admits the request within the account's limits."""
    estimate = 0
    if work.kind != spec.CALL:
        estimate = ctx.lengths.estimate(
            work.target, work.profile_name, work.max_tokens
        )
    return ctx.limiter.admit(identity.name, identity.account.limits, estimate)


async def _accept(ctx: context.Context, work: spec.Work) -> str:
    """Accepts the work; returns the id of the request to answer from."""
    if journaling.needs_journal(work):
        return await journaling.accept(ctx, work)
    work.request = ctx.request_ids.next()
    return work.request
