"""Datagrams between gateways.

Each gateway sees only its own generations, and many share an engine. Without
word of the others' each would fill the engine that looks empty to itself. A
datagram holds all that its sender has to tell, so that a lost one is made good
by the next, and a gateway that falls silent is forgotten.

A gateway finds the others once, at its start, in a directory; whoever hears a
new one answers it from then on.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from quetzalsill_gateway import error, event
from quetzalsill_gateway.peers import state as state_lib

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib

__all__ = ['Exchange', 'Join']

Address = tuple[str, int]
# Enters this gateway's address in the directory and returns those in it.
Join = Callable[[str, str], Awaitable[list[str]]]

# What is given back is told this soon after one another: known late, it only
# leaves room unused for a moment.
CHANGED_S = 0.1
# Told without a change too, so that a peer's silence means something.
REFRESH_S = 1.0
SILENT_S = 3.5
# Members of a directory that has aged are asked this often until they answer.
JOIN_TRIES = 5
JOIN_S = 1.0


@dataclasses.dataclass(slots=True)
class _Peer:
    """Another gateway.

    Attributes:
      address: Where its datagrams come from.
      heard_s: Loop time of the newest.
      incarnation: Process that sent it.
      number: Its number.
    """

    address: Address
    heard_s: float
    incarnation: int = 0
    number: int = 0


class Exchange(asyncio.DatagramProtocol):
    """Tells the other gateways, and hears them."""

    def __init__(self, core: core_lib.Core, node: str, join: Join) -> None:
        self._core = core
        self._node = node
        self._join = join
        self._peers: dict[str, _Peer] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._incarnation = random.getrandbits(32)
        self._number = 0
        self._told = state_lib.State(node, self._incarnation, 0, {})
        self._told_at_s = 0.0
        self._is_telling = False
        core.live.on_placed(self._tell_soon)

    @property
    def peers(self) -> int:
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
        if self._transport is not None:
            self._transport.close()

    async def find(self) -> None:
        """Finds the others in the directory and greets them; then waits."""
        found = await self._listed()
        for _ in range(JOIN_TRIES):
            heard = {peer.address for peer in self._peers.values()}
            for text in found:
                host, _, port = text.rpartition(':')
                address = (host, int(port))
                if address not in heard:
                    self._send(address)
            await asyncio.sleep(JOIN_S)
        await asyncio.Event().wait()

    async def _listed(self) -> list[str]:
        host, port = self._transport.get_extra_info('sockname')[:2]
        while True:
            try:
                found = await self._join(self._node, f'{host}:{port}')
            except error.SourceError as exc:
                event.note(event.DirectoryUnreachable(str(exc)))
                await asyncio.sleep(JOIN_S)
                continue
            event.note(event.PeersListed(len(found)))
            return found

    async def tell(self) -> None:
        """Tells what changed; runs until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHANGED_S)
            self._forget_silent(loop.time())
            self._core.upstreams.sharers = 1 + len(self._peers)
            self._tell_news()

    def _tell_soon(self) -> None:
        """Tells of a generation that begins as soon as it has begun.

        All gateways look for the engine with the most room. Those that choose
        before they hear of each other's choices choose the same one, and each
        finds it full.
        """
        if not self._is_telling and self._transport is not None:
            self._is_telling = True
            asyncio.get_running_loop().call_soon(self._tell_news)

    def _tell_news(self) -> None:
        self._is_telling = False
        now = asyncio.get_running_loop().time()
        core = self._core
        news = state_lib.State(
            self._node,
            self._incarnation,
            0,
            self._held(),
            core.upstreams.leaving_keys(),
            core.admission.waiting(),
            core.link_queue.own(),
            core.health.is_down,
            core.upstreams.version,
        )
        due = now - self._told_at_s >= REFRESH_S
        if self._transport.is_closing():
            return
        if news != self._told or due:
            self._told = news
            self._told_at_s = now
            for peer in self._peers.values():
                self._send(peer.address)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Takes what another gateway tells."""
        try:
            state = state_lib.decode(data)
        except error.PeerError as exc:
            event.note(event.DatagramMalformed(addr[0], str(exc)))
            return
        if state.node == self._node:
            return
        now = asyncio.get_running_loop().time()
        peer = self._peers.get(state.node)
        if peer is None or peer.address != addr:
            peer = self._peers[state.node] = _Peer(addr, now)
            event.note(event.PeerFound(state.node, len(self._peers)))
            self._send(addr)
        same = state.incarnation == peer.incarnation
        if same and state.number <= peer.number:
            # Overtaken on its way by a newer one.
            return
        peer.incarnation = state.incarnation
        peer.heard_s, peer.number = now, state.number
        self._core.pages.hear(state.node, state.held)
        self._core.pages.hear_waiting(state.node, state.waiting)
        self._core.link_queue.hear(state.node, state.moving)
        self._core.health.hear(state.node, is_down=state.is_store_away)
        self._core.upstreams.hear_leaving(state.leaving, state.node)
        self._core.upstreams.hear_version(state.membership)

    def error_received(self, exc: OSError) -> None:
        """Notes what the kernel tells of a datagram; silence decides."""
        event.note(event.DatagramFailed(str(exc)))

    def _send(self, address: Address) -> None:
        self._number += 1
        state = dataclasses.replace(self._told, number=self._number)
        self._transport.sendto(state_lib.encode(state), address)

    def _held(self) -> dict[str, state_lib.Held]:
        held = {}
        now = asyncio.get_running_loop().time()
        for key, page in self._core.pages.items():
            failures = 0.0
            if page.makes_streams:
                # In steps, so that fading alone is no news.
                failures = round(page.recent_failures(now) * 2) / 2
            if page.reservations or page.copies or failures:
                held[key] = state_lib.Held(
                    page.own_tokens,
                    page.own_reading,
                    len(page.reservations),
                    page.own_copied,
                    failures,
                )
        return held

    def _forget_silent(self, now: float) -> None:
        silent = [
            node
            for node, peer in self._peers.items()
            if now - peer.heard_s > SILENT_S
        ]
        for node in silent:
            del self._peers[node]
            self._core.pages.hear(node, {})
            self._core.pages.hear_waiting(node, {})
            self._core.link_queue.hear(node, {})
            self._core.health.hear(node, is_down=False)
            event.note(event.PeerLost(node, len(self._peers)))
