"""Asks engines themselves while nobody else tells which of them leave.

An engine that is taken away says so to the membership source, and to whoever
asks it. While the source is away its notice reaches nobody, and all runs on it
would be lost when it goes. Each question has its price, so that they are asked
only then, and only of engines that work for this gateway. Where the source is
away for some gateways only, those that it serves tell the rest.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_gateway import event
from quetzalsill_gateway.http import error

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['watch']

# An engine goes 1.5 s after its notice at the soonest, and its report is half
# a second old; asked this often, a second is left to move its runs.
EVERY_S = 0.25
# With nothing told for this long the source is away for all: a call that waits
# for a change is answered sooner (`watch.membership.WAIT_S`).
UNTOLD_S = 0.6


async def watch(core: core_lib.Core) -> None:
    """Asks while the membership source is away; runs until cancelled."""
    while True:
        await core.health.wait_until_down()
        if core.upstreams.age_s > UNTOLD_S:
            engines = [
                found for found in core.upstreams.all() if core.live.of(found)
            ]
            await asyncio.gather(*(_ask(core, engine) for engine in engines))
        await asyncio.sleep(EVERY_S)


async def _ask(core: core_lib.Core, engine: upstream_lib.Upstream) -> None:
    if engine.leaving:
        return
    try:
        report = await core.calls.report(engine)
    except error.CallError as exc:
        event.note(event.ReportFailed(engine.id, exc.code))
        return
    if not core.upstreams.confirm_incarnation(engine, report.incarnation):
        return
    core.pages.page(engine).note_leaving(report.leaves_s)
    if report.leaving:
        core.upstreams.leave(engine, 'report')
