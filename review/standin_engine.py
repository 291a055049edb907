"""A stand-in of a model server of the platform."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import standin_http as http

if TYPE_CHECKING:
    import standin_record as record

__all__ = ['Engine', 'Run', 'event', 'events_in']

PREFIX = 'x-quetzalsill-'
SLOTS = 24
KV_TOKENS = 34_308
# A step of a batch takes 7 ms, and an event holds 4 tokens.
EVENT_S = 0.028
EVENT_TOKENS = 4
PREFILL_TOKENS_PER_S = 14_000.0


def event(request_id: str, number: int) -> bytes:
    """Returns an event of a request's stream."""
    return f'id: {number}\ndata: {request_id}/{number}\n\n'.encode()


def events_in(body: bytes) -> int:
    """Returns the number of complete events in a body."""
    return body.count(b'\n\n')


@dataclasses.dataclass(slots=True)
class Run:
    """A request that an engine has taken.

    Attributes:
      request_id: Its id.
      length: Number of events of its whole stream.
      made: Number of events made.
      ended_s: Time of its end; None before.
      is_whole: Whether it was made to its end.
    """

    request_id: str
    length: int
    made: int = 0
    ended_s: float | None = None
    is_whole: bool = False


class Engine:
    """Answers each request by a stream of events.

    Attributes:
      id: Its id in the store.
      runs: All requests taken, by id.
      is_framed: Whether its streams are chunked; if not, they have no length
        and end with their connection.
      on_first_token: Called when a request begins to run; returns whether the
        engine goes on.
    """

    def __init__(
        self,
        name: str,
        length_of: Callable[[str], int],
        log: record.Record,
        *,
        is_framed: bool = True,
    ) -> None:
        self.server = http.Server(self._handle)
        self.id = name
        self.runs: dict[str, Run] = {}
        self.is_framed = is_framed
        self.on_first_token: Callable[[Engine, Run], bool] = lambda *_: True
        self._length_of = length_of
        self._log = log

    def entry(self, service: str, state: str = 'ready') -> dict[str, Any]:
        """Returns its entry for the store."""
        return {
            'service': service,
            'address': self.server.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': SLOTS,
            'state': state,
            'warmupLeftMs': 0,
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'sequence': 1,
        }

    async def _handle(self, call: http.Exchange) -> None:
        if call.target == '/-/report':
            self._report(call)
        elif call.target == '/-/kv-move':
            # It has no room for copies anywhere.
            found = self.runs.get(json.loads(call.body)['id'])
            is_running = found is not None and found.ended_s is None
            call.respond(503 if is_running else 404)
        elif call.target.startswith('/-/'):
            call.respond(404)
        else:
            await self._generate(call)

    def _report(self, call: http.Exchange) -> None:
        active = [run for run in self.runs.values() if run.ended_s is None]
        runs = [[run.request_id, 3000, run.made, 5] for run in active]
        body = {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'active': len(active),
            'kvUsed': min(KV_TOKENS, 3000 * len(active)),
            'kvTotal': KV_TOKENS,
            'handles': 0,
            'state': 'ready',
            'runs': runs,
        }
        headers = {'Content-Type': 'application/json'}
        call.respond(200, json.dumps(body).encode(), headers)

    async def _generate(self, call: http.Exchange) -> None:
        request_id = call.headers.get(PREFIX + 'attempt-id', '')
        echo = {'X-Quetzalsill-Attempt-Id': request_id}
        if call.headers.get(PREFIX + 'expect-instance') != self.id:
            call.respond(421, headers=echo)
            return
        if 'kv-from' in call.headers:
            # There is no such copy.
            refusal = echo | {'X-Quetzalsill-Not-Executed': '1'}
            call.respond(503, headers=refusal)
            return
        run = Run(request_id, self._length_of(request_id))
        self.runs[request_id] = run
        self._log.note(f'{self.id} takes {request_id}')
        try:
            await self._stream(call, run, echo)
        finally:
            run.ended_s = self._log.now()
            end = 'whole' if run.is_whole else 'cut off'
            self._log.note(
                f'{self.id} ends {request_id}: {run.made} of {run.length}'
                f' events, {end}'
            )

    async def _stream(
        self, call: http.Exchange, run: Run, echo: dict[str, str]
    ) -> None:
        head = echo | {
            'X-Quetzalsill-Server-Stamp': f'{self.id}.{run.request_id}',
            'Content-Type': 'text/event-stream',
        }
        if self.is_framed:
            head['Transfer-Encoding'] = 'chunked'
        else:
            head['Connection'] = 'close'
        call.send_head(200, head)
        usage = call.headers.get(PREFIX + 'token-usage', '0,0')
        prompt_tokens = int(usage.partition(',')[0])
        await asyncio.sleep(prompt_tokens / PREFILL_TOKENS_PER_S)
        if not self.on_first_token(self, run):
            await asyncio.Event().wait()
        after = int(call.headers.get('last-event-id', 0))
        for number in range(after + 1, run.length + 1):
            data = event(run.request_id, number)
            if self.is_framed:
                call.send_chunk(data)
            else:
                call.writer.write(data)
            run.made = number
            await call.writer.drain()
            await asyncio.sleep(EVENT_S)
        run.is_whole = True
        if self.is_framed:
            call.send_chunk(b'')
        else:
            call.close()
