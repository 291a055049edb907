"""Stops a run at its engine and determines the resulting state of the run."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_gateway import at_most_once, attempt
from quetzalsill_gateway import dialect as dialect_lib
from quetzalsill_gateway.http import error

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['Result', 'stop']

# The caller of a run waits this long for its engine: a pause is better than an
# incomplete response.
RESPONSE_TIMEOUT_S = 1.5
# Delay between two commands, doubled each time. Short at first compared with a
# copy in progress, which is the usual reason for a refusal.
FIRST_RETRY_DELAY_S = 0.01
# This many unanswered connection attempts are not due to a lost packet.
MAX_UNANSWERED = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """Result of stopping a run.

    Attributes:
      state: Known state of the run at its engine.
      move: The latest answer; empty if there was none.
    """

    state: at_most_once.RunState
    move: dialect_lib.MoveResult


async def stop(
    calls: dialect_lib.EngineCalls,
    engine: upstream_lib.Upstream,
    request: str,
    target: upstream_lib.Upstream,
) -> Result:
    """Sends stop commands to an engine until the state of the run is known.

    An engine that is processing another command for the run refuses, and one
    with too many connections resets this one. Both are alive and may have the
    run, and so may one that accepts the command and is slow to answer. Only an
    engine that accepts no connections is considered down, unless it has refused
    a command before: immediately if the connection is refused, after the second
    attempt if it goes unanswered.

    Args:
      calls: Client for commands to engines.
      engine: Engine that had the run.
      request: Id of its request.
      target: Engine to which its KV cache is to be copied.
    """
    deadline_s = attempt.now() + RESPONSE_TIMEOUT_S
    retry_delay_s = FIRST_RETRY_DELAY_S
    move = dialect_lib.MoveResult()
    has_refused = False
    unanswered = 0
    while (remaining_s := deadline_s - attempt.now()) > 0:
        command = asyncio.ensure_future(
            calls.move(engine, request, target, True)
        )
        try:
            # Unlike `asyncio.timeout`, this still accepts an answer that has
            # arrived when a paused process resumes after the deadline.
            await asyncio.wait({command}, timeout=remaining_s)
            if not command.done():
                break
            move = command.result()
            has_refused |= move.refused
        except error.ConnectionEndedError as exc:
            move = dialect_lib.MoveResult(refused=True, code=exc.code)
        except error.ConnectTimeoutError as exc:
            unanswered += 1
            is_down = unanswered >= MAX_UNANSWERED and not has_refused
            move = dialect_lib.MoveResult(refused=not is_down, code=exc.code)
            if is_down:
                return Result(at_most_once.RunState.UNREACHED, move)
        except error.ConnectError as exc:
            move = dialect_lib.MoveResult(refused=has_refused, code=exc.code)
            if not has_refused:
                return Result(at_most_once.RunState.UNREACHED, move)
        except error.CallError as exc:
            move = dialect_lib.MoveResult(refused=True, code=exc.code)
        finally:
            command.cancel()
        if move.handle:
            return Result(at_most_once.RunState.STOPPED, move)
        if not move.refused:
            return Result(at_most_once.RunState.ENDED, move)
        await asyncio.sleep(retry_delay_s)
        retry_delay_s *= 2
    return Result(at_most_once.RunState.AT_WORK, move)
