"""Stand-in of the platform's model engines, with run moves and faults."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import json
import random
import re
from collections.abc import Callable
from typing import Any

from quetzalsill_dev.users_platform import endless, pause, scripted

__all__ = ['Engine', 'Fleet', 'event', 'versions_of']

PREFIX = 'x-quetzalsill-'
EVENT_S = 0.02
# Headers by which a caller sets the number of events of a stream, and the
# probability that the engine breaks it off at an event.
EVENTS_HEADER = 'stand-in-events'
BREAK_SHARE_HEADER = 'stand-in-break-share'
TOKENS_PER_EVENT = 4
VERSION = re.compile(rb'data: [^\n/]*/\d+/([^\n]+)\n\n')
# Share of broken streams that end in the middle of an event.
PARTIAL_EVENT_SHARE = 0.3


def event(request_id: str, number: int, version: str = '') -> bytes:
    """Returns an event of a request's stream.

    Events follow from the request's id, their number and the engine's software
    version alone, so that a resumed stream can be compared with the expected
    one.
    """
    suffix = f'/{version}' if version else ''
    return f'id: {number}\ndata: {request_id}/{number}{suffix}\n\n'.encode()


def versions_of(body: bytes) -> frozenset[str]:
    """Returns the software versions that the events of a body name."""
    return frozenset(one.decode() for one in VERSION.findall(body))


@dataclasses.dataclass(slots=True)
class _Run:
    """A generation and the number of events that it has produced."""

    request_id: str
    event_count: int = 0
    running: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request that reached an engine.

    Attributes:
      at_s: Loop time.
      request_id: Id of the request.
      body: Its body.
      engine: Id of the engine.
    """

    at_s: float
    request_id: str
    body: bytes
    engine: str = ''


@dataclasses.dataclass(slots=True)
class Fleet:
    """Engines that can move runs to each other, and a record of all runs.

    Attributes:
      engines: Engines by address.
      started: Engines that ran each request from its beginning.
      running_on: Engines that currently run each request.
      concurrent: Requests that two engines ran at the same time.
      crash_body: Requests with this body crash the engine that runs them; None
        for none.
      crash_part: Requests with this part in their prompts crash it too, unless
        it is the last part; None for none.
      crash_after_s: Time from the start of the run to the crash, in seconds.
      crashed: Engines that such a request has crashed.
      crash_times_s: Loop times at which they crashed.
      crash_parts: Further parts like `crash_part`.
      part_crash_times_s: Loop times of the crashes by each part.
      on_crash: Called with each of them.
      arrivals: Requests that reached engines, in order.
      pauses: Pauses that engines have asked for.
    """

    engines: dict[str, Engine] = dataclasses.field(default_factory=dict)
    started: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    running_on: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    concurrent: set[str] = dataclasses.field(default_factory=set)
    crash_body: bytes | None = None
    crash_part: str | None = None
    crash_after_s: float = 0.06
    crashed: list[str] = dataclasses.field(default_factory=list)
    crash_times_s: list[float] = dataclasses.field(default_factory=list)
    crash_parts: set[str] = dataclasses.field(default_factory=set)
    part_crash_times_s: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    on_crash: Callable[[Engine], None] | None = None
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    pauses: list[pause.Pause] = dataclasses.field(default_factory=list)

    def crashing_part(self, call: scripted.Exchange) -> str | None:
        """Returns the part of a request's prompt that crashes engines."""
        header = call.headers.get(PREFIX + 'prompt-prefix', '')
        *shared, _ = (
            entry.partition(':')[0].strip() for entry in header.split(',')
        )
        crashing = {self.crash_part, *self.crash_parts}
        return next((one for one in shared if one in crashing), None)

    def record_crash(self, engine: Engine, part: str | None) -> None:
        """Records that a request has crashed an engine.

        Args:
          engine: The engine.
          part: Part of the request's prompt that did; None for its body.
        """
        now = asyncio.get_running_loop().time()
        self.crashed.append(engine.id)
        self.crash_times_s.append(now)
        if part is not None:
            self.part_crash_times_s.setdefault(part, []).append(now)
        if self.on_crash is not None:
            self.on_crash(engine)

    def run_started(
        self, request_id: str, engine: str, *, is_new: bool
    ) -> None:
        """Records that an engine runs a request."""
        if is_new:
            self.started.setdefault(request_id, []).append(engine)
        busy = self.running_on.setdefault(request_id, set())
        busy.add(engine)
        if len(busy) > 1:
            self.concurrent.add(request_id)

    def run_ended(self, request_id: str, engine: str) -> None:
        """Records that an engine no longer runs a request."""
        self.running_on.get(request_id, set()).discard(engine)


