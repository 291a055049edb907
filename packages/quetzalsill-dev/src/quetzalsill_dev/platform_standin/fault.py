"""Faults of the stand-in, put between HTTP server and application."""

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
LONGEST_QUEUE_S = 1.0


@dataclasses.dataclass(slots=True)
class Switches:
    """What is wrong with the platform at present.

    Attributes:
      down: Every call is answered 503.
      reset: Every call has its connection reset unanswered.
      silent: Every call is read and never answered.
      slow_s: Wait before a call takes effect.
      lose_answers: Number of writes to come that take effect and whose
        connection is then reset.
      lose_only: Answers are lost only of writes whose body holds this text.
      mute_open: Connections open now are never answered again while new ones
        work; an action, not a state.
      writes_per_s: Bound on writes; 0 for none.
      reads_per_s: Bound on reads; 0 for none.
      lag_s: Wait until a change of the host list is seen.
    """

    down: bool = False
    reset: bool = False
    silent: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_only: str = ''
    mute_open: bool = False
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    lag_s: float = 0.0


class Faults:
    """ASGI application that spoils the calls to another one."""

    def __init__(self, inner: Callable[..., Awaitable[None]]) -> None:
        self.switches = Switches()
        self.counts: collections.Counter[str] = collections.Counter()
        self._inner = inner
        self._seen: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        self._muted: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        self._next_free = {'read': 0.0, 'write': 0.0}

    def mute_open(self) -> None:
        """Makes the connections that are open now silent for good."""
        self._muted.update(self._seen)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one ASGI event scope."""
        if scope['type'] != 'http' or scope['path'] in SWITCH_PATHS:
            await self._inner(scope, receive, send)
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
        # Read first: a caller who gives up must not stop the effect.
        events = await _read_all(receive)
        receive = _replay(events, receive)
        if self.switches.down or not await self._take_turn(scope):
            self.counts['refused'] += 1
            await _unavailable(send)
            return
        await asyncio.sleep(self.switches.slow_s)
        if self._loses(scope, events):
            self.switches.lose_answers -= 1
            self.counts['lost'] += 1
            await self._inner(scope, receive, _discard)
            await _abort(send.__self__.transport, receive)
            return
        await self._inner(scope, receive, send)

    def _loses(self, scope: Any, events: list[Any]) -> bool:
        if scope['method'] not in WRITE_METHODS:
            return False
        body = b''.join(event.get('body', b'') for event in events)
        wanted = self.switches.lose_only.encode() in body
        return wanted and self.switches.lose_answers > 0

    async def _take_turn(self, scope: Any) -> bool:
        kind = 'write' if scope['method'] in WRITE_METHODS else 'read'
        rate = getattr(self.switches, f'{kind}s_per_s')
        if not rate:
            return True
        now = time.monotonic()
        turn = max(now, self._next_free[kind])
        if turn - now > LONGEST_QUEUE_S:
            return False
        self._next_free[kind] = turn + 1 / rate
        await asyncio.sleep(turn - now)
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

    async def again() -> Any:
        return next(read, None) or await receive()

    return again


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
