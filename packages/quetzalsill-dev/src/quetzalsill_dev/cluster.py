"""A cluster of processes on the loopback address.

It consists of two platform stand-ins (store, host list), an engine or service
stand-in with its sidecar for each upstream, and routers. Each process can be
killed, paused and restarted at its previous address.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import TYPE_CHECKING, Any

import httpx2

from quetzalsill.config import document, model
from quetzalsill.config import store as config_store
from quetzalsill.platform import clients
from quetzalsill.settings import section
from quetzalsill_dev import board, caller, launch, layout, process_settings

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable

    Via = Callable[[str, str], Awaitable[str]]

__all__ = ['Cluster', 'NotReadyError']

READY_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.05
ROLES = ('router', 'sidecar')


class NotReadyError(Exception):
    """A router was not ready in time."""


async def _direct(hop: str, address: str) -> str:
    return address


class Cluster:
    """The processes of a cluster, by name.

    Attributes:
      store: Stand-in of table and object store.
      hosts: Stand-in of the host list.
      upstreams: Engine and service stand-ins by upstream name.
      sidecars: Sidecars by upstream name.
      routers: Routers by name.
      configuration: Configuration that `publish` stores.
      overrides: Settings that override those of each process started from now
        on, by section and key; those below `router` or `sidecar` apply to that
        role only.
      tls: Client context for routers that listen with TLS.
    """

    store: launch.Process
    hosts: launch.Process

    def __init__(
        self,
        launcher: launch.Launcher,
        spec: layout.Layout,
        configuration: model.Configuration | None = None,
        via: Via = _direct,
    ) -> None:
        """Initializes a cluster; `start` starts its processes.

        Args:
          launcher: Starts and terminates the processes.
          spec: Processes to start.
          configuration: First configuration, without upstreams; that of
            `board` by default.
          via: Called with a hop (`store`, `hosts`, `upstream:NAME` or
            `sidecar:NAME`) and its address; returns the address that the
            other processes use for it, such as that of a relay.
        """
        self.upstreams: dict[str, launch.Process] = {}
        self.sidecars: dict[str, launch.Process] = {}
        self.routers: dict[str, launch.Process] = {}
        self.configuration = configuration or board.configuration()
        self.overrides: dict[str, Any] = {}
        self.tls: ssl.SSLContext | None = None
        self._launcher = launcher
        self._spec = spec
        self._via = via
        self._advertised: dict[str, str] = {}

    async def start(self) -> None:
        """Starts all processes and waits until the routers are ready."""
        self.store, self.hosts = await asyncio.gather(
            self._start_platform('store'), self._start_platform('hosts')
        )
        names = [spec.name for spec in self._upstream_specs()]
        await asyncio.gather(*map(self.start_upstream, names))
        await asyncio.gather(*map(self.start_sidecar, names))
        for spec in self._upstream_specs():
            self.configuration.upstreams[spec.name] = self._upstream(spec)
        await self.publish()
        routers = [spec.name for spec in self._spec.routers]
        await asyncio.gather(*map(self.start_router, routers))
        await self.set_hosts()
        await self.wait_ready()

    async def start_upstream(self, name: str) -> launch.Process:
        """Starts an engine or service, at its previous port if it had one."""
        spec = self._upstream_spec(name)
        port = await _previous_port(self.upstreams.get(name))
        if isinstance(spec, layout.EngineSpec):
            started = await self._start_engine(spec, port)
        else:
            started = await self._launcher.start(
                name, 'quetzalsill_dev.service_standin', f'--port={port}'
            )
        self.upstreams[name] = started
        await self._advertise(f'upstream:{name}', started)
        return started

    async def start_sidecar(self, name: str) -> launch.Process:
        """Starts an upstream's sidecar, at its previous port if it had one."""
        spec = self._upstream_spec(name)
        settings = process_settings.sidecar(
            name,
            spec.availability_zone,
            await _previous_port(self.sidecars.get(name)),
            self._platform(),
            f'http://{self._advertised[f"upstream:{name}"]}',
            'model' if isinstance(spec, layout.EngineSpec) else 'app',
        )
        started = await self._start_role('sidecar', f'sidecar-{name}', settings)
        self.sidecars[name] = started
        await self._advertise(f'sidecar:{name}', started)
        return started

    async def start_router(self, name: str) -> launch.Process:
        """Starts a router, at its previous port if it had one."""
        (spec,) = (s for s in self._spec.routers if s.name == name)
        settings = process_settings.router(
            name,
            spec.availability_zone,
            await _previous_port(self.routers.get(name)),
            self._platform(),
        )
        started = await self._start_role('router', name, settings)
        if self.overrides.get('router', {}).get('tls'):
            started.scheme = 'https'
        self.routers[name] = started
        return started

    async def restart_ended(self) -> None:
        """Restarts the sidecars and routers that have exited.

        Processes that are terminating are restarted too, as they no longer
        accept connections or will soon stop doing so. Ports stay the same.
        """
        starts = [
            start(name)
            for processes, start in (
                (self.sidecars, self.start_sidecar),
                (self.routers, self.start_router),
            )
            for name, process in processes.items()
            if not await _is_serving(process)
        ]
        await asyncio.gather(*starts)

    async def publish(self, note: str = 'by the launcher') -> int:
        """Stores `configuration` and returns its revision."""
        data = document.render(self.configuration)
        store, hosts = self.store.url, self.hosts.url
        cfg = section.Platform(store, store, hosts)
        async with clients.open_clients(cfg) as platform:
            store = config_store.ConfigStore(platform.table, platform.objects)
            newest = (await store.head()).revision
            return await store.publish(
                data, newest, uuid.uuid4().hex, 'launcher', note
            )

    async def set_hosts(
        self, leaving: tuple[str, ...] = (), removed: tuple[str, ...] = ()
    ) -> None:
        """Sets the host list, which the stand-in serves after its lag."""
        hosts = [
            _host(spec, 'upstream', self._advertised[f'sidecar:{spec.name}'])
            for spec in self._upstream_specs()
        ]
        hosts += [
            _host(spec, 'entry', self.routers[spec.name].address)
            for spec in self._spec.routers
        ]
        listed = [host for host in hosts if host['name'] not in removed]
        for host in listed:
            host['state'] = 'leaving' if host['name'] in leaving else 'live'
        await self.switch(self.hosts, hosts=listed)

    async def switch(self, process: launch.Process, **switches: Any) -> None:
        """Sets switches of a stand-in's process."""
        async with caller.open_client(process.url) as client:
            response = await client.post('/stand-in', json=switches)
            response.raise_for_status()

    async def audit(self, name: str) -> dict[str, Any]:
        """Returns the audit of an upstream's stand-in."""
        async with caller.open_client(self.upstreams[name].url) as client:
            response = await client.get('/stand-in/audit')
            return response.raise_for_status().json()

    async def wait_ready(self) -> None:
        """Waits until every running router reports that it is ready.

        Raises:
          NotReadyError: A router was not ready in time.
        """
        for process in self.routers.values():
            if process.running and not process.ending:
                await _wait_ready(process, self.tls)

    async def _start_platform(self, part: str) -> launch.Process:
        started = await self._launcher.start(
            f'platform-{part}',
            'quetzalsill_dev.platform_standin',
            f'--part={part}',
        )
        await self._advertise(part, started)
        return started

    async def _start_engine(
        self, spec: layout.EngineSpec, port: int
    ) -> launch.Process:
        options = [
            f'--port={port}',
            f'--models={",".join(spec.models)}',
            f'--capacity-tokens={spec.capacity_tokens}',
            f'--max-batch={spec.max_batch}',
            f'--token-s={spec.token_s}',
        ]
        if spec.checks_fence:
            options.append('--checks-fence')
        return await self._launcher.start(
            spec.name, 'quetzalsill_dev.engine_standin', *options
        )

    async def _start_role(
        self, role: str, name: str, settings: dict[str, Any]
    ) -> launch.Process:
        path = self._launcher.folder / f'{name}.json'
        common = {k: v for k, v in self.overrides.items() if k not in ROLES}
        own = self.overrides.get(role, {})
        merged = process_settings.merge(
            process_settings.merge(settings, common), own
        )
        process_settings.write(path, merged)
        return await self._launcher.start(
            name, 'quetzalsill.run', role, f'--settings={path}'
        )

    async def _advertise(self, hop: str, process: launch.Process) -> None:
        self._advertised[hop] = await self._via(hop, process.address)

    def _platform(self) -> dict[str, str]:
        store = f'http://{self._advertised["store"]}'
        hosts = f'http://{self._advertised["hosts"]}'
        return {'table': store, 'objects': store, 'hosts': hosts}

    def _upstream_specs(self) -> list[layout.EngineSpec | layout.ServiceSpec]:
        return [*self._spec.engines, *self._spec.services]

    def _upstream_spec(
        self, name: str
    ) -> layout.EngineSpec | layout.ServiceSpec:
        (spec,) = (s for s in self._upstream_specs() if s.name == name)
        return spec

    def _upstream(
        self, spec: layout.EngineSpec | layout.ServiceSpec
    ) -> model.Upstream:
        address = self._advertised[f'sidecar:{spec.name}']
        zone = spec.availability_zone
        if isinstance(spec, layout.ServiceSpec):
            return model.Upstream('app', address, zone, services=spec.services)
        return model.Upstream(
            'model',
            address,
            zone,
            models=spec.models,
            checks_fence=spec.checks_fence,
        )


async def _previous_port(before: launch.Process | None) -> int:
    """Returns the port of the previous process; 0 if there was none.

    The port is free on return if that process has exited or is terminating.
    """
    if before is None:
        return 0
    if not await _is_serving(before):
        # A terminating process keeps its port until it has exited.
        await before.wait()
    return before.port


async def _is_serving(process: launch.Process) -> bool:
    """Whether a process runs, isn't terminating and accepts connections."""
    if process.ending or not process.running:
        return False
    try:
        _, writer = await asyncio.open_connection('127.0.0.1', process.port)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


def _host(spec: Any, kind: str, address: str) -> dict[str, str]:
    return {
        'name': spec.name,
        'kind': kind,
        'address': address,
        'availability_zone': spec.availability_zone,
    }


async def _wait_ready(
    process: launch.Process, tls: ssl.SSLContext | None
) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    async with caller.open_client(process.url, tls=tls) as client:
        while time.monotonic() < deadline:
            response = await client.get('/readyz')
            if response.status_code == httpx2.codes.OK:
                return
            await asyncio.sleep(READY_POLL_INTERVAL_S)
    raise NotReadyError(process.name)
