"""Periodically ends attempts whose time has run out."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill.net import ticker
from quetzalsill.wire import message
from quetzalsill_sidecar.attempt import state

if TYPE_CHECKING:
    from quetzalsill_sidecar import context
    from quetzalsill_sidecar import settings as settings_lib

__all__ = ['run', 'sweep']

SWEEP_INTERVAL_S = 0.1
TOMBSTONE_EXPIRY_INTERVAL_S = 5.0
UNSTARTED_STAGES = (state.Stage.RECEIVED, state.Stage.QUEUED)


async def run(sidecar: context.SidecarContext) -> None:
    """Sweeps periodically until cancelled."""
    clock = asyncio.get_running_loop().time
    next_expiry = clock()
    ticks = ticker.Ticker()
    while True:
        # After a pause of this process, sweep one interval later: a router may
        # have taken over work in the meantime, and its messages come first.
        if not await ticks.wait(SWEEP_INTERVAL_S):
            continue
        sweep(sidecar, clock())
        if clock() >= next_expiry:
            next_expiry = clock() + TOMBSTONE_EXPIRY_INTERVAL_S
            sidecar.attempts.tombstones.expire()


def sweep(sidecar: context.SidecarContext, now: float) -> None:
    """Ends attempts that have expired at `now`, and runs the queue."""
    for attempt in sidecar.attempts:
        _sweep_attempt(sidecar, attempt, now)
    sidecar.intake.pump()


def _sweep_attempt(
    sidecar: context.SidecarContext, attempt: state.Attempt, now: float
) -> None:
    timing = sidecar.settings.timing
    if attempt.stage is state.Stage.ENDED:
        # A slow caller may still be reading the answer over a live link; its
        # answer would be cut off long after the engine has finished.
        is_being_read = attempt.link is not None and now < attempt.deadline
        if now - attempt.ended >= timing.retention_s and not is_being_read:
            sidecar.attempts.forget(attempt)
    elif attempt.stage in UNSTARTED_STAGES:
        _sweep_waiting(sidecar, attempt, now, timing)
    elif attempt.link is None and now - attempt.detached >= attempt.orphan_s:
        # The router is gone or has abandoned the attempt, and the memory on
        # the engine is needed. It counts as failed, not as cancelled: a router
        # that takes the request over later may run it again if allowed.
        sidecar.intake.stop(attempt, request_error.UpstreamFailedError.code)


def _sweep_waiting(
    sidecar: context.SidecarContext,
    attempt: state.Attempt,
    now: float,
    timing: settings_lib.Timing,
) -> None:
    if now >= min(attempt.deadline, attempt.queue_deadline):
        wait_s = sidecar.queue.expected_wait_s(0)
        sidecar.intake.stop(
            attempt, request_error.OverloadedError.code, round(wait_s * 1000)
        )
        return
    detached_s = now - attempt.detached if attempt.link is None else 0.0
    if detached_s >= timing.queued_orphan_s:
        sidecar.queue.remove(attempt.id)
        sidecar.attempts.end(attempt, message.Withdrawn(attempt.id))
