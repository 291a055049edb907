"""Polls engines for shutdown notices while the membership is not confirmed.

An engine that is about to shut down reports this to the membership source and
in its own status report. During an outage of the source the notice would not
reach the gateways, and all runs on the engine would be lost when it shuts down.
Polling costs a request per engine, so it is limited to outages and to engines
with streams of this gateway. If the source is unavailable to some gateways
only, the others forward its updates to them. An outage may also be silent:
calls neither fail nor return, so the source isn't known to be down.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import upstream as upstream_lib
from quetzalsill_gateway.http import error
from quetzalsill_gateway.watch import lapsed_engines

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway import source

__all__ = ['ask', 'askers', 'run']

# An engine shuts down 1.5 s after its notice at the earliest, and its report
# may be 0.5 s old. This interval leaves about 1 s to move its runs.
POLL_INTERVAL_S = 0.25
# Without an update for longer than this, the source is down for all gateways:
# a long poll is answered sooner (`watch.membership.WAIT_S`).
MAX_UPDATE_AGE_S = 0.6


async def run(core: core_lib.Core) -> None:
    """Polls while the membership is not confirmed, until cancelled."""
    while True:
        is_down = await _wait_until_down(core.health)
        max_age_s = (
            MAX_UPDATE_AGE_S if is_down else upstream_lib.SOURCE_SILENT_S
        )
        if core.upstreams.age_s > max_age_s:
            engines = [
                upstream
                for upstream in core.upstreams.all()
                if core.live.of(upstream)
            ]
            await asyncio.gather(*(_poll(core, engine) for engine in engines))
        if is_down:
            await asyncio.sleep(POLL_INTERVAL_S)


async def _wait_until_down(health: source.Health) -> bool:
    """Waits for an outage for one interval; returns whether there is one."""
    try:
        async with asyncio.timeout(POLL_INTERVAL_S):
            await health.wait_until_down()
    except TimeoutError:
        return False
    return True


async def _poll(core: core_lib.Core, engine: upstream_lib.Upstream) -> None:
    if not engine.leaving:
        await ask(core, engine)


def askers(
    core: core_lib.Core, engine: upstream_lib.Upstream
) -> tuple[str, ...]:
    """Returns the gateways that ask an engine whose entry is missing.

    Those that have runs there; if there are none, all gateways; none if the
    upstream is no engine.
    """
    table = core.holder.current
    service = table.services.get(engine.service) if table else None
    if service is None or service.engine is None:
        return ()
    node = core.members.node
    found = core.stats_table.of(engine).gateways_with_runs(node)
    now = asyncio.get_running_loop().time()
    return tuple(found) or core.members.names(now)


async def ask(
    core: core_lib.Core, engine: upstream_lib.Upstream
) -> lapsed_engines.Answer:
    """Asks an engine for its report, and applies a notice in it."""
    try:
        report = await core.calls.report(engine)
    except error.CallError as exc:
        event.note(event.ReportFailed(engine.id, exc.code))
        return lapsed_engines.Answer(
            lapsed_engines.Outcome.NO_ANSWER, reason=exc.code
        )
    if not core.upstreams.verify_incarnation(engine, report.incarnation):
        return lapsed_engines.Answer(
            lapsed_engines.Outcome.NO_ANSWER, reason='other_incarnation'
        )
    core.stats_table.of(engine).record_time_left(report.leaving_in_s)
    if report.leaving:
        core.upstreams.mark_leaving(engine, 'report', is_shared=True)
        outcome = lapsed_engines.Outcome.LEAVING
    else:
        outcome = lapsed_engines.Outcome.SERVING
    return lapsed_engines.Answer(outcome, report.leaving_in_s)
