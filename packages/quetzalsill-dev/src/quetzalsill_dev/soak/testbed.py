"""Gateway processes of a soak run and the stand-ins around them.

Gateways are real processes. The store, plain HTTP servers and engines are
stand-ins in the soak's own process, so that it knows which requests ran. A
relay in front of each of them and of each gateway injects network faults.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import socket
from typing import TYPE_CHECKING, Any

from quetzalsill_dev import relay
from quetzalsill_dev.users_platform import engine, http_server, store

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzalsill_dev import launch

__all__ = ['Gateway', 'Testbed', 'Upstream']

PLATFORM_SCRIPT = pathlib.Path(__file__).parents[5] / 'platform' / 'run.py'
EPHEMERAL_ADDRESS = '127.0.0.1:0'
# Nothing listens there.
DISCARD_PORT = 9
STOP_GRACE_S = 2.0
EVENTS_PER_STREAM = 25
EVENT_INTERVAL_S = 0.01
LONG_EVENT_INTERVAL_S = 0.06
# Longer than all gateways take to be back.
PATIENCE_S = 4.0
STREAM_CALLERS = 4
MANY_STREAM_CALLERS = 24
ENGINE_SERVICE = 'writers'
HTTP_SERVICE = 'desk'
# Software versions of engines that serve side by side.
FIRST_VERSIONS = ('v1', 'v2')
# Requests with this body crash the engine that runs them.
CRASHING_BODY = b'a prompt that crashes engines'
# Parts of prompts: in all of them, in some, and those that crash engines.
COMMON_PART = '5c1e07a2'
SOUND_PARTS = ('91bd3f06', '02f7aa90', 'c4d3811e')
CRASHING_PARTS = ('badbad01', 'badbad02')
PARTS_HEADER = 'X-Quetzalsill-Prompt-Prefix'
USAGE_HEADER = 'X-Quetzalsill-Token-Usage'
HINT_HEADER = 'X-Quetzalsill-Length-Hint'


def parts_header(*parts: str) -> dict[str, str]:
    """Returns the header that lists the parts of a prompt."""
    return {PARTS_HEADER: ', '.join(f'{part}:100' for part in parts)}


class Gateway:
    """A gateway across restarts of its process.

    Attributes:
      name: Node name.
      relay: Relay that callers connect to.
      store_relay: Relay between the gateway and the store.
      process: Latest process; None before the first start.
      incarnation: Number of processes started so far.
      stopping: Whether the process is down, paused or stopping.
      disturbed_s: Loop times at which that began and ended, in turn.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.relay = relay.Relay('127.0.0.1', 1)
        self.store_relay = relay.Relay('127.0.0.1', 1)
        self.process: launch.Process | None = None
        self.incarnation = 0
        self._is_stopping = False
        self.disturbed_s: list[float] = []

    @property
    def stopping(self) -> bool:
        """Whether the process is down, paused or stopping."""
        return self._is_stopping

    @stopping.setter
    def stopping(self, is_stopping: bool) -> None:
        if is_stopping != self._is_stopping:
            now = asyncio.get_running_loop().time()
            self.disturbed_s.append(now)
        self._is_stopping = is_stopping

    def is_disturbed(self, since_s: float, until_s: float) -> bool:
        """Whether it was down, paused or stopping within some time."""
        starts, ends = self.disturbed_s[::2], self.disturbed_s[1::2]
        ends = [*ends, float('inf')]
        return any(
            start <= until_s and end >= since_s
            for start, end in zip(starts, ends, strict=False)
        )


class Upstream:
    """A stand-in server behind a relay, and its row in the store.

    Attributes:
      server: The stand-in.
      service: Name of its service.
      relay: Relay that gateways connect to.
      port: Port of the relay, also after it has stopped.
    """

    def __init__(
        self, server: http_server.HttpServer | engine.Engine, service: str
    ) -> None:
        self.server = server
        self.service = service
        self.relay = relay.Relay('127.0.0.1', 1)
        self.port = 0

    async def open(self) -> None:
        """Starts the server and its relay."""
        await self.server.start()
        self.relay.target = self.server.server.address
        await self.relay.start()
        self.port = self.relay.port

    @property
    def address(self) -> str:
        """Address that gateways connect to."""
        return f'127.0.0.1:{self.port}'

    def row(self) -> dict[str, Any]:
        """Returns its row in the `servers` table."""
        row = self.server.entry(self.service, 'zone-a')
        return row | {'address': self.address}


