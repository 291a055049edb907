"""Stand-ins of the platform: its store, servers and clients.

They run in one process, and the gateways run as separate processes with the
command of the deploy file. Everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from typing import Any, NoReturn

__all__ = [
    'Answer',
    'Client',
    'Gateway',
    'ModelServer',
    'Record',
    'Store',
    'configuration',
    'open_gateways',
    'route',
    'run',
]

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
PREFIX = 'x-quetzalsill-'
RESET = struct.pack('ii', 1, 0)
TOKENS_PER_EVENT = 4
BEAT_S = 1.2
BACKUP_S = 0.15
READY_TIMEOUT_S = 15.0
# Below the ports of outgoing channels.
PORTS = (20_000, 30_000)
_given_ports: set[int] = set()
ZONES = ('zone-a', 'zone-b', 'zone-c')


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._begun_s = time.monotonic()

    def note(self, text: str) -> None:
        """Writes a line with the time since the start."""
        at_s = time.monotonic() - self._begun_s
        self._file.write(f'{at_s:8.3f} {text}\n')
        self._file.flush()


@dataclasses.dataclass(slots=True)
class Call:
    """A request that a stand-in has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]

    def head(self, status: int, headers: dict[str, Any]) -> None:
        """Writes a status line and headers."""
        lines = [f'HTTP/1.1 {status} Status']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        self.writer.write('\r\n'.join([*lines, '\r\n']).encode())

    def reply(
        self,
        status: int,
        body: bytes = b'',
        headers: dict[str, Any] | None = None,
    ) -> None:
        """Writes a complete response."""
        self.head(status, (headers or {}) | {'Content-Length': len(body)})
        self.writer.write(body)

    def chunk(self, data: bytes) -> None:
        """Writes a chunk; an empty one ends the body."""
        self.writer.write(b'%x\r\n%s\r\n' % (len(data), data))

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return not self.writer.transport.is_closing()


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info('socket')
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads a first line and headers, with names in lower case."""
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = text.rstrip('\r\n').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return first, {name.strip().lower(): v.strip() for name, _, v in pairs}


class Server:
    """An HTTP/1.1 server with keep-alive.

    A thread accepts the connections, so that one beyond the limit is reset at
    once also while the event loop is busy.

    Attributes:
      limit: Connections that it accepts; it resets further ones.
      port: Port on which it listens.
    """

    def __init__(self, handler: Callable[[Call], Awaitable[None]]) -> None:
        self._handler = handler
        self._listener: socket.socket | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._open: dict[asyncio.Task, asyncio.StreamWriter] = {}
        self._lock = threading.Lock()
        self._count = 0
        self.limit: int | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """IP address and port."""
        return f'{HOST}:{self.port}'

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return self._count

    async def start(self) -> None:
        """Starts to listen on a free port."""
        self._loop = asyncio.get_running_loop()
        self._listener = socket.create_server((HOST, 0), backlog=512)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept_all, daemon=True).start()

    async def stop(self, *, resets: bool = True) -> None:
        """Stops to listen and ends all connections.

        Args:
          resets: Whether it resets them; if not, it closes them, as the kernel
            does for a process that exits.
        """
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for task, writer in list(self._open.items()):
            if resets:
                reset(writer)
            else:
                writer.close()
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    def _accept_all(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                has_room = self.limit is None or self._count < self.limit
                self._count += has_room
            if has_room:
                self._loop.call_soon_threadsafe(self._adopt, conn)
            else:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                conn.close()

    def _adopt(self, conn: socket.socket) -> None:
        self._loop.create_task(self._run(conn))

    async def _run(self, conn: socket.socket) -> None:
        reader = asyncio.StreamReader()
        transport, protocol = await self._loop.connect_accepted_socket(
            lambda: asyncio.StreamReaderProtocol(reader), conn
        )
        writer = asyncio.StreamWriter(transport, protocol, reader, self._loop)
        task = asyncio.current_task()
        self._open[task] = writer
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            await self._serve(reader, writer)
        del self._open[task]
        with self._lock:
            self._count -= 1
        if not writer.transport.is_closing():
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while not writer.transport.is_closing():
            first, headers = await read_head(reader)
            method, target, _ = first.split(' ')
            length = int(headers.get('content-length', 0))
            body = await reader.readexactly(length) if length else b''
            await self._handler(Call(method, target, headers, body, writer))
            if not writer.transport.is_closing():
                await writer.drain()


class Store:
    """The platform's store: tables of rows, with a change feed.

    Attributes:
      era: Value of `Store-Era`; None if it sends none.
    """

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.era: int | None = None
        self._version = 10
        self._rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._changed = asyncio.Event()
        self._is_down = False

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row; None removes it."""
        self._version += 1
        data = None if value is None else json.dumps(value).encode()
        self._rows[table, key] = (self._version, data)
        self._notify()

    def rows(self, table: str) -> dict[str, Any]:
        """Returns the values of a table by key."""
        return {
            key: json.loads(data)
            for (name, key), (_, data) in self._rows.items()
            if name == table and data is not None
        }

    def copy(self) -> tuple[int, dict]:
        """Returns a copy, from which `drill` restores."""
        return self._version, dict(self._rows)

    async def drill(self, copy: tuple[int, dict], away_s: float) -> None:
        """Goes away and comes back from a copy.

        What the operator and the servers wrote since is written again.
        """
        self._is_down = True
        self._notify()
        await asyncio.sleep(away_s)
        newest = self._rows
        self._version, self._rows = copy[0], dict(copy[1])
        self.era += 1
        self._is_down = False
        for (table, key), (version, data) in newest.items():
            if table in ('op', 'servers') and version > copy[0]:
                value = None if data is None else json.loads(data)
                self.put(table, key, value)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, call: Call) -> None:
        if self._is_down:
            self._reply(call, 503)
            return
        query = dict(urllib.parse.parse_qsl(call.target.partition('?')[2]))
        if call.path == '/-/rows-get':
            self._reply_rows(call, query['table'], -1, with_dropped=False)
        elif call.path == '/-/rows-feed':
            await self._feed(call, query)
        elif call.path == '/-/rows-tx':
            for row in json.loads(call.body)['writes']:
                if row['table'] in ('op', 'servers'):
                    self._reply(call, 403)
                    return
                value = json.loads(base64.b64decode(row['value']))
                self.put(row['table'], row['key'], value)
            body = json.dumps({'ver': self._version, 'nowMs': _now_ms()})
            self._reply(call, 200, body.encode())
        else:
            self._reply(call, 404)

    async def _feed(self, call: Call, query: dict[str, str]) -> None:
        after, era = int(query['after']), self.era
        end_s = time.monotonic() + int(query['waitMs']) / 1000
        while not self._is_down and self.era == era:
            if after > self._version:
                self._reply(call, 410)
                return
            left_s = end_s - time.monotonic()
            if left_s <= 0 or any(
                table == query['table'] and version > after
                for (table, _), (version, _) in self._rows.items()
            ):
                self._reply_rows(call, query['table'], after, with_dropped=True)
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
        self._reply(call, 503 if self._is_down else 410)

    def _reply_rows(
        self, call: Call, name: str, after: int, *, with_dropped: bool
    ) -> None:
        found = []
        for (table, key), (version, data) in self._rows.items():
            if table != name or version <= after:
                continue
            row = {'table': table, 'part': '', 'key': key, 'ver': version}
            if data is not None:
                found.append(row | {'value': base64.b64encode(data).decode()})
            elif with_dropped:
                found.append(row | {'tombstone': True})
        order = 'ver' if with_dropped else 'key'
        body = {
            'rows': sorted(found, key=lambda row: row[order]),
            'truncated': False,
            'ver': self._version,
            'nowMs': _now_ms(),
        }
        self._reply(call, 200, json.dumps(body).encode())

    def _reply(self, call: Call, status: int, body: bytes = b'') -> None:
        era = {} if self.era is None else {'Store-Era': self.era}
        call.reply(status, body, {'Content-Type': 'application/json'} | era)


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


