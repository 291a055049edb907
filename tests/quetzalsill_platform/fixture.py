"""Test case with a gateway that uses the adapter, and a simulated platform."""

from __future__ import annotations

import asyncio
import functools
import unittest

from quetzalsill_platform import (
    directory,
    headers,
    kept_rows,
    polling,
)
from quetzalsill_platform import engine as engine_calls
from quetzalsill_platform import store as platform_store

from quetzalsill.settings import section
from quetzalsill_dev.users_platform import caller, engine, http_server, store
from quetzalsill_gateway import deployment, run, settings, source
from quetzalsill_gateway.fleet import software_versions

__all__ = ['GatewayTestCase', 'configuration', 'route']

WAIT_TIMEOUT_S = 10.0
ANYWHERE = '127.0.0.1:0'


def route(name, prefix, kind, service, **kwargs):
    """Returns a route in the operators' format."""
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': prefix,
        'routeType': kind,
        'timeoutMs': 4000,
        'targetLatencyMs': 300,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
    } | kwargs


ROUTES = [
    route('safe', '/safe/', 'safe', 'desk'),
    route('unsafe', '/unsafe/', 'unsafe', 'desk', maxAttempts=1),
    route('plan', '/plan/', 'streaming', 'writers', maxAttempts=1),
    route('verdict', '/verdict/', 'streaming', 'writers', streamResume=True),
    route('public', '/public/', 'safe', 'desk', public=True),
]
SERVICES = [
    {'name': 'desk', 'maxConnections': 100},
    {
        'name': 'writers',
        'maxConnections': 100,
        'engine': {
            'slots': 24,
            'kvCapacity': 30000,
            'kvBytes': 18432,
            'linkMbps': 100000.0,
            'moves': True,
        },
    },
]
ACCOUNTS = [
    {'name': 'first', 'apiKeys': ['key-1', 'key-2']},
    {'name': 'second', 'apiKeys': ['key-3'], 'priority': 0},
]


def services(**engine):
    """Returns the services, with some engine settings replaced."""
    http_service, engine_service = SERVICES
    return [
        dict(http_service),
        engine_service | {'engine': engine_service['engine'] | engine},
    ]


def configuration(
    version, routes=ROUTES, accounts=ACCOUNTS, engine=None, **limits
):
    """Returns a configuration in the operators' format."""
    return {
        'version': version,
        'routes': routes,
        'services': services(**engine or {}),
        'tenants': accounts,
        'limits': limits,
    }


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, two HTTP servers, three engines and one gateway.

    Attributes:
      engine: Engine settings that differ from `SERVICES`.
      services: Service settings that differ, by the service's name.
      shares: Whether gateways divide engines by client account.
      versions: Software versions of the engines; empty for engines that name
        none.
      era: First era of the store; None if it sends none.
      grace_s: Longest time that the gateway takes to stop, in seconds.
      leave_s: How long it serves new callers after a stop was requested, in
        seconds.
    """

    engine: dict[str, object] = {}
    services: dict[str, dict[str, object]] = {}
    versions: tuple[str, ...] = ()
    era: int | None = None
    grace_s: float = 2.0
    leave_s: float = 0.1

    shares = settings.Shares()

    async def asyncSetUp(self):
        self.store = store.Store()
        self.store.era = self.era
        await self.serve(self.store.server)
        self.http_servers = [
            http_server.HttpServer(f'desk-{n}') for n in (1, 2)
        ]
        self.fleet = engine.Fleet()
        self.engines = [
            engine.Engine(self.fleet, f'engine-{n}') for n in (1, 2, 3)
        ]
        for one, version in zip(self.engines, self.versions, strict=False):
            one.version = version
        for upstream in (*self.http_servers, *self.engines):
            await upstream.start()
            self.addAsyncCleanup(upstream.server.stop)
        document = configuration(5, engine=self.engine)
        for service in document['services']:
            service.update(self.services.get(service['name'], {}))
        self.store.put('op', 'config', document)
        for server in self.http_servers:
            self.store.put('servers', server.id, server.entry('desk', 'zone-a'))
        for replica in self.engines:
            self.register(replica)
        self.process = await self.start_gateway()

    def register(self, replica):
        """Writes an engine's entry to the store."""
        self.store.put(
            'servers', replica.id, replica.entry('writers', 'zone-a')
        )

    async def serve(self, server):
        """Starts a server that is stopped when the test ends."""
        await server.start()
        self.addAsyncCleanup(server.stop)

    async def start_gateway(self, *, wait=True, name='entry-1', peers=''):
        """Starts a gateway and, by default, waits until it is ready.

        Args:
          wait: Whether to wait until it knows all upstreams.
          name: Name of its node.
          peers: Address for datagrams of other gateways; empty for none.
        """
        cfg = settings.Settings(
            node=section.Node(name, 'zone-a'),
            listen=ANYWHERE,
            peers=peers,
            ready=ANYWHERE,
            store=self.store.server.address_text,
            ready_path='/-/readyz',
            retry=settings.Retry(ratio=1.0, allowance=100, gateways=1),
            stop=settings.Stop(self.grace_s, self.leave_s),
            shares=self.shares,
        )

        def sources(cfg, conns):
            store_client = platform_store.Store(
                conns, settings.address(cfg.store)
            )
            return source.Sources(
                polling.configuration_poll(store_client),
                polling.parse_document,
                polling.membership_poll(store_client),
                lambda node, address: directory.join(
                    store_client, node, address
                ),
                store_client.epochs,
                functools.partial(kept_rows.load, store_client, 'quarantine'),
                functools.partial(kept_rows.save, store_client, 'quarantine'),
                functools.partial(kept_rows.load, store_client, 'versions'),
                functools.partial(kept_rows.save, store_client, 'versions'),
            )

        process = run.Process(
            cfg,
            deployment.Deployment(
                headers.DIALECT, sources, engine_calls.make_calls
            ),
        )
        await process.start()
        self.addAsyncCleanup(process.close)
        if wait:
            await self.wait_until(process.is_ready)
            upstreams = process.core.upstreams
            await self.wait_until(lambda: len(upstreams.all()) == 5)
            known = software_versions.Stage.KNOWN
            await self.wait_until(
                lambda: all(
                    upstreams.versions.stage(one) is known
                    for one in upstreams.all()
                )
            )
        return process

    async def start_peers(self, count):
        """Starts gateways and waits until they know each other."""
        gateways = [
            await self.start_gateway(name=f'node-{n}', peers=ANYWHERE)
            for n in range(count)
        ]
        for gateway in gateways:
            await self.wait_until(
                lambda g=gateway: g.peers.peer_count >= count - 1
            )
        return gateways

    async def wait_until(self, condition):
        """Polls until a condition is true."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    def caller(self, process=None):
        """Returns a client of a gateway that is not connected yet."""
        port = (process or self.process).callers.port
        client = caller.Caller('127.0.0.1', port)
        self.addCleanup(lambda: client._writer and client.disconnect())
        return client

    async def request(self, target, **kwargs):
        """Sends a request on a new connection and returns the response."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            return await self.caller().request(target, **kwargs)

    def script(self, *scripts):
        """Sets how the next requests fail, whichever server gets them."""
        shared = list(scripts)
        for server in self.http_servers:
            server.scripts = shared

    @property
    def runs(self):
        """All requests that the HTTP servers ran."""
        return [seen for server in self.http_servers for seen in server.runs]

    def expected_stream(self, request_id, length=10):
        """Returns the complete stream for a request."""
        return b''.join(
            engine.event(request_id, n) for n in range(1, length + 1)
        )
