"""Faults of the stand-in, as a layer between server and application."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time
import weakref
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ['Faults', 'Switches']

SWITCH_PATHS = ('/stand-in', '/stand-in/counts')
WRITE_METHODS = ('POST', 'PUT', 'DELETE')
MAX_QUEUE_S = 1.0


@dataclasses.dataclass(slots=True)
class Switches:
    """Current faults of the platform.

    Attributes:
      down: Each call gets a 503.
      reset: The connection of each call is reset without a response.
      silent: Each call is read but gets no response.
      slow_s: Delay before a call takes effect, in seconds.
      lose_answers: Number of next writes that take effect and whose connection
        is then reset.
      lose_only: Only responses to writes whose body contains this text are
        lost.
      silent_after_loss: The platform becomes silent with the last of
        `lose_answers`, before a client can retry the write.
      mute_open: Connections that are open now get no more responses while new
        ones work. This is an action, not a state.
      writes_per_s: Rate limit of writes; 0 for none.
      reads_per_s: Rate limit of reads; 0 for none.
      lag_s: Delay until a change of the host list is visible, in seconds.
    """

    down: bool = False
    reset: bool = False
    silent: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_only: str = ''
    silent_after_loss: bool = False
    mute_open: bool = False
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    lag_s: float = 0.0


class Faults:
    """ASGI application that injects faults into the calls to another one."""

    def __init__(self, app: Callable[..., Awaitable[None]]) -> None:
        self.switches = Switches()
        self.counts: collections.Counter[str] = collections.Counter()
        self._app = app
        self._seen: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        self._muted: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        self._next_free = {'read': 0.0, 'write': 0.0}

    def mute_open(self) -> None:
        """Silences the connections that are open now permanently."""
        self._muted.update(self._seen)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one ASGI event scope."""
        if scope['type'] != 'http' or scope['path'] in SWITCH_PATHS:
            await self._app(scope, receive, send)
            return
        transport = send.__self__.transport
        self._seen.add(transport)
        if self.switches.silent or transport in self._muted:
            self.counts['silent'] += 1
            await _until_disconnect(receive)
        elif self.switches.reset:
            self.counts['reset'] += 1
            await _abort(transport, receive)
        else:
            await self._serve(scope, receive, send)

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        # The body is read first: a client that disconnects must not cancel the
        # call.
        events = await _read_all(receive)
        receive = _replay(events, receive)
        if self.switches.down or not await self._wait_for_rate_limit(scope):
            self.counts['refused'] += 1
            await _unavailable(send)
            return
        await asyncio.sleep(self.switches.slow_s)
        if self._loses_response(scope, events):
            self.switches.lose_answers -= 1
            if self.switches.silent_after_loss:
                self.switches.silent = self.switches.lose_answers == 0
            self.counts['lost'] += 1
            await self._app(scope, receive, _discard)
            await _abort(send.__self__.transport, receive)
            return
        await self._app(scope, receive, send)

    def _loses_response(self, scope: Any, events: list[Any]) -> bool:
        if scope['method'] not in WRITE_METHODS:
            return False
        body = b''.join(event.get('body', b'') for event in events)
        matches = self.switches.lose_only.encode() in body
        return matches and self.switches.lose_answers > 0

    async def _wait_for_rate_limit(self, scope: Any) -> bool:
        kind = 'write' if scope['method'] in WRITE_METHODS else 'read'
        rate = getattr(self.switches, f'{kind}s_per_s')
        if not rate:
            return True
        now = time.monotonic()
        start = max(now, self._next_free[kind])
        if start - now > MAX_QUEUE_S:
            return False
        self._next_free[kind] = start + 1 / rate
        await asyncio.sleep(start - now)
        return True


async def _discard(event: Any) -> None:
    del event


async def _read_all(receive: Any) -> list[Any]:
    events = [await receive()]
    while events[-1].get('more_body'):
        events.append(await receive())
    return events


def _replay(events: list[Any], receive: Any) -> Callable[[], Awaitable[Any]]:
    read = iter(events)

    async def receive_next() -> Any:
        return next(read, None) or await receive()

    return receive_next


async def _until_disconnect(receive: Any) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass


async def _abort(transport: asyncio.Transport, receive: Any) -> None:
    transport.abort()
    await _until_disconnect(receive)


async def _unavailable(send: Any) -> None:
    head = [(b'content-type', b'application/json')]
    await send({'type': 'http.response.start', 'status': 503, 'headers': head})
    await send({'type': 'http.response.body', 'body': b'{"code":"down"}'})
