"""A simulated fleet of gateways that follow one store, with its faults."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random

from quetzalsill_dev.simulation import legacy
from quetzalsill_dev.simulation import network as network_lib
from quetzalsill_dev.simulation import store as store_lib
from quetzalsill_gateway import routing_table, source
from quetzalsill_gateway.fleet import upstream
from quetzalsill_gateway.http import listener
from quetzalsill_gateway.peers import frame, relay, update_codec
from quetzalsill_gateway.watch import configuration, epoch, membership
from quetzalsill_gateway.watch import update as update_lib

__all__ = ['Fleet', 'Watcher']

SERVICE = 'engines'


def _parse_document(document: bytes) -> routing_table.RoutingTable:
    version = json.loads(document)['version']
    limits = listener.Limits()
    return routing_table.RoutingTable.build(version, [], [], None, limits)


@dataclasses.dataclass(slots=True, eq=False)
class Watcher:
    """State of one gateway that follows the store."""

    node: str
    upstreams: upstream.Upstreams
    holder: source.RoutingTableHolder
    health: source.Health
    membership: membership.Membership
    configuration: configuration.Configuration
    epochs: epoch.EpochTracker
    tasks: list[asyncio.Task[None]]

    @property
    def config_version(self) -> int:
        """Version of the active configuration; 0 if there is none."""
        table = self.holder.current
        return table.version if table else 0

    def ids(self) -> set[str]:
        """Returns the ids of upstreams that receive new work."""
        return {server.id for server in self.upstreams.available(SERVICE)}


class Fleet:
    """Gateways, a store, and servers that write their entries to it.

    Attributes:
      gateways: Running gateways, by name.
      store: Source of configuration and membership.
      network: Network between the gateways.
      entries: Last entry written by each server; None for a removed server.
      drain_orders: Whether operators last ordered each zone to drain.
    """

    def __init__(
        self,
        gateways: int,
        servers: int,
        seed: int,
        max_staleness_s: float = 2.0,
        heartbeat_s: float = 0.0,
    ) -> None:
        """Creates a fleet; `start` starts it.

        Args:
          gateways: Number of gateways.
          servers: Number of servers that write entries.
          seed: Seed of all random numbers.
          max_staleness_s: Time within which changes must be known, in seconds.
          heartbeat_s: Interval at which each server writes its entry again, in
            seconds; 0 if servers write only changes, or if the store shows
            only changes.
        """
        self._heartbeat_s = heartbeat_s
        self._rng = random.Random(seed)
        self._max_staleness_s = max_staleness_s
        self.store = store_lib.Store(self._rng)
        self.network = network_lib.Network(self._rng)
        self.gateways: dict[str, Watcher] = {}
        self._gateway_names = [f'entry-{n}' for n in range(gateways)]
        self._server_names = [f'server-{n}' for n in range(servers)]
        self._heartbeats: dict[str, asyncio.Task[None]] = {}
        self.entries: dict[str, upstream.Upstream | None] = {}
        self._document = b''
        self.drain_orders: dict[str, bool] = {}
        self._legacy: set[str] = set()
        self._rewrites: list[asyncio.Task[None]] = []
        self._node_by_address: dict[tuple[str, int], str] = {}
        self.store.hides_epoch = self._legacy.__contains__

    @property
    def all(self) -> list[Watcher]:
        """All running gateways."""
        return list(self.gateways.values())

    async def start(self) -> None:
        """Starts servers and gateways, and waits until they know each other."""
        self.configure(1)
        for name in self._server_names:
            self.add_server(name)
        for name in self._gateway_names:
            self.add_gateway(name)
        await asyncio.sleep(3.0)

    def configure(self, version: int) -> None:
        """Publishes a configuration."""
        self._document = json.dumps({'version': version}).encode()
        self.store.configure(self._document)

    def drain_zone(self, zone: str, *, is_on: bool) -> None:
        """Writes or withdraws an operator order to drain a zone."""
        self.drain_orders[zone] = is_on
        self.store.drain_zone(zone, is_on=is_on)

    async def drill(
        self,
        snapshot: store_lib.Snapshot,
        away_s: float = 0.5,
        rewrite_s: float = 2.0,
        epochs: int = 1,
    ) -> None:
        """Takes the store down and restores a snapshot.

        Returns as soon as the store is back.

        Args:
          snapshot: Contents to restore.
          away_s: How long the store refuses all calls, in seconds.
          rewrite_s: Time within which servers and operators write their current
            state again, in random order, in seconds; 0 if they don't.
          epochs: Number to add to the epoch of the store.
        """
        mode_for = self.store.mode_for
        self.store.mode_for = lambda _: store_lib.StoreMode.REFUSES
        await asyncio.sleep(away_s)
        self.store.restore(snapshot, epochs)
        self.store.mode_for = mode_for
        if rewrite_s:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._rewrite(rewrite_s))
            self._rewrites.append(task)

    async def _rewrite(self, duration_s: float) -> None:
        keys = [*self.entries, *self.drain_orders, None]
        self._rng.shuffle(keys)
        for key in keys:
            await asyncio.sleep(duration_s / len(keys))
            if key is None:
                self.store.configure(self._document)
            elif key in self.drain_orders:
                self.store.drain_zone(key, is_on=self.drain_orders[key])
            elif self.entries[key] is None:
                self.store.remove_entry(key)
            else:
                self.store.put_entry(self.entries[key])

    def add_server(self, name: str, incarnation: int = 1) -> None:
        """Starts a server, which writes its entry."""
        number = len(self._heartbeats) + 1
        entry = upstream.Upstream(
            name,
            SERVICE,
            ('10.0.0.1', number),
            'z',
            incarnation=incarnation,
        )
        self._put_entry(entry)
        task = asyncio.get_running_loop().create_task(
            self._write_heartbeats(entry)
        )
        self._heartbeats[name] = task

    def drain_server(self, name: str) -> None:
        """Makes a server announce that it is leaving."""
        entry = upstream.Upstream(
            name, SERVICE, ('10.0.0.1', 1), 'z', leaving=True, incarnation=1
        )
        self._heartbeats.pop(name).cancel()
        self._put_entry(entry)

    def remove_server(self, name: str) -> None:
        """Removes a server and its entry."""
        self._heartbeats.pop(name).cancel()
        self.entries[name] = None
        self.store.remove_entry(name)

    def _put_entry(self, entry: upstream.Upstream) -> None:
        self.entries[entry.id] = entry
        self.store.put_entry(entry)

    def add_gateway(self, name: str, *, is_legacy: bool = False) -> Watcher:
        """Starts a gateway.

        Args:
          name: Its name.
          is_legacy: Whether it runs the previous release, which knows versions
            without epochs.
        """
        number = len(self._node_by_address) + 1
        self._node_by_address[f'10.1.{number // 256}.{number % 256}', 7000] = (
            name
        )
        upstreams = upstream.Upstreams()
        upstreams.gateway_count = len(self._gateway_names)
        holder, health = source.RoutingTableHolder(), source.Health()
        health.on_recovery(upstreams.mark_source_recovered)
        epochs = epoch.EpochTracker()
        membership_watch = membership.Membership(
            self.store.membership_poll(name, epochs),
            upstreams,
            health,
            self._max_staleness_s,
            random.Random(self._rng.random()),
            epochs,
            name,
        )
        configuration_watch = configuration.Configuration(
            self.store.configuration_poll(name, epochs),
            _parse_document,
            holder,
            upstreams.zones,
            health,
            lambda: upstreams.gateway_count,
            self._max_staleness_s,
            random.Random(self._rng.random()),
            epochs,
            name,
        )
        handlers = {
            update_lib.MembershipUpdate: membership_watch.handle_update,
            update_lib.ConfigurationUpdate: configuration_watch.handle_update,
        }

        def receive(data: bytes, _: str) -> None:
            kind, fields = frame.unpack(data)
            if is_legacy and kind in legacy.DATAGRAM_KINDS:
                return
            if kind is frame.Kind.RELAY:
                data, addresses = relay.decode(fields)
                for address in addresses:
                    self.network.send(
                        name, self._node_by_address[address], data
                    )
                kind, fields = frame.unpack(data)
                if is_legacy and kind in legacy.DATAGRAM_KINDS:
                    return
            _, update = update_codec.decode(kind, fields)
            handlers[type(update)](update)

        broadcast = relay.Broadcast(
            name,
            lambda: self._peer_addresses(name),
            lambda data, address: self.network.send(
                name, self._node_by_address[address], data
            ),
            self._rng,
        )

        def announce(update: update_lib.Update) -> None:
            if not is_legacy:
                broadcast.announce(update)
                return
            for address in self._peer_addresses(name):
                data = legacy.encode(name, update)
                self.network.send(name, self._node_by_address[address], data)

        if is_legacy:
            self._legacy.add(name)
        else:
            self._legacy.discard(name)
        for watch in (membership_watch, configuration_watch):
            watch.set_announcer(announce)
            watch.on_missing(lambda: self._request_snapshots(name))
        self.network.join(name, receive)
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(watch.run())
            for watch in (membership_watch, configuration_watch)
        ]
        watcher = Watcher(
            name,
            upstreams,
            holder,
            health,
            membership_watch,
            configuration_watch,
            epochs,
            tasks,
        )
        self.gateways[name] = watcher
        return watcher

    def _peer_addresses(self, name: str) -> list[tuple[str, int]]:
        return [
            address
            for address, peer in self._node_by_address.items()
            if peer != name and peer in self.gateways
        ]

    def _request_snapshots(self, name: str) -> None:
        peers = [watcher for watcher in self.all if watcher.node != name]
        for peer in self._rng.sample(peers, min(2, len(peers))):
            for watch in (peer.membership, peer.configuration):
                update = watch.snapshot()
                if update is not None:
                    encode = update_codec.encode
                    if peer.node in self._legacy:
                        encode = legacy.encode
                    data = encode(peer.node, update)
                    self.network.send(peer.node, name, data)

    def kill(self, name: str) -> None:
        """Kills a gateway."""
        for task in self.gateways.pop(name).tasks:
            task.cancel()
        self.network.leave(name)

    def stop(self) -> None:
        """Stops all gateways and servers."""
        for name in list(self.gateways):
            self.kill(name)
        for task in (*self._heartbeats.values(), *self._rewrites):
            task.cancel()

    async def _write_heartbeats(self, entry: upstream.Upstream) -> None:
        if not self._heartbeat_s:
            return
        while True:
            await asyncio.sleep(self._heartbeat_s * self._rng.uniform(0.9, 1.1))
            self.store.put_entry(entry)
