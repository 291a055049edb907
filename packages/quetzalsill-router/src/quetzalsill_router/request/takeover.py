"""Recovers requests of a failed router, and releases superseded ones."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from quetzalsill.config import model
from quetzalsill.error import base
from quetzalsill_router import event
from quetzalsill_router.durable import answer as durable_answer
from quetzalsill_router.request import journaling, serve

if TYPE_CHECKING:
    from quetzalsill_router import context
    from quetzalsill_router.durable import entry as durable_entry

__all__ = ['recover', 'release_superseded']

LOST_CODE = 'shutting_down'


async def recover(ctx: context.Context, entry: durable_entry.Entry) -> None:
    """Settles an entry that was taken over.

    A durable request is served to its end. The caller of any other request
    lost its connection with the router: the request is settled with the
    outcome of its run, so that a repeat of its key gets that outcome. It is
    never started.
    """
    event.note(
        event.RequestTakenOver(
            request=entry.request,
            durable=entry.durable,
            had_run=entry.run is not None,
        )
    )
    if not entry.durable and entry.run is None:
        await ctx.journal.settle(entry, _not_run())
        return
    cfg = ctx.holder.current
    profile = cfg.profiles.get(entry.profile) or model.Profile()
    work = journaling.work_from_entry(entry, profile)
    if not entry.durable:
        work.recover_only = True
        settle_s = ctx.settings.requests.settle_s
        work.deadline = time.monotonic() + settle_s
    active = serve.start_detached(ctx, work)
    await active.task


def release_superseded(ctx: context.Context) -> None:
    """Ends the requests here that another router has taken over.

    Their sidecars now send to that router only. Left running here, they would
    be reported as pending until their deadlines although their answers are
    stored.
    """
    for running in ctx.active:
        entry = running.work.entry
        if entry is not None and not ctx.journal.owns(entry):
            running.supersede()


def _not_run() -> durable_answer.Answer:
    """Creates the outcome of a request that was never dispatched."""
    return durable_answer.Answer(
        code=LOST_CODE,
        detail='its router ended before it ran',
        ran=base.Ran.NO,
        status=0,
    )
