"""Datagrams between gateways.

Each gateway sees only its own generations, and many share an engine. Without
word of the others' each would fill the engine that looks empty to itself. So
each tells what it holds (`peers.delta` says how much of it, `peers.peer_table`
whose word is taken), and a gateway that falls silent is forgotten. By the same
way go news of configuration and membership (`watch`).

A gateway finds the others once, at its start, in a directory; whoever hears a
new one answers it from then on.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
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
# Enters this gateway's address in the directory and returns those of the others
# by name.
Join = Callable[[str, str], Awaitable[dict[str, str]]]

# What is given back is told this soon after one another: known late, it only
# leaves room unused for a moment.
PUBLISH_INTERVAL_S = 0.1
# How many others a gateway asks that knows nothing: one may not hear it.
SNAPSHOT_REQUESTS = 2
# Members of a directory that has aged are asked this often until they answer.
JOIN_ATTEMPTS = 5
JOIN_RETRY_S = 1.0
# All gateways see a new epoch of the source at about the same moment. Spread
# out over this, their entries are no load, and who starts meanwhile finds those
# that are entered already.
REJOIN_SPREAD_S = 5.0


class Exchange(asyncio.DatagramProtocol):
    """Tells the other gateways, and hears them.

    Attributes:
      taken: States of others that were taken in.
      left_out: Datagrams that were malformed, or of no use any more.
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
        self._is_telling = False
        self.accepted = 0
        self.dropped = 0
        self._hearers: dict[
            type[update_lib.Update], Callable[[update_lib.Update], None]
        ] = {}
        self._wholes: list[Callable[[], update_lib.Update | None]] = []
        self._told_s = 0.0
        self._broadcast = relay.Broadcast(
            node, lambda: self._peers.addresses, self._send
        )
        self._outbox = outbox.Outbox(self._send)
        core.live.on_changed(self._tell_soon)

    def on_update(
        self,
        kind: type[update_lib.Update],
        hear: Callable[[update_lib.Update], None],
    ) -> None:
        """Sets what takes the other gateways' news of a source."""
        self._hearers[kind] = hear

    def on_snapshot_request(
        self, whole: Callable[[], update_lib.Update | None]
    ) -> None:
        """Adds what answers a gateway that knows nothing of a source."""
        self._wholes.append(whole)

    def request_snapshot(self) -> None:
        """Asks some others for all that they know of the sources.

        A gateway that restarts while the source is away would refuse every
        caller for as long as that lasts, beside others that serve. Others tell
        it of themselves at its address, so that it knows of them by then.
        """
        found = self._peers.addresses
        data = frame.pack(frame.Kind.SNAPSHOT_REQUEST, (self._node,))
        for address in random.sample(found, min(SNAPSHOT_REQUESTS, len(found))):
            self._transport.sendto(data, address)

    def announce(self, told: update_lib.Update) -> None:
        """Tells the others news of a source."""
        if self._transport is None or self._transport.is_closing():
            return
        self._broadcast.announce(told)

    @property
    def peer_count(self) -> int:
        """How many others are heard."""
        return len(self._peers)

    @property
    def port(self) -> int:
        """Port listened at."""
        return self._transport.get_extra_info('sockname')[1]

    async def open(self, address: Address) -> None:
        """Listens; port 0 lets the kernel choose."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    def close(self) -> None:
        """Listens no more."""
        self._outbox.close()
        if self._transport is not None:
            self._transport.close()

    async def join_directory(self) -> None:
        """Enters this gateway in the directory, and greets those listed there.

        Again in each epoch of the source: its copy may lack the entry, so that
        a gateway that starts would not find this one.
        """
        while True:
            self._is_lost.clear()
            await self._greet_listed(await self._listed())
            await self._is_lost.wait()
            await asyncio.sleep(random.uniform(0.0, REJOIN_SPREAD_S))

    async def _greet_listed(self, found: dict[str, str]) -> None:
        for _ in range(JOIN_ATTEMPTS):
            heard = set(self._peers.addresses)
            for text in found.values():
                host, _, port = text.rpartition(':')
                address = (host, int(port))
                if address not in heard:
                    self._greet(address)
            await asyncio.sleep(JOIN_RETRY_S)

    async def _listed(self) -> dict[str, str]:
        host, port = self._transport.get_extra_info('sockname')[:2]
        while True:
            try:
                found = await self._join(self._node, f'{host}:{port}')
            except error.SourceError as exc:
                event.note(event.DirectoryUnreachable(str(exc)))
                await asyncio.sleep(JOIN_RETRY_S)
                continue
            now = asyncio.get_running_loop().time()
            self._core.members.add_listed(found, now)
            event.note(event.PeersListed(len(found)))
            return found

    async def publish_changes(self) -> None:
        """Publishes changes; runs until cancelled."""
        loop = asyncio.get_running_loop()
        turns = ticker.Ticker()
        while True:
            if await turns.wait(PUBLISH_INTERVAL_S):
                self._forget_silent(loop.time())
            gateways = 1 + len(self._peers)
            self._core.upstreams.gateway_count = gateways
            self._core.budget.set_gateway_count(gateways)
            if loop.time() - self._told_s >= self._gap_s():
                self._tell_news()

    def _tell_soon(self, is_urgent: bool) -> None:
        """Tells of a generation that begins as soon as it has begun.

        All gateways look for the engine with the most room. Those that choose
        before they hear of each other's choices choose the same one, and each
        finds it full. In a large fleet that is told later, but
        for what others wait for (`fleet.publish_timing`).
        """
        if self._is_telling or self._transport is None:
            return
        if is_urgent or not self._gap_s():
            self._is_telling = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self._tell_news, is_urgent)

    def _gap_s(self) -> float:
        return publish_timing.min_interval_s(1 + len(self._peers))

    def _tell_news(self, is_urgent: bool = False) -> None:
        self._is_telling = False
        if self._transport.is_closing():
            return
        now = asyncio.get_running_loop().time()
        gateways = 1 + len(self._peers)
        told = self._deltas.next_state(now, self._current(), gateways)
        if told is not None:
            self._told_s = now
            self._outbox.send(
                state_lib.encode(told),
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
        """Takes what another gateway tells."""
        try:
            kind, fields = frame.unpack(data)
            if kind is frame.Kind.STATE:
                self._hear_state(state_lib.decode(fields), addr)
            elif kind is frame.Kind.SNAPSHOT_REQUEST:
                self._answer_whole(addr)
            elif kind is frame.Kind.RELAY:
                self._relay(*relay.decode(fields), addr)
            else:
                self._hear_news(*update_codec.decode(kind, fields))
        except error.PeerError as exc:
            self._drop(addr, str(exc))

    def _relay(
        self, data: bytes, addresses: list[Address], sender: Address
    ) -> None:
        """Takes news, and sends it on to the gateways that are named.

        Only for a gateway that is heard, and only to such.
        """
        known = set(self._peers.addresses)
        if sender not in known:
            raise error.PeerError('relay for a stranger')
        for address in addresses:
            if address in known:
                self._transport.sendto(data, address)
        kind, fields = frame.unpack(data)
        self._hear_news(*update_codec.decode(kind, fields))

    def _drop(self, addr: Address, reason: str) -> None:
        self.dropped += 1
        now = asyncio.get_running_loop().time()
        if self._peers.should_log_fault(addr[0], now):
            event.note(event.DatagramMalformed(addr[0], reason))

    def _answer_whole(self, addr: Address) -> None:
        # To nobody but a gateway: it holds the keys of callers.
        if addr not in self._peers.addresses:
            return
        for whole in self._wholes:
            told = whole()
            if told is not None:
                data = update_codec.encode(self._node, told)
                self._transport.sendto(data, addr)

    def _hear_news(self, node: str, told: update_lib.Update) -> None:
        hear = self._hearers.get(type(told))
        if hear is not None and node != self._node:
            hear(told)

    def _hear_state(self, told: state_lib.State, addr: Address) -> None:
        node = told.node
        if node == self._node:
            return
        is_new = not self._peers.is_known(node)
        now = asyncio.get_running_loop().time()
        if not self._peers.accept(told, addr, now):
            self.dropped += 1
            return
        self.accepted += 1
        if is_new:
            event.note(event.PeerFound(node, len(self._peers)))
            self._greet(addr)
        core = self._core
        core.members.mark_seen((node,), now)
        if told.is_full:
            core.stats_table.replace_peer_loads(node, told.usage)
        else:
            core.stats_table.update_peer_loads(node, told.usage)
        core.stats_table.set_peer_waiting(node, told.waiting)
        core.link_queue.receive(node, told.moving)
        core.health.update_peer(node, is_down=told.is_store_unavailable)
        core.upstreams.receive_leaving(told.leaving, node)

    def error_received(self, exc: OSError) -> None:
        """Notes what the kernel tells of a datagram; silence decides."""
        event.note(event.DatagramFailed(str(exc)))

    def _greet(self, address: Address) -> None:
        """Tells one gateway everything."""
        whole = self._deltas.full_state()
        self._transport.sendto(state_lib.encode(whole), address)

    def _send(self, data: bytes, address: Address) -> None:
        if not self._transport.is_closing():
            self._transport.sendto(data, address)

    def _usage(self) -> dict[str, usage_lib.Usage]:
        held = {}
        now = asyncio.get_running_loop().time()
        for key, stats in self._core.stats_table.items():
            failures = stats.published_failures(now)
            if stats.reservations or stats.backup_reservations or failures:
                held[key] = usage_lib.Usage(
                    stats.own_tokens,
                    stats.own_prefill_tokens,
                    len(stats.reservations),
                    stats.own_backup_tokens,
                    failures,
                )
        return held

    def _forget_silent(self, now: float) -> None:
        core = self._core
        for node in self._peers.remove_expired(now):
            core.stats_table.replace_peer_loads(node, {})
            core.stats_table.set_peer_waiting(node, {})
            core.link_queue.receive(node, {})
            core.health.update_peer(node, is_down=False)
            event.note(event.PeerLost(node, len(self._peers)))
