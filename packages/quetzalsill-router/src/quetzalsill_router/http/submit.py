"""From built work to a running request, or to the one it repeats."""

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
    """The request repeats another one by its idempotency key.

    Attributes:
      account: Client account.
      request: Id of the request that holds the key.
    """

    account: str
    request: str


async def submit(
    ctx: context.Context, identity: auth.Caller, work: spec.Work, attend: bool
) -> active.ActiveRequest | Duplicate:
    """Takes leave of the account, accepts the work and starts it.

    Args:
      ctx: The router.
      identity: Whose request it is.
      work: What it asks for; its id is set here.
      attend: The caller waits for the answer.

    Raises:
      RequestError: It is not accepted.
    """
    grant = _admit(ctx, identity, work)
    accepted = False
    try:
        holder = await _accept(ctx, work)
        accepted = holder == work.request
    finally:
        if not accepted:
            grant.release()
    if not accepted:
        return Duplicate(work.account, holder)
    if work.kind == spec.CALL:
        work.headers.append(['x-request-id', work.request])
    begin = serve.start if attend else serve.start_detached
    return begin(ctx, work, grant)


async def replay(
    ctx: context.Context, repeated: Duplicate, as_events: bool
) -> blacksheep.Response:
    """Answers a repeat with the answer of the request that it repeats.

    Raises:
      ConflictError: That request did not end within the wait.
    """
    found = await ctx.answers.wait(
        repeated.account,
        repeated.request,
        ctx.settings.requests.conflict_wait_s,
    )
    if found.answer is None:
        raise stored.conflict(repeated.request)
    return stored.render(repeated.request, found.answer, as_events)


def _admit(
    ctx: context.Context, identity: auth.Caller, work: spec.Work
) -> shares.Grant:
    """Takes leave of the account's limits."""
    estimate = 0
    if work.kind != spec.CALL:
        estimate = ctx.lengths.estimate(
            work.target, work.profile_name, work.max_tokens
        )
    return ctx.limiter.admit(identity.name, identity.account.limits, estimate)


async def _accept(ctx: context.Context, work: spec.Work) -> str:
    """Returns the id of the request that answers this one."""
    if journaling.needs_journal(work):
        return await journaling.accept(ctx, work)
    work.request = ctx.request_ids.next()
    return work.request
