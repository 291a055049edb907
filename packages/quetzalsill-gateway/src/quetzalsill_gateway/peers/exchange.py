"""Exchanges datagrams with the other gateways.

A gateway sees only its own generations, but many gateways share an engine.
Without the state of the others, each would fill the engine that looks empty to
it. So each publishes its usage (`peers.delta` decides how much of it) and
applies the states that `peers.peer_table` accepts. Peers that stay silent are
removed. Updates of configuration and membership (`watch`) use the same
datagrams.

A gateway finds the others in a directory when it starts. The others send their
state to every new gateway that they receive a datagram from.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

from quetzalsill.net import ticker
from quetzalsill_gateway import error, event
from quetzalsill_gateway.fleet import publish_timing
from quetzalsill_gateway.fleet import usage as usage_lib
from quetzalsill_gateway.peers import (
    delta,
    frame,
    outbox,
    peer_table,
    relay,
    update_codec,
)
from quetzalsill_gateway.peers import state as state_lib

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway.watch import epoch
    from quetzalsill_gateway.watch import update as update_lib

__all__ = ['Exchange', 'Join']

Address = peer_table.Address
# Registers this gateway's name and address in the directory, and returns the
# addresses of the others by name.
Join = Callable[[str, str], Awaitable[dict[str, str]]]

# Returns updates for another gateway.
UpdateProvider = Callable[[], Iterable[update_codec.PeerUpdate]]

# Interval of checks for changes such as released capacity. Published late, that
# only leaves capacity unused for a moment.
PUBLISH_INTERVAL_S = 0.1
# Number of peers from which a gateway requests a snapshot, as one may not
# receive the request.
SNAPSHOT_REQUESTS = 2
# The directory may be outdated. Listed gateways that don't answer are contacted
# this often.
JOIN_ATTEMPTS = 5
JOIN_RETRY_S = 1.0
# A gateway may miss an update, so some are repeated to this many others, drawn
# at random, at this interval.
REFRESH_PEERS = 2
REFRESH_INTERVAL_S = 2.0
# All gateways detect a new epoch of the source at about the same moment. Spread
# over this time, their registrations are no load, and a gateway that starts
# meanwhile finds those that are registered already.
REJOIN_SPREAD_S = 5.0


class Exchange(asyncio.DatagramProtocol):
    """Publishes the state of this gateway and receives that of the others.

    Attributes:
      accepted: Number of states that were applied.
      dropped: Number of datagrams that were malformed or outdated.
    """

    def __init__(
        self,
        core: core_lib.Core,
        node: str,
        join: Join,
        epochs: epoch.EpochTracker | None = None,
    ) -> None:
        self._core = core
        self._is_lost = asyncio.Event()
        if epochs is not None:
            epochs.on_change(self._is_lost.set)
        self._node = node
        self._join = join
        self._peers = peer_table.PeerTable()
        self._transport: asyncio.DatagramTransport | None = None
        self._deltas = delta.DeltaTracker(node, random.getrandbits(32))
        self._is_publishing = False
        self.accepted = 0
        self.dropped = 0
        self._update_handlers: dict[type, Callable[..., None]] = {}
        self._snapshot_providers: list[
            Callable[[], update_lib.Update | None]
        ] = []
        self._published_s = 0.0
        self._refreshed_s = 0.0
        self._greetings: list[UpdateProvider] = []
        self._refreshes: list[UpdateProvider] = []
        self._on_new_peer: list[Callable[[str], None]] = []
        self._is_greeted = False
        self._broadcast = relay.Broadcast(
            node, lambda: self._peers.addresses, self._send
        )
        self._outbox = outbox.Outbox(self._send)
        core.live.on_changed(self._publish_soon)

    def on_update(
        self,
        kind: type[update_codec.PeerUpdate],
        handler: Callable[..., None],
    ) -> None:
        """Sets the handler of the other gateways' updates of one type."""
        self._update_handlers[kind] = handler

    def on_snapshot_request(
        self, provider: Callable[[], update_lib.Update | None]
    ) -> None:
        """Adds a provider of a source's snapshot, for gateways without one."""
        self._snapshot_providers.append(provider)

    def on_greeting(self, provider: UpdateProvider) -> None:
        """Adds a provider of updates for a gateway that has just started."""
        self._greetings.append(provider)

    def on_new_peer(self, callback: Callable[[str], None]) -> None:
        """Registers a callback for the name of a gateway that has started."""
        self._on_new_peer.append(callback)

    @property
    def peer_names(self) -> list[str]:
        """Names of the peers."""
        return list(self._peers.addresses_by_name)

    @property
    def writers(self) -> tuple[str, ...]:
        """Names of the gateways that are known to be running, sorted.

        Until any other is, the listed ones, of which some may have left; empty
        before the directory was read.
        """
        names = self.peer_names
        if not names and not self._core.members.is_directory_read:
            return ()
        if not names:
            return self._core.members.names(asyncio.get_running_loop().time())
        return tuple(sorted((self._node, *names)))

    def send_to(
        self, names: Iterable[str], update: update_codec.PeerUpdate
    ) -> None:
        """Sends an update to some of the peers only."""
        if self._transport is None:
            return
        data = update_codec.encode(self._node, update)
        addresses = self._peers.addresses_by_name
        for name in names:
            if name in addresses:
                self._send(data, addresses[name])

    def on_refresh(self, provider: UpdateProvider) -> None:
        """Adds a provider of updates that others may have missed."""
        self._refreshes.append(provider)

    def request_snapshot(self) -> None:
        """Requests a snapshot of the sources from some peers.

        Otherwise, a gateway that restarts during an outage of the source would
        refuse every caller until it ends, while other gateways serve. It knows
        peers by then, as they send their state to its address.
        """
        addresses = self._peers.addresses
        data = frame.pack(frame.Kind.SNAPSHOT_REQUEST, (self._node,))
        for address in random.sample(
            addresses, min(SNAPSHOT_REQUESTS, len(addresses))
        ):
            self._transport.sendto(data, address)

    def announce(self, update: update_codec.PeerUpdate) -> None:
        """Sends an update to the others."""
        if self._transport is None or self._transport.is_closing():
            return
        self._broadcast.announce(update)

    @property
    def is_greeted(self) -> bool:
        """Whether a peer has sent what it knows, or none is listed."""
        return self._is_greeted

    @property
    def peer_count(self) -> int:
        """Number of peers."""
        return len(self._peers)

    @property
    def port(self) -> int:
        """Local port."""
        return self._transport.get_extra_info('sockname')[1]

    async def open(self, address: Address) -> None:
        """Opens the socket; port 0 lets the kernel choose."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    def close(self) -> None:
        """Closes the socket."""
        self._outbox.close()
        if self._transport is not None:
            self._transport.close()

    async def join_directory(self) -> None:
        """Registers in the directory and contacts the gateways listed there.

        Repeated in each epoch of the source: the copy it was restored from may
        lack the entry, and a gateway that starts would not find this one.
        """
        while True:
            self._is_lost.clear()
            await self._contact_listed(await self._register())
            await self._is_lost.wait()
            await asyncio.sleep(random.uniform(0.0, REJOIN_SPREAD_S))

    async def _contact_listed(self, listed: dict[str, str]) -> None:
        for _ in range(JOIN_ATTEMPTS):
            known = set(self._peers.addresses)
            for text in listed.values():
                host, _, port = text.rpartition(':')
                address = (host, int(port))
                if address not in known:
                    self._send_full_state(address)
            await asyncio.sleep(JOIN_RETRY_S)

    async def _register(self) -> dict[str, str]:
        host, port = self._transport.get_extra_info('sockname')[:2]
        while True:
            try:
                listed = await self._join(self._node, f'{host}:{port}')
            except error.SourceError as exc:
                event.note(event.DirectoryUnreachable(str(exc)))
                await asyncio.sleep(JOIN_RETRY_S)
                continue
            now = asyncio.get_running_loop().time()
            self._core.members.add_listed(listed, now)
            event.note(event.PeersListed(len(listed)))
            self._is_greeted |= not listed
            return listed

    async def publish_changes(self) -> None:
        """Publishes changes; runs until cancelled."""
        loop = asyncio.get_running_loop()
        ticks = ticker.Ticker()
        delay = self._core.loop_delay
        while True:
            if await delay.wait(ticks, PUBLISH_INTERVAL_S):
                self._remove_expired(loop.time())
            gateways = 1 + len(self._peers)
            self._core.upstreams.gateway_count = gateways
            self._core.budget.set_gateway_count(gateways)
            if loop.time() - self._published_s >= self._min_interval_s():
                self._publish()
            if loop.time() - self._refreshed_s >= REFRESH_INTERVAL_S:
                self._refreshed_s = loop.time()
                self._refresh_some()

    def _refresh_some(self) -> None:
        """Repeats updates to a few random peers."""
        updates = [
            update for provider in self._refreshes for update in provider()
        ]
        if not updates:
            return
        addresses = self._peers.addresses
        chosen = random.sample(addresses, min(REFRESH_PEERS, len(addresses)))
        for update in updates:
            data = update_codec.encode(self._node, update)
            for address in chosen:
                self._send(data, address)

    def _publish_soon(self, is_urgent: bool) -> None:
        """Publishes a generation as soon as it has started.

        All gateways look for the engine with the most free capacity. Those that
        choose before they receive each other's choices choose the same one, and
        fill it together. In a large fleet only urgent changes are published
        immediately, others later (`fleet.publish_timing`).
        """
        if self._is_publishing or self._transport is None:
            return
        if is_urgent or not self._min_interval_s():
            self._is_publishing = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self._publish, is_urgent)

    def _min_interval_s(self) -> float:
        return publish_timing.min_interval_s(1 + len(self._peers))

    def _publish(self, is_urgent: bool = False) -> None:
        self._is_publishing = False
        if self._transport.is_closing():
            return
        now = asyncio.get_running_loop().time()
        gateways = 1 + len(self._peers)
        state = self._deltas.next_state(now, self._current(), gateways)
        if state is not None:
            self._published_s = now
            self._outbox.send(
                state_lib.encode(state),
                self._peers.addresses,
                publish_timing.spread_s(gateways, is_urgent=is_urgent),
            )

    def _current(self) -> state_lib.State:
        core = self._core
        return state_lib.State(
            self._node,
            0,
            0,
            self._usage(),
            core.upstreams.leaving_keys(),
            core.admission.waiting_tokens(),
            core.link_queue.own_moves(),
            core.health.is_down,
        )

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handles a datagram of another gateway."""
        try:
            kind, fields = frame.unpack(data)
            if kind is frame.Kind.STATE:
                self._receive_state(state_lib.decode(fields), addr)
            elif kind is frame.Kind.SNAPSHOT_REQUEST:
                self._send_snapshots(addr)
            elif kind is frame.Kind.RELAY:
                self._relay(*relay.decode(fields), addr)
            else:
                self._receive_update(*update_codec.decode(kind, fields))
        except error.PeerError as exc:
            self._drop(addr, str(exc))

    def _relay(
        self, data: bytes, addresses: list[Address], sender: Address
    ) -> None:
        """Handles an update and forwards it to the listed gateways.

        Only on behalf of known peers, and only to known peers.
        """
        known = set(self._peers.addresses)
        if sender not in known:
            raise error.PeerError('relay requested by an unknown gateway')
        for address in addresses:
            if address in known:
                self._transport.sendto(data, address)
        kind, fields = frame.unpack(data)
        self._receive_update(*update_codec.decode(kind, fields))

    def _drop(self, addr: Address, reason: str) -> None:
        self.dropped += 1
        now = asyncio.get_running_loop().time()
        if self._peers.should_log_fault(addr[0], now):
            event.note(event.DatagramMalformed(addr[0], reason))

    def _send_snapshots(self, addr: Address) -> None:
        # Only to known peers, as the configuration contains callers' keys.
        if addr not in self._peers.addresses:
            return
        for provider in self._snapshot_providers:
            snapshot = provider()
            if snapshot is not None:
                data = update_codec.encode(self._node, snapshot)
                self._transport.sendto(data, addr)

    def _receive_update(
        self,
        node: str,
        update: update_codec.PeerUpdate,
    ) -> None:
        handler = self._update_handlers.get(type(update))
        if handler is not None and node != self._node:
            handler(update)

    def _receive_state(self, state: state_lib.State, addr: Address) -> None:
        node = state.node
        if node == self._node:
            return
        is_new = not self._peers.is_known(node, state.incarnation)
        now = asyncio.get_running_loop().time()
        if not self._peers.accept(state, addr, now):
            self.dropped += 1
            return
        self.accepted += 1
        if is_new:
            event.note(event.PeerFound(node, len(self._peers)))
            self._greet(addr)
            for callback in self._on_new_peer:
                callback(node)
        self._is_greeted = True
        core = self._core
        core.members.mark_seen((node,), now)
        if state.is_full:
            core.stats_table.replace_peer_loads(node, state.usage)
        else:
            core.stats_table.update_peer_loads(node, state.usage)
        core.stats_table.set_peer_waiting(node, state.waiting)
        core.link_queue.receive(node, state.moving)
        core.health.update_peer(node, is_down=state.is_store_unavailable)
        core.upstreams.receive_leaving(state.leaving, node)

    def error_received(self, exc: OSError) -> None:
        """Logs an error from the kernel; only silence removes a peer."""
        event.note(event.DatagramFailed(str(exc)))

    def _greet(self, address: Address) -> None:
        """Sends what is known to a gateway that has just started.

        The state goes last: once it arrives, the gateway forwards requests.
        """
        for provider in self._greetings:
            for update in provider():
                self._send(update_codec.encode(self._node, update), address)
        self._send_full_state(address)

    def _send_full_state(self, address: Address) -> None:
        """Sends the full state to one gateway."""
        state = self._deltas.full_state()
        self._transport.sendto(state_lib.encode(state), address)

    def _send(self, data: bytes, address: Address) -> None:
        if not self._transport.is_closing():
            self._transport.sendto(data, address)

    def _usage(self) -> dict[str, usage_lib.Usage]:
        usage = {}
        now = asyncio.get_running_loop().time()
        for key, stats in self._core.stats_table.items():
            failures = stats.published_failures(now)
            if stats.reservations or stats.backup_reservations or failures:
                usage[key] = usage_lib.Usage(
                    stats.own_tokens,
                    stats.own_prefill_tokens,
                    len(stats.reservations),
                    stats.own_backup_tokens,
                    failures,
                )
        return usage

    def _remove_expired(self, now: float) -> None:
        core = self._core
        for node in self._peers.remove_expired(now):
            core.stats_table.replace_peer_loads(node, {})
            core.stats_table.set_peer_waiting(node, {})
            core.link_queue.receive(node, {})
            core.health.update_peer(node, is_down=False)
            event.note(event.PeerLost(node, len(self._peers)))
