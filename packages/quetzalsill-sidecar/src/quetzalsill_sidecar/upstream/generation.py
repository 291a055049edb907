"""Reads one generation to its end across broken or stalled connections."""

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
    """Timeouts while a generation is read, in seconds.

    Attributes:
      stall_s: Time without data on a connection before a new one is opened.
      resume_s: Time without any response before the engine is given up.
      refused_s: The same while every connection is refused.
    """

    stall_s: float
    resume_s: float
    refused_s: float


class Generation:
    """Progress of one generation on the engine.

    Attributes:
      received: Events received so far.
      generation: The engine's id of the generation; None before the first
        event. Events of two generations must not be joined into one response.
    """

    def __init__(
        self,
        engine: engine_lib.Engine,
        attempt: str,
        timeouts: Timeouts,
        deliver: Callable[[list[bytes]], Awaitable[None]],
    ) -> None:
        """Prepares to read a generation.

        Args:
          engine: The engine.
          attempt: Id under which the engine knows the generation.
          timeouts: Timeouts while reading.
          deliver: Called with the payloads of events, in order and once
            each; may block to slow down the reading.
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
          GenerationGoneError: the engine does not have it and never will.
          GenerationUnreachableError: no response within `resume_s`, or every
            connection refused for `refused_s`.
        """
        self._record_response()
        while not await self._try_resume():
            self._check_timeouts()
            await asyncio.sleep(self._backoff_s)
            self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    async def _try_resume(self) -> bool:
        """Resumes over one new connection; False if that broke too."""
        try:
            async with self._engine.exchange() as conn:
                await engine_lib.write_resume(
                    conn, self._attempt, self.received
                )
                await self.read(conn)
        except error.UpstreamStatusError as exc:
            if exc.status == NOT_FOUND:
                raise error.GenerationGoneError(exc.detail) from exc
            return False
        except error.UpstreamConnectError as exc:
            if not exc.refused:
                self._record_contact()
            return False
        except (error.ResponseLostError, TimeoutError):
            self._record_contact()
            return False
        return True

    def _check_timeouts(self) -> None:
        # The host of a dead process refuses connections at once, unlike a
        # broken network path. Waiting as long as for a path would stall the
        # caller for no reason.
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
          ResponseLostError: the stream broke; `resume` may continue.
          UpstreamStatusError: the engine refused.
          GenerationGoneError: the engine gave up the generation, or continues
            with another one.
          TimeoutError: the stream stalled; `resume` may continue.
        """
        async with deadline.timeout(self._timeouts.stall_s):
            head = await conn.read_head()
            if head.status != OK:
                body = await conn.read_all(ERROR_BODY_BYTES)
                raise error.UpstreamStatusError(head.status, body)
        self._record_response()
        parser = sse.EventParser()
        checked = False
        while True:
            # If a device on the path drops the state of a connection, it looks
            # like a slow engine: no data and no error. After `stall_s` it is
            # given up, and the next one resumes at the same event.
            async with deadline.timeout(self._timeouts.stall_s):
                data = await conn.read_data()
            if not data:
                raise error.ResponseLostError('stream ended before its mark')
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
        """Checks that a new connection continues where the last one ended.

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
        if index is not None and index != self.received:
            raise error.ResponseLostError(f'event {index}, not {self.received}')

    def _record_response(self) -> None:
        self._record_contact()
        self._last_response = self._last_contact
        self._backoff_s = INITIAL_BACKOFF_S

    def _record_contact(self) -> None:
        """Records that the engine's host does not refuse connections."""
        self._last_contact = asyncio.get_running_loop().time()


def _fields(event: bytes) -> dict[str, object]:
    try:
        fields = json.loads(event)
    except ValueError as exc:
        raise error.ResponseLostError(f'event is no JSON: {exc}') from exc
    return fields if isinstance(fields, dict) else {}
