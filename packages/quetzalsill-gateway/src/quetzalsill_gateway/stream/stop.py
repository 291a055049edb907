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

__all__ = ['Stopped', 'stop']

# For so long the caller of a run waits for word of its engine. It would rather
# have a pause than half an answer.
ANSWER_S = 1.5
# Between two orders, doubled each time: small at first against the time of a
# copy, which is what a refused order waits for.
FIRST_PAUSE_S = 0.01
# So many connections in a row that nobody answers are no lost packet.
UNANSWERED = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Stopped:
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
) -> Stopped:
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
    end_s = attempt.now() + ANSWER_S
    pause_s = FIRST_PAUSE_S
    move = dialect_lib.Move()
    has_refused = False
    unanswered = 0
    while (left_s := end_s - attempt.now()) > 0:
        order = asyncio.ensure_future(calls.move(engine, request, target, True))
        try:
            # Unlike a timeout, this takes an answer that has come by the time
            # at which a paused process wakes to the end of its patience.
            await asyncio.wait({order}, timeout=left_s)
            if not order.done():
                break
            move = order.result()
            has_refused |= move.refused
        except error.EndedError as exc:
            move = dialect_lib.Move(refused=True, code=exc.code)
        except error.UnansweredError as exc:
            unanswered += 1
            is_gone = unanswered >= UNANSWERED and not has_refused
            move = dialect_lib.Move(refused=not is_gone, code=exc.code)
            if is_gone:
                return Stopped(at_most_once.RunState.UNREACHED, move)
        except error.ConnectError as exc:
            move = dialect_lib.Move(refused=has_refused, code=exc.code)
            if not has_refused:
                return Stopped(at_most_once.RunState.UNREACHED, move)
        except error.CallError as exc:
            move = dialect_lib.Move(refused=True, code=exc.code)
        finally:
            order.cancel()
        if move.handle:
            return Stopped(at_most_once.RunState.STOPPED, move)
        if not move.refused:
            return Stopped(at_most_once.RunState.ENDED, move)
        await asyncio.sleep(pause_s)
        pause_s *= 2
    return Stopped(at_most_once.RunState.AT_WORK, move)
