"""Stops a run at its engine, and says what is known of it then."""

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

# For so long the caller of a run waits for word of its engine. It would rather
# have a pause than half an answer.
RESPONSE_TIMEOUT_S = 1.5
# Between two orders, doubled each time: small at first against the time of a
# copy, which is what a refused order waits for.
FIRST_RETRY_DELAY_S = 0.01
# So many connections in a row that nobody answers are no lost packet.
MAX_UNANSWERED = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """What came of an order to stop a run.

    Attributes:
      state: What is known of the run at its engine.
      move: The newest answer; empty if there was none.
    """

    state: at_most_once.RunState
    move: dialect_lib.Move


async def stop(
    calls: dialect_lib.EngineCalls,
    engine: upstream_lib.Upstream,
    request: str,
    target: upstream_lib.Upstream,
) -> Result:
    """Orders an engine to stop a run, until there is word of it.

    An engine with another order for the run under way refuses, and one with
    too many connections resets this one: both are there, and may have the run.
    So does one that takes the order and is slow to answer. Only an engine that
    lets nobody connect is taken for gone, unless it has refused just before:
    at once if the connection is refused, at the second if nobody answers.

    Args:
      calls: Orders to engines.
      engine: Where the run was.
      request: Id of its request.
      target: Where its memory is to be copied.
    """
    deadline_s = attempt.now() + RESPONSE_TIMEOUT_S
    retry_delay_s = FIRST_RETRY_DELAY_S
    move = dialect_lib.Move()
    has_refused = False
    unanswered = 0
    while (remaining_s := deadline_s - attempt.now()) > 0:
        command = asyncio.ensure_future(
            calls.move(engine, request, target, True)
        )
        try:
            # Unlike a timeout, this takes an answer that has come by the time
            # at which a paused process wakes to the end of its patience.
            await asyncio.wait({command}, timeout=remaining_s)
            if not command.done():
                break
            move = command.result()
            has_refused |= move.refused
        except error.EndedError as exc:
            move = dialect_lib.Move(refused=True, code=exc.code)
        except error.UnansweredError as exc:
            unanswered += 1
            is_gone = unanswered >= MAX_UNANSWERED and not has_refused
            move = dialect_lib.Move(refused=not is_gone, code=exc.code)
            if is_gone:
                return Result(at_most_once.RunState.UNREACHED, move)
        except error.ConnectError as exc:
            move = dialect_lib.Move(refused=has_refused, code=exc.code)
            if not has_refused:
                return Result(at_most_once.RunState.UNREACHED, move)
        except error.CallError as exc:
            move = dialect_lib.Move(refused=True, code=exc.code)
        finally:
            command.cancel()
        if move.handle:
            return Result(at_most_once.RunState.STOPPED, move)
        if not move.refused:
            return Result(at_most_once.RunState.ENDED, move)
        await asyncio.sleep(retry_delay_s)
        retry_delay_s *= 2
    return Result(at_most_once.RunState.AT_WORK, move)
