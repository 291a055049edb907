"""One generation, read whole though connections break or fall silent."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import TYPE_CHECKING

from quetzalsill.net import deadline
from quetzalsill_sidecar import error
from quetzalsill_sidecar.upstream import engine as engine_lib
from quetzalsill_sidecar.upstream import sse

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzalsill_sidecar.upstream import http

__all__ = ['Timeouts', 'Generation']

BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 1.0
ERROR_BODY_BYTES = 4096
OK = 200
NOT_FOUND = 404
ERROR_EVENT = b'{"error"'


@dataclasses.dataclass(slots=True)
class Timeouts:
    """Waits allowed while a generation is read.

    Attributes:
      stall_s: Silence on a connection after which another is tried.
      resume_s: Time without any answer after which the engine is given up.
      refused_s: The same if every connection is refused meanwhile.
    """

    stall_s: float
    resume_s: float
    refused_s: float


class Generation:
    """Progress of one generation on the engine.

    Attributes:
      count: Events received so far.
      generation: The engine's mark of the generation; None before the
        first event. An event of another mark would splice two answers.
    """

    def __init__(
        self,
        engine: engine_lib.Engine,
        attempt: str,
        bounds: Timeouts,
        deliver: Callable[[list[bytes]], Awaitable[None]],
    ) -> None:
        """Prepares to read.

        Args:
          engine: The engine.
          attempt: Id under which the engine knows the generation.
          bounds: Waits allowed.
          deliver: Takes the payloads of events, in order and once each;
            may wait to slow the reading down.
        """
        self.count = 0
        self.generation: object = None
        self._engine = engine
        self._attempt = attempt
        self._bounds = bounds
        self._deliver = deliver
        self._last_answer = 0.0
        self._last_reached = 0.0
        self._pause_s = BACKOFF_FIRST_S

    async def resume(self) -> None:
        """Reads from the next event to the end, over new connections.

        Raises:
          GenerationGoneError: the engine does not know it and never will.
          GenerationUnreachableError: no answer within `resume_s`, or every
            connection refused for `refused_s`.
        """
        self._note_answer()
        while not await self._try_resume():
            self._check_reach()
            await asyncio.sleep(self._pause_s)
            self._pause_s = min(self._pause_s * 2, BACKOFF_MAX_S)

    async def _try_resume(self) -> bool:
        """Reads on over one new connection; False if that broke again."""
        try:
            async with self._engine.exchange() as conn:
                await engine_lib.write_resume(conn, self._attempt, self.count)
                await self.read(conn)
        except error.UpstreamStatusError as exc:
            if exc.status == NOT_FOUND:
                raise error.GenerationGoneError(exc.detail) from exc
            return False
        except error.UpstreamConnectError as exc:
            if not exc.refused:
                self._note_reached()
            return False
        except (error.ResponseLostError, TimeoutError):
            self._note_reached()
            return False
        return True

    def _check_reach(self) -> None:
        # A dead process is told from a lost path: its host refuses at once.
        # Waiting as long as for a path would leave the caller stalled.
        now = asyncio.get_running_loop().time()
        if now - self._last_answer >= self._bounds.resume_s:
            bound_s = self._bounds.resume_s
        elif now - self._last_reached >= self._bounds.refused_s:
            bound_s = self._bounds.refused_s
        else:
            return
        raise error.GenerationUnreachableError(f'no answer in {bound_s} s')

    async def read(self, conn: http.Connection) -> None:
        """Reads from a connection on which the request was written.

        Raises:
          ResponseLostError: the stream broke; `resume` may carry on.
          UpstreamStatusError: the engine would not.
          GenerationGoneError: the engine gave the generation up, or goes on
            with another one.
          TimeoutError: the stream fell silent; `resume` may carry on.
        """
        async with deadline.timeout(self._bounds.stall_s):
            head = await conn.read_head()
            if head.status != OK:
                body = await conn.read_all(ERROR_BODY_BYTES)
                raise error.UpstreamStatusError(head.status, body)
        self._note_answer()
        parser = sse.EventParser()
        checked = False
        while True:
            # A connection that something on the way has lost track of looks
            # like a slow engine: no data, no error. Silence beyond the bound
            # ends this one, and the next carries on at the same event.
            async with deadline.timeout(self._bounds.stall_s):
                data = await conn.read_data()
            if not data:
                raise error.ResponseLostError('stream ended before its mark')
            self._note_answer()
            events = parser.feed(data)
            last = events[-1] if events else b''
            done = last == sse.DONE
            failed = last.startswith(ERROR_EVENT)
            items = events[:-1] if done or failed else events
            if items and not checked:
                self._check_seam(items[0])
                checked = True
            if items:
                self.count += len(items)
                await self._deliver(items)
            if failed:
                raise error.GenerationGoneError(last.decode('utf-8', 'replace'))
            if done:
                return

    def _check_seam(self, event: bytes) -> None:
        """Checks that a new connection goes on where the last one ended.

        Raises:
          ResponseLostError: the event is not the next one.
          GenerationGoneError: the event is of another generation.
        """
        fields = _fields(event)
        generation = fields.get('generation')
        if self.generation is None:
            self.generation = generation
        if generation != self.generation:
            raise error.GenerationGoneError(
                f'generation {self.generation} was replaced by {generation}'
            )
        index = fields.get('index')
        if index is not None and index != self.count:
            raise error.ResponseLostError(f'event {index}, not {self.count}')

    def _note_answer(self) -> None:
        self._note_reached()
        self._last_answer = self._last_reached
        self._pause_s = BACKOFF_FIRST_S

    def _note_reached(self) -> None:
        """Notes that connections are not simply refused."""
        self._last_reached = asyncio.get_running_loop().time()


def _fields(event: bytes) -> dict[str, object]:
    try:
        fields = json.loads(event)
    except ValueError as exc:
        raise error.ResponseLostError(f'event is no JSON: {exc}') from exc
    return fields if isinstance(fields, dict) else {}
