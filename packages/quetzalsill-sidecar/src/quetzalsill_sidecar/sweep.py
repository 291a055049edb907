"""Ends what has run out of time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill.net import ticker
from quetzalsill.wire import message
from quetzalsill_sidecar.attempt import state

if TYPE_CHECKING:
    from quetzalsill_sidecar import parts
    from quetzalsill_sidecar import settings as settings_lib

__all__ = ['run', 'sweep']

INTERVAL_S = 0.1
EXPIRY_S = 5.0
WAITING = (state.Stage.RECEIVED, state.Stage.QUEUED)


async def run(sidecar: parts.Parts) -> None:
    """Sweeps for ever."""
    clock = asyncio.get_running_loop().time
    expiry = clock()
    turns = ticker.Ticker()
    while True:
        # A router may have taken work over during a pause.
        if not await turns.wait(INTERVAL_S):
            continue
        sweep(sidecar, clock())
        if clock() >= expiry:
            expiry = clock() + EXPIRY_S
            sidecar.attempts.tombstones.expire()


def sweep(sidecar: parts.Parts, now: float) -> None:
    """Ends what is past its bound at `now`, and lets the queue move."""
    for attempt in sidecar.attempts:
        _sweep_attempt(sidecar, attempt, now)
    sidecar.intake.pump()


def _sweep_attempt(
    sidecar: parts.Parts, attempt: state.Attempt, now: float
) -> None:
    timing = sidecar.settings.timing
    if attempt.stage is state.Stage.ENDED:
        # A slow caller may still take it item by item over a live link; it
        # would see its answer break off long after the engine was done.
        being_taken = attempt.link is not None and now < attempt.deadline
        if now - attempt.ended >= timing.retention_s and not being_taken:
            sidecar.attempts.forget(attempt)
    elif attempt.stage in WAITING:
        _sweep_waiting(sidecar, attempt, now, timing)
    elif attempt.link is None and now - attempt.detached >= attempt.orphan_s:
        # Its router is gone or has given it up; nobody would take the
        # answer, and its memory on the engine is needed. Nobody has cancelled
        # it: whoever takes it over later may run it again if that is allowed.
        sidecar.intake.stop(attempt, request_error.UpstreamFailedError.code)


def _sweep_waiting(
    sidecar: parts.Parts,
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
    lost_s = now - attempt.detached if attempt.link is None else 0.0
    if lost_s >= timing.queued_orphan_s:
        sidecar.queue.remove(attempt.id)
        sidecar.attempts.end(attempt, message.Withdrawn(attempt.id))