@dataclasses.dataclass(slots=True)
class Run:
    """A generation at a server."""

    request_id: str
    events: int
    is_running: bool = True
    call: Call | None = None
    keeps_running: bool = False


class ModelServer:
    """A model server, with moves and backups.

    Attributes:
      log: Entries (time, server, event, request id) of all servers.
    """

    log: list[tuple[float, str, str, str]] = []
    by_address: dict[str, ModelServer] = {}
    _numbers = itertools.count(1)

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        record: Record,
        *,
        version: str = 'v1',
        zone: str = 'zone-a',
        event_s: float = 0.03,
        is_framed: bool = True,
    ) -> None:
        self.server = Server(self._handle)
        self.name = name
        self.version = version
        self.zone = zone
        self.event_s = event_s
        self.is_framed = is_framed
        self.state = 'ready'
        self.leaves_at_s: float | None = None
        self.runs: dict[str, Run] = {}
        self.copies: dict[str, int] = {}
        self._store = store
        self._service = service
        self._record = record
        self._sequence = 0
        self._beat: asyncio.Task | None = None
        self._orphans: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts to serve, and registers."""
        await self.server.start()
        self.by_address[self.server.address] = self
        self._beat = asyncio.create_task(self._beats())

    def register(self) -> None:
        """Writes the server's entry."""
        self._sequence += 1
        entry = {
            'service': self._service,
            'address': self.server.address,
            'zone': self.zone,
            'version': self.version,
            'slots': 24,
            'state': self.state,
            'warmupLeftMs': 0,
            'sequence': self._sequence,
        }
        self._store.put('servers', self.name, entry)

    async def drain(self, serves_s: float) -> None:
        """Reports that it is draining; serves for some time, then exits."""
        self.state = 'draining'
        self.leaves_at_s = time.monotonic() + serves_s
        self.register()
        self.note('draining', '-')
        await asyncio.sleep(serves_s)
        await self.end(resets=False)
        self._store.put('servers', self.name, None)

    async def crash(self, entry_expires_s: float = 3 * BEAT_S) -> None:
        """Resets all connections; the entry expires later."""
        await self.end()
        asyncio.get_running_loop().call_later(
            entry_expires_s, self._store.put, 'servers', self.name, None
        )

    async def end(self, *, resets: bool = True) -> None:
        """Ends the process, and its connections as in `Server.stop`."""
        self.note('ended', '-')
        self._beat.cancel()
        for run in self.runs.values():
            run.is_running = False
        self.runs.clear()
        for task in self._orphans:
            task.cancel()
        await self.server.stop(resets=resets)

    def note(self, what: str, request_id: str) -> None:
        """Records what happens at the server."""
        self.log.append((time.monotonic(), self.name, what, request_id))
        self._record.note(f'server {self.name} {what} {request_id}')

    def lose_answer(self, run: Run) -> None:
        """Resets the channel of a run, which goes on."""
        run.keeps_running = True
        self.note('resets the answer of', run.request_id)
        reset(run.call.writer)

    async def _beats(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(BEAT_S)

    async def _handle(self, call: Call) -> None:
        if call.path == '/-/report':
            self._report(call)
        elif call.path == '/-/kv-move':
            await self._move(call)
        elif call.path.startswith('/-/kv-handle/'):
            self.copies.pop(call.path.rpartition('/')[2], None)
            call.reply(200)
        else:
            await self._generate(call)

    def _report(self, call: Call) -> None:
        running = [run for run in self.runs.values() if run.is_running]
        body = {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'active': len(running),
            'kvUsed': sum(1000 + run.events * 4 for run in running),
            'kvTotal': 34241,
            'handles': len(self.copies),
            'state': self.state,
            'runs': [
                [run.request_id, 1000 + run.events * 4, run.events, 5]
                for run in running
            ],
        }
        if self.leaves_at_s is not None:
            left_s = max(0.0, self.leaves_at_s - time.monotonic())
            body['leaves_ms'] = int(1000 * left_s)
        call.reply(200, json.dumps(body).encode())

    async def _move(self, call: Call) -> None:
        order = json.loads(call.body)
        run = self.runs.get(order['id'])
        self.note(f'order last={order.get("last")} for', order['id'])
        if run is None or not run.is_running:
            call.reply(404)
            return
        if order.get('last'):
            self._stop(run)
        await asyncio.sleep(0.05)
        target = self.by_address.get(order['target'])
        handle = f'h{next(self._numbers)}'
        if order.get('last'):
            self.copies[handle] = run.events
        has_room = target is not None and target.server.port
        if has_room:
            target.copies[handle] = run.events
        body = {'handle': handle, 'created': run.events}
        call.reply(200 if has_room else 503, json.dumps(body).encode())

    def _stop(self, run: Run) -> None:
        run.is_running = False
        self.note('stopped', run.request_id)
        self.runs.pop(run.request_id, None)
        if run.call is not None and run.call.is_open:
            run.call.writer.close()

    async def _generate(self, call: Call) -> None:
        request_id = call.headers.get(PREFIX + 'attempt-id', '')
        expected = call.headers.get(PREFIX + 'expect-instance', self.name)
        own = {PREFIX + 'attempt-id': request_id}
        if expected != self.name:
            call.reply(421, headers=own)
            return
        source = call.headers.get('kv-from', '')
        after = int(call.headers.get('last-event-id') or 0)
        self.note(f'got kv-from={source or "-"} after={after}', request_id)
        if source:
            copied = self.copies.pop(source.rpartition('/')[2], None)
            if copied is None:
                self.note('has no copy for', request_id)
                call.reply(503, headers=own | {PREFIX + 'not-executed': 1})
                return
        run = Run(request_id, after, call=call)
        self.runs[request_id] = run
        self.note('runs', request_id)
        framing = {'Transfer-Encoding': 'chunked'} if self.is_framed else {}
        call.head(
            200,
            own
            | {
                PREFIX + 'server-stamp': f'{self.name}.{request_id}',
                'Content-Type': 'text/event-stream',
            }
            | framing,
        )
        work = asyncio.create_task(self._work(run, call))
        self._orphans.add(work)
        work.add_done_callback(self._orphans.discard)
        await asyncio.shield(work)

    def _write(self, call: Call, data: bytes) -> None:
        """Writes a part of an answer; an empty one ends it."""
        if self.is_framed:
            call.chunk(data)
        elif data:
            call.writer.write(data)
        else:
            call.writer.close()

    async def _work(self, run: Run, call: Call) -> None:
        usage = call.headers.get(PREFIX + 'token-usage', '1000,400')
        length = int(usage.partition(',')[2]) // TOKENS_PER_EVENT
        backup = self.by_address.get(call.headers.get(PREFIX + 'kv-backup', ''))
        backed_up_s = 0.0
        while run.is_running and run.events < length:
            await asyncio.sleep(self.event_s)
            if not run.is_running:
                return
            if not call.is_open and not run.keeps_running:
                break
            run.events += 1
            now = time.monotonic()
            if backup is not None and now >= backed_up_s + BACKUP_S:
                backed_up_s = now
                backup.copies[run.request_id] = run.events
            if call.is_open:
                data = f'id: {run.events}\ndata: {run.request_id}'
                text = f'{data}/{run.events}/{self.version}\n\n'
                self._write(call, text.encode())
        if run.is_running and run.events >= length:
            self.note('completed', run.request_id)
            if call.is_open:
                self._write(call, b'')
        else:
            self.note('dropped', run.request_id)
        run.is_running = False
        if self.runs.get(run.request_id) is run:
            del self.runs[run.request_id]


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client has received."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False
    ended_s: float = 0.0

    @property
    def events(self) -> list[tuple[int, str]]:
        """Numbers and server versions of its complete events."""
        found = []
        for text in self.body.decode().split('\n\n')[:-1]:
            number, data = text.split('\n')
            version = data.rpartition('/')[2]
            found.append((int(number.partition(':')[2]), version))
        return found

    @property
    def versions(self) -> set[str]:
        """Server versions of its events."""
        return {version for _, version in self.events}


class Client:
    """Sends requests, each on a new channel."""

    _numbers = itertools.count(1)

    def __init__(self, record: Record, key: str = 'key-1') -> None:
        self._record = record
        self._key = key

    async def stream(
        self,
        gateway: Gateway,
        path: str,
        *,
        events: int,
        left_ms: int,
        prompt_tokens: int = 1000,
        headers: dict[str, str] | None = None,
        answer: Answer | None = None,
        request_id: str = '',
    ) -> Answer:
        """Sends a request for a stream and reads its answer."""
        answer = answer if answer is not None else Answer()
        request_id = request_id or self.new_id()
        output = events * TOKENS_PER_EVENT
        prefix = f'aa01:{prompt_tokens - 100},{request_id}:100'
        sent = {
            'Host': 'shop.example',
            'X-Quetzalsill-Attempt-Id': request_id,
            'X-Quetzalsill-Model': 'm',
            'X-Quetzalsill-Token-Usage': f'{prompt_tokens},{output}',
            'X-Quetzalsill-Length-Hint': output,
            'X-Quetzalsill-Prompt-Prefix': prefix,
            'X-Quetzalsill-Deadline-Ms': left_ms,
            'Authorization': f'Bearer {self._key}',
            'Content-Length': 4,
        } | (headers or {})
        lines = [f'POST {path} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in sent.items()]
        data = '\r\n'.join([*lines, '\r\n']).encode() + b'work'
        note = {k: v for k, v in sent.items() if k in ('Resumes',)}
        note |= {k: v for k, v in sent.items() if k == 'Last-Event-Id'}
        self._record.note(f'client to {gateway.name} {request_id} {note}')
        writer = None
        try:
            async with asyncio.timeout(left_ms / 1000):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        HOST, gateway.port
                    )
                writer.write(data)
                await self._read(reader, answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self._record.note(f'client {request_id} got {exc!r}')
        finally:
            if writer is not None:
                writer.transport.abort()
        answer.ended_s = time.monotonic()
        self._record.note(
            f'client {request_id} answered {answer.status}'
            f' complete={answer.is_complete} events={len(answer.events)}'
            if answer.status == 200
            else f'client {request_id} answered {answer.status}'
            f' {answer.body!r} retry-after='
            f'{answer.headers.get("retry-after", "-")}'
        )
        return answer

    def new_id(self) -> str:
        """Returns a new id of a client attempt."""
        return f'{next(self._numbers):016x}'

    async def _read(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        first, headers = await read_head(reader)
        answer.status, answer.headers = int(first.split(' ')[1]), headers
        if 'content-length' in headers:
            length = int(headers['content-length'])
            answer.body = await reader.readexactly(length)
            answer.is_complete = True
            return
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                answer.is_complete = True
                return
            answer.body += data[:-2]


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(
        self, name: str, zone: str, store: Store, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.port, self._ready_port, metrics, peers = _free_ports()
        self._log = (folder / f'{name}.log').open('ab')
        self._settings = folder / f'{name}.json'
        self._process: subprocess.Popen | None = None
        self.started_s = 0.0
        settings = {
            'node': {'name': name, 'availability_zone': zone},
            'listen': f'{HOST}:{self.port}',
            'ready': f'{HOST}:{self._ready_port}',
            'ready_path': '/-/readyz',
            'store': store.server.address,
            'deployment': 'platform',
            'metrics': f'{HOST}:{metrics}',
            'peers': f'{HOST}:{peers}',
            'retry': {'ratio': 0.2, 'allowance': 58, 'window_s': 10},
            'regions': dict.fromkeys(ZONES, 'region'),
            'watch': {'configuration_ms': 2000, 'leaving_ms': 2000},
            'stop': {'grace_s': 8},
        }
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = shlex.split(deploy['roles']['gateway']['run'])
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        self.started_s = time.monotonic()
        self._process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=env
            | {
                'QUETZALSILL_BOOT': str(self._settings),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            },
            stdout=self._log,
            stderr=self._log,
        )

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    def kill(self, signum: signal.Signals = signal.SIGKILL) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signum)

    def wait(self) -> None:
        """Waits for the end of the process."""
        if self._process is not None:
            self._process.wait()

    def end(self) -> None:
        """Kills the process and waits for its end."""
        self.kill()
        self.wait()

    async def wait_until_ready(self) -> None:
        """Waits until the process is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready():
                if self._process.poll() is not None:
                    raise RuntimeError(f'{self.name} has ended')
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self._ready_port
            )
        except OSError:
            return False
        writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n')
        try:
            first, _ = await read_head(reader)
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.transport.abort()
        return first.split(' ')[1] == '200'


def _free_ports(count: int = 4) -> list[int]:
    """Returns ports that nobody uses, below those of outgoing channels."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORTS)
        if port in _given_ports or not _is_free(port):
            continue
        _given_ports.add(port)
        found.append(port)
    return found


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True


def run(
    path: pathlib.Path, play: Callable[[Record, bool], Awaitable[int]]
) -> NoReturn:
    """Plays a case and exits with its code; 2 if it couldn't run.

    Args:
      path: File for the record of the case.
      play: Plays it, with or without the disruption, and returns 1 if the rule
        was broken and 0 if it held.
    """
    record = Record(path)
    # Ends the gateways too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(play(record, os.environ.get('TROUBLE') != '0'))
    except Exception as exc:
        record.note(f'the case could not run: {exc!r}')
        traceback.print_exc()
        code = 2
    record.note(f'exit {code}')
    sys.exit(code)


def route(name: str, service: str, **more: Any) -> dict[str, Any]:
    """Returns a streaming route of the desired state."""
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': f'/{name}/',
        'routeType': 'streaming',
        'timeoutMs': 39_000,
        'targetLatencyMs': 1800,
        'priority': 1,
        'service': service,
        'maxAttempts': 1,
        'public': False,
        'sessionAffinity': True,
        'streamResume': False,
        'itlTargetMs': 180,
    } | more


def configuration(
    version: int, routes: list[dict[str, Any]], service: str
) -> dict[str, Any]:
    """Returns a desired state with one service of model servers."""
    engine = {
        'slots': 24,
        'kvCapacity': 34241,
        'kvBytes': 18432,
        'linkMbps': 2700.0,
        'moves': True,
        'backups': True,
        'stride': 4,
        'most': 12,
        'pinMs': 4000.0,
        'holdMs': 2000.0,
        'handleS': 5.0,
        'models': [{'name': 'm'}],
    }
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': service,
                'healthPath': '/healthz',
                'maxConnections': 252,
                'protocol': 'h1',
                'tls': False,
                'engine': engine,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'first', 'apiKeys': ['key-1'], 'priority': 1}],
    }


@contextlib.asynccontextmanager
async def open_gateways(
    store: Store, count: int, later: Collection[int] = ()
) -> AsyncIterator[list[Gateway]]:
    """Starts gateways, except those with some numbers; ends all on exit."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(os.environ.get('KEEP_LOGS', name))
        gateways = [
            Gateway(f'edge-{n}', ZONES[n % len(ZONES)], store, folder)
            for n in range(count)
        ]
        try:
            first = [one for n, one in enumerate(gateways) if n not in later]
            for one in first:
                one.start()
            for one in first:
                await one.wait_until_ready()
            yield gateways
        finally:
            for one in gateways:
                one.end()
