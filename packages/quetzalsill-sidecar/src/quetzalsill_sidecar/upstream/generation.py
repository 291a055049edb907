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

__all__ = ['Generation', 'Timeouts']

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
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
      received: Events received so far.
      generation: The engine's mark of the generation; None before the
        first event. An event of another mark would splice two answers.
    """

    def __init__(
        self,
        engine: engine_lib.Engine,
        attempt: str,
        timeouts: Timeouts,
        deliver: Callable[[list[bytes]], Awaitable[None]],
    ) -> None:
        """Prepares to read.

        Args:
          engine: The engine.
          attempt: Id under which the engine knows the generation.
          timeouts: Waits allowed.
          deliver: Takes the payloads of events, in order and once each;
            may wait to slow the reading down.
        """
        self.received = 0
        self.generation: object = None
        self._engine = engine
        self._attempt = attempt
        self._timeouts = timeouts
        self._deliver = deliver
        self._last_response = 0.0
        self._last_contact = 0.0
        self._backoff_s = INITIAL_BACKOFF_S

    async def resume(self) -> None:
        """Reads from the next event to the end, over new connections.

        Raises:
          GenerationGoneError: the engine does not know it and never will.
          GenerationUnreachableError: no answer within `resume_s`, or every
            connection refused for `refused_s`.
        """
        self._record_response()
        while not await self._try_resume():
            self._check_timeouts()
            await asyncio.sleep(self._backoff_s)
            self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    async def _try_resume(self) -> bool:
        """Reads on over one new connection; False if that broke again."""
        try:
            async with self._engine.exchange() as conn:
                await engine_lib.write_resume(
                    conn, self._attempt, self.received
                )
                await self.read(conn)
        except error.AnswerRejectedError as exc:
            if exc.status == NOT_FOUND:
                raise error.GenerationGoneError(exc.detail) from exc
            return False
        except error.UpstreamConnectError as exc:
            if not exc.refused:
                self._record_contact()
            return False
        except (error.AnswerLostError, TimeoutError):
            self._record_contact()
            return False
        return True

    def _check_timeouts(self) -> None:
        # A dead process is told from a lost path: its host refuses at once.
        # Waiting as long as for a path would leave the caller stalled.
        now = asyncio.get_running_loop().time()
        if now - self._last_response >= self._timeouts.resume_s:
            timeout_s = self._timeouts.resume_s
        elif now - self._last_contact >= self._timeouts.refused_s:
            timeout_s = self._timeouts.refused_s
        else:
            return
        raise error.GenerationUnreachableError(f'no answer in {timeout_s} s')

    async def read(self, conn: http.Connection) -> None:
        """Reads from a connection on which the request was written.

        Raises:
          AnswerLostError: the stream broke; `resume` may carry on.
          AnswerRejectedError: the engine would not.
          GenerationGoneError: the engine gave the generation up, or goes on
            with another one.
          TimeoutError: the stream fell silent; `resume` may carry on.
        """
        async with deadline.timeout(self._timeouts.stall_s):
            head = await conn.read_head()
            if head.status != OK:
                body = await conn.read_all(ERROR_BODY_BYTES)
                raise error.AnswerRejectedError(head.status, body)
        self._record_response()
        parser = sse.EventParser()
        checked = False
        while True:
            # A connection that something on the way has lost track of looks
            # like a slow engine: no data, no error. Silence beyond the bound
            # ends this one, and the next carries on at the same event.
            async with deadline.timeout(self._timeouts.stall_s):
                data = await conn.read_data()
            if not data:
                raise error.AnswerLostError('stream ended before its mark')
            self._record_response()
            events = parser.feed(data)
            last = events[-1] if events else b''
            done = last == sse.DONE
            failed = last.startswith(ERROR_EVENT)
            items = events[:-1] if done or failed else events
            if items and not checked:
                self._check_continuity(items[0])
                checked = True
            if items:
                self.received += len(items)
                await self._deliver(items)
            if failed:
                raise error.GenerationGoneError(last.decode('utf-8', 'replace'))
            if done:
                return

    def _check_continuity(self, event: bytes) -> None:
        """Checks that a new connection goes on where the last one ended.

        Raises:
          AnswerLostError: the event is not the next one.
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
        if index is not None and index != self.received:
            raise error.AnswerLostError(f'event {index}, not {self.received}')

    def _record_response(self) -> None:
        self._record_contact()
        self._last_response = self._last_contact
        self._backoff_s = INITIAL_BACKOFF_S

    def _record_contact(self) -> None:
        """Notes that connections are not simply refused."""
        self._last_contact = asyncio.get_running_loop().time()


def _fields(event: bytes) -> dict[str, object]:
    try:
        fields = json.loads(event)
    except ValueError as exc:
        raise error.AnswerLostError(f'event is no JSON: {exc}') from exc
    return fields if isinstance(fields, dict) else {}