class Engine:
    """An engine.

    Attributes:
      id: Id of this incarnation.
      version: Version of its software, which its row and each of its events
        name; empty for neither.
      length: Number of events of a complete stream.
      event_s: Time between events, in seconds.
      leaving: Whether it reports that it is draining.
      leaves_ms: Reported time left; None if it is not reported.
      full: Whether it accepts no copies.
      copy_s: Duration of a copy, in seconds.
      final_copy_s: Duration of the copy of a stopped run, in seconds.
      abort_after: Number of the event after which it aborts a stream; None for
        never.
      break_share: Probability that it breaks a stream off at an event, at times
        in the middle of the event.
      keeps_running_s: How long it keeps running a request after it aborted the
        connection, in seconds.
      refuse: Status with which it refuses new runs as not executed; 0 to
        accept them.
      resets_at_start: Number of next requests that it resets right after their
        run has started: no part of a response is sent, and the run ends.
      ignores_copies: Whether a request that names a missing copy is run from
        the beginning. A correct engine refuses it as not executed.
      limit: Value of the header in which it names a limit; empty for none.
      leaving_header: Value of the header in which it says that it leaves; empty
        for none.
      retry_after: Value of the header in which it asks for a pause; while it is
        set, it rejects all requests with a 503.
      busy_moves: Number of next copy commands that get a 409, as if another
        copy were in progress.
      comment: Sent before each event and at the end of a stream.
      endless: Key in `endless.SHAPES` of what it sends without end in place of
        a stream; empty for streams.
      endless_interval_s: Time between the parts of that, in seconds.
      is_framed: Whether its streams are chunked; if not, they end with their
        connection.
      requests: Headers of each received request.
      reports: Number of reports that it has served.
    """

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.server = scripted.ScriptedServer(self._handle)
        self.id = name
        self.version = ''
        self.length = 10
        self.event_s = EVENT_S
        self.leaving = False
        self.leaves_ms: int | None = None
        self.full = False
        self.copy_s = 0.01
        self.final_copy_s = 0.01
        self.abort_after: int | None = None
        self.break_share = 0.0
        self.rng = random.Random(name)
        self.keeps_running_s = 0.0
        self.refuse = 0
        self.resets_at_start = 0
        self.ignores_copies = False
        self.comment = b''
        self.endless = ''
        self.endless_interval_s = 0.0
        self.is_framed = True
        self.busy_moves = 0
        self.limit = ''
        self.leaving_header = ''
        self.retry_after = ''
        self.requests: list[dict[str, str]] = []
        self.reports = 0
        self._fleet = fleet
        self._runs: dict[str, _Run] = {}
        self._copies: dict[str, _Run] = {}
        self._numbers = itertools.count(1)
        self._detached: list[asyncio.Task[None]] = []

    async def start(self, port: int = 0) -> None:
        """Starts to accept connections on a port; 0 for any."""
        await self.server.start(port)
        self._fleet.engines[self.server.address_text] = self

    async def crash(self) -> None:
        """Resets all connections and discards all runs."""
        await self.server.stop()
        for run in self._runs.values():
            run.running = False
            self._fleet.run_ended(run.request_id, self.id)
        self._runs.clear()

    def entry(self, service: str, zone: str) -> dict[str, Any]:
        """Returns its row for the table of servers."""
        row = {
            'service': service,
            'address': self.server.address_text,
            'zone': zone,
            'slots': 24,
            'state': 'draining' if self.leaving else 'ready',
        }
        return row | ({'version': self.version} if self.version else {})

    async def _handle(self, call: scripted.Exchange) -> None:
        if call.path == '/-/report':
            self._report(call)
        elif call.path == '/-/kv-move':
            await self._move(call)
        elif call.path.startswith('/-/kv-handle/'):
            self._copies.pop(call.path.rpartition('/')[2], None)
            call.respond(200)
        else:
            await self._generate(call)

    def _report(self, call: scripted.Exchange) -> None:
        self.reports += 1
        runs = [
            [
                run.request_id,
                100 + run.event_count * TOKENS_PER_EVENT,
                run.event_count,
                5,
            ]
            for run in self._runs.values()
            if run.running
        ]
        body = {
            'queued': 0,
            'active': len(runs),
            'kvUsed': sum(run[1] for run in runs),
            'kvTotal': 30000,
            'state': 'draining' if self.leaving else 'ready',
            'runs': runs,
        }
        if self.leaves_ms is not None:
            body['leaves_ms'] = self.leaves_ms
        call.respond(200, json.dumps(body).encode())

    async def _move(self, call: scripted.Exchange) -> None:
        command = json.loads(call.body)
        run = self._runs.get(command['id'])
        if run is None or not run.running:
            call.respond(404)
            return
        if self.busy_moves:
            self.busy_moves -= 1
            call.respond(409)
            return
        if command.get('last'):
            run.running = False
            self._fleet.run_ended(run.request_id, self.id)
        await asyncio.sleep(
            self.final_copy_s if command.get('last') else self.copy_s
        )
        target = self._fleet.engines.get(command['target'])
        handle = f'h{next(self._numbers)}-{self.id}'
        body = {'handle': handle, 'created': run.event_count}
        copy = _Run(run.request_id, run.event_count)
        has_room = target is not None and not target.full
        if command.get('last'):
            self._copies[handle] = copy
        if has_room:
            target._copies[handle] = copy
        call.respond(200 if has_room else 503, json.dumps(body).encode())

    async def _generate(self, call: scripted.Exchange) -> None:
        self.requests.append(call.headers)
        request_id = call.headers[PREFIX + 'attempt-id']
        now = asyncio.get_running_loop().time()
        self._fleet.arrivals.append(
            Arrival(now, request_id, call.body, self.id)
        )
        echo = {PREFIX + 'attempt-id': request_id} | self._state_headers()
        if call.headers.get(PREFIX + 'expect-instance') != self.id:
            call.respond(421, headers={PREFIX + 'instance-id': self.id})
            return
        if self.refuse or self.retry_after:
            headers = echo | {PREFIX + 'not-executed': '1'}
            if self.retry_after:
                headers['retry-after'] = self.retry_after
                for_s = float(self.retry_after)
                self._fleet.pauses.append(
                    pause.Pause(self.id, now, request_id, for_s)
                )
            call.respond(self.refuse or 503, headers=headers)
            return
        source = call.headers.get('kv-from')
        backup = call.headers.get(PREFIX + 'kv-backup')
        after = int(call.headers.get('last-event-id', 0))
        is_new = source is None
        if source is not None and not self._take_copy(source, request_id):
            if not self.ignores_copies:
                call.respond(503, headers=echo | {PREFIX + 'not-executed': '1'})
                return
            after, is_new = 0, True
        await self._stream(
            call, request_id, after, is_new=is_new, backup=backup
        )

    def _state_headers(self) -> dict[str, str]:
        headers = {
            'server-limit': self.limit,
            'server-leaving': self.leaving_header,
        }
        return {name: value for name, value in headers.items() if value}

    def _take_copy(self, source: str, request_id: str) -> bool:
        """Consumes the copy that a request names; False if it isn't held."""
        copy = self._copies.pop(source.rpartition('/')[2], None)
        return copy is not None and copy.request_id == request_id

    async def _stream(
        self,
        call: scripted.Exchange,
        request_id: str,
        after: int,
        *,
        is_new: bool,
        backup: str | None,
    ) -> None:
        run = self._runs[request_id] = _Run(request_id, after)
        length = int(call.headers.get(EVENTS_HEADER, self.length))
        break_share = float(
            call.headers.get(BREAK_SHARE_HEADER, self.break_share)
        )
        self._fleet.run_started(request_id, self.id, is_new=is_new)
        part = self._fleet.crashing_part(call)
        if part is not None or call.body == self._fleet.crash_body:
            self._detached.append(asyncio.create_task(self._crash_soon(part)))
        if self.resets_at_start:
            self.resets_at_start -= 1
            run.running = False
            self._fleet.run_ended(request_id, self.id)
            call.abort()
            return
        head = {
            PREFIX + 'attempt-id': request_id,
            PREFIX + 'server-stamp': f'{self.id}.{request_id}',
            'Content-Type': 'text/event-stream',
        }
        if self.endless:
            await self._send_endless(call, head, run)
            return
        if self.is_framed:
            head['Transfer-Encoding'] = 'chunked'
        call.send_head(200, head | self._state_headers())
        try:
            while run.running and run.event_count < length and call.is_open:
                await asyncio.sleep(self.event_s)
                if not run.running:
                    break
                run.event_count += 1
                self._update_backup(run, backup)
                data = self.comment + event(
                    request_id, run.event_count, self.version
                )
                if self.is_framed:
                    call.send_chunk(data)
                else:
                    call.writer.write(data)
                if self.rng.random() < break_share:
                    if self.rng.random() < PARTIAL_EVENT_SHARE:
                        call.send_chunk(b'id: 999\nda')
                    await call.writer.drain()
                    call.abort()
                    return
                if run.event_count == self.abort_after:
                    call.writer.write(b'10\r\nid: 999\nda')
                    await call.writer.drain()
                    call.abort()
                    return
            if self.comment and run.running and self.is_framed:
                call.send_chunk(self.comment)
            if run.running and self.is_framed:
                call.send_chunk(b'')
            else:
                await call.writer.drain()
                call.writer.close()
        finally:
            if run.event_count == self.abort_after and self.keeps_running_s:
                self._detached.append(
                    asyncio.create_task(self._keep_running(run))
                )
            else:
                run.running = False
                self._fleet.run_ended(request_id, self.id)

    async def _send_endless(
        self, call: scripted.Exchange, head: dict[str, str], run: _Run
    ) -> None:
        lines = [f'{name}: {value}\r\n' for name, value in head.items()]
        try:
            await endless.write(
                call.writer,
                self.endless,
                ''.join(lines).encode(),
                self.endless_interval_s,
            )
        finally:
            run.running = False
            self._fleet.run_ended(run.request_id, self.id)

    async def _crash_soon(self, part: str | None) -> None:
        await asyncio.sleep(self._fleet.crash_after_s)
        if self.id not in self._fleet.crashed:
            self._fleet.record_crash(self, part)
            await self.crash()

    def _update_backup(self, run: _Run, address: str | None) -> None:
        """Updates the copy of a run on its backup engine."""
        target = self._fleet.engines.get(address)
        if target is not None and not target.full:
            target._copies[run.request_id] = _Run(
                run.request_id, run.event_count
            )

    async def _keep_running(self, run: _Run) -> None:
        """Keeps a run active without its connection, until it is stopped."""
        end_s = asyncio.get_running_loop().time() + self.keeps_running_s
        while run.running and asyncio.get_running_loop().time() < end_s:  # noqa: ASYNC110
            await asyncio.sleep(EVENT_S)
        run.running = False
        self._fleet.run_ended(run.request_id, self.id)