class Testbed:
    """All gateways and stand-ins of a soak run."""

    def __init__(
        self,
        launcher: launch.Launcher,
        gateways: int,
        log_level: str = 'info',
    ) -> None:
        self._launcher = launcher
        self._log_level = log_level
        self.store = store.Store()
        self.store.era = 1
        self.fleet = engine.Fleet(
            crash_body=CRASHING_BODY, crash_parts=set(CRASHING_PARTS)
        )
        self.gateways = [Gateway(f'entry-{n}') for n in range(gateways)]
        self.upstreams: list[Upstream] = []
        self.http_servers: list[http_server.HttpServer] = []
        self.config_version = 0
        self.versions: tuple[str, ...] = FIRST_VERSIONS
        self.event_s = EVENT_INTERVAL_S
        self.patience_s = 0.0
        self.stream_callers = STREAM_CALLERS
        self._server_numbers = iter(range(1, 10_000))

    async def start(self, http_servers: int, engines: int) -> None:
        """Starts the stand-ins and all gateways."""
        await self.store.server.start()
        for gateway in self.gateways:
            gateway.store_relay.target = self.store.server.address
            await gateway.relay.start()
            await gateway.store_relay.start()
        for _ in range(http_servers):
            await self.add_upstream(HTTP_SERVICE)
        for _ in range(engines):
            await self.add_upstream(ENGINE_SERVICE)
        self.publish_configuration()
        await asyncio.gather(*map(self.start_gateway, self.gateways))

    def prepare_fleet_kills(self, departed: int) -> None:
        """Sets what runs with kills of all gateways begin with.

        Engines of one version make long streams, whose callers wait for the
        gateways, and the directory lists gateways that have left for good.

        Args:
          departed: Number of these gateways.
        """
        self.versions = FIRST_VERSIONS[:1]
        self.event_s = LONG_EVENT_INTERVAL_S
        self.patience_s = PATIENCE_S
        self.stream_callers = MANY_STREAM_CALLERS
        for number in range(departed):
            address = {'address': f'127.0.0.1:{DISCARD_PORT}'}
            self.store.put('gateways', f'departed-{number}', address)

    async def stop(self) -> None:
        """Stops relays and stand-ins; the launcher stops the processes."""
        for upstream in self.upstreams:
            await upstream.relay.stop()
            await upstream.server.server.stop()
        for gateway in self.gateways:
            await gateway.relay.stop()
            await gateway.store_relay.stop()
        await self.store.server.stop()

    async def add_upstream(self, service: str) -> Upstream:
        """Starts a server and writes its row."""
        name = f'{service}-{next(self._server_numbers)}'
        if service == HTTP_SERVICE:
            server = http_server.HttpServer(name)
            self.http_servers.append(server)
        else:
            server = engine.Engine(self.fleet, name)
            count = len(self.upstreams_of(ENGINE_SERVICE))
            server.version = self.versions[count % len(self.versions)]
            server.length, server.event_s = EVENTS_PER_STREAM, self.event_s
        upstream = Upstream(server, service)
        await upstream.open()
        if service == ENGINE_SERVICE:
            self.fleet.engines[upstream.address] = server
        self.upstreams.append(upstream)
        self.store.put('servers', server.id, upstream.row())
        return upstream

    async def remove_upstream(self, upstream: Upstream) -> None:
        """Stops a server and removes its row."""
        self.upstreams.remove(upstream)
        self.store.remove('servers', upstream.server.id)
        if upstream.service == ENGINE_SERVICE:
            await upstream.server.crash()
        await upstream.relay.stop()
        await upstream.server.server.stop()

    def engines_of(self, version: str) -> list[Upstream]:
        """Returns the engines of a software version that take new work."""
        return [
            upstream
            for upstream in self.upstreams_of(ENGINE_SERVICE)
            if upstream.server.version == version
            and not upstream.server.leaving
            and not upstream.server.leaving_header
        ]

    def upstreams_of(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service."""
        return [
            upstream
            for upstream in self.upstreams
            if upstream.service == service
        ]

    def publish_configuration(self) -> None:
        """Writes the next version, which adds a route and has its own key."""
        self.config_version += 1
        self.store.put('op', 'config', _configuration(self.config_version))

    async def start_gateway(self, gateway: Gateway) -> None:
        """Starts the next process of a gateway."""
        gateway.incarnation += 1
        settings_path = self._launcher.folder / f'{gateway.name}.json'
        port = 0 if self._log_level == 'info' else _free_port()
        settings_path.write_text(json.dumps(self._settings(gateway, port)))
        command = (
            str(PLATFORM_SCRIPT),
            'gateway',
            '--settings',
            str(settings_path),
        )
        gateway.process = await self._launcher.start_python(
            gateway.name, *command, port=port
        )
        gateway.relay.target = ('127.0.0.1', gateway.process.port)
        gateway.stopping = False

    def logs(self) -> Iterator[tuple[str, str]]:
        """Yields the name and the text of each process log."""
        for process in self._launcher.processes:
            yield process.log.name, process.log_text()

    def _settings(self, gateway: Gateway, port: int) -> dict[str, Any]:
        return {
            'node': {'name': gateway.name, 'availability_zone': 'zone-a'},
            'listen': f'127.0.0.1:{port}',
            'ready': EPHEMERAL_ADDRESS,
            'store': f'127.0.0.1:{gateway.store_relay.port}',
            'deployment': 'platform',
            'peers': EPHEMERAL_ADDRESS,
            'telemetry': {'log_level': self._log_level},
            'retry': {'ratio': 0.5, 'allowance': 100, 'window_s': 5.0},
            'stop': {'grace_s': STOP_GRACE_S, 'leave_s': 0.3},
        }


def _free_port() -> int:
    """Returns a free port, for a process that does not log its own."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        return server.getsockname()[1]


def _configuration(version: int) -> dict[str, Any]:
    routes = [
        _route('safe', 'safe', HTTP_SERVICE),
        _route('unsafe', 'unsafe', HTTP_SERVICE, maxAttempts=1),
        _route('plan', 'streaming', ENGINE_SERVICE, maxAttempts=1),
        _route('verdict', 'streaming', ENGINE_SERVICE, streamResume=True),
    ]
    routes += [
        _route(f'v{n}', 'safe', HTTP_SERVICE) for n in range(1, version + 1)
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': HTTP_SERVICE, 'maxConnections': 100},
            {
                'name': ENGINE_SERVICE,
                'maxConnections': 100,
                'engine': {
                    'slots': 24,
                    'kvCapacity': 30000,
                    'kvBytes': 18432,
                    'linkMbps': 100000.0,
                    'moves': True,
                },
            },
        ],
        'tenants': [{'name': 'first', 'apiKeys': ['key-1', f'key-v{version}']}],
        'limits': {},
    }


def _route(
    name: str, kind: str, service: str, **overrides: Any
) -> dict[str, Any]:
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': f'/{name}/',
        'routeType': kind,
        'timeoutMs': 4000,
        'targetLatencyMs': 300,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
    } | overrides
