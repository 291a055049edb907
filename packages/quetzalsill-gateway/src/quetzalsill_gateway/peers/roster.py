"""Which other gateways are heard, and what of theirs is taken in.

A datagram may come late, twice, from a process that has ended since, or from a
faulty sender. None of it takes more than a bounded amount of memory or of log.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_gateway.fleet import pace

if TYPE_CHECKING:
    from quetzalsill_gateway.peers import state as state_lib

__all__ = ['Address', 'Peer', 'Roster']

Address = tuple[str, int]

# Gateways that are listened to; several times the largest fleet planned for.
MOST_PEERS = 2000
# Processes of a name that have ended, whose datagrams may still be on the way.
ENDED_KEPT = 8
# A process keeps its address. One whose name comes from another sooner than
# this after it was heard has a double, and is not answered at each.
MOVE_S = 1.0
# Complaints about one sender.
COMPLAIN_EVERY_S = 60.0
MOST_COMPLAINTS = 1000


@dataclasses.dataclass(slots=True)
class Peer:
    """Another gateway.

    Attributes:
      address: Where its datagrams come from.
      heard_s: Loop time of the newest.
      incarnation: Process that sent it.
      number: Its number.
      ended: Processes of that name before.
    """

    address: Address
    heard_s: float
    incarnation: int
    number: int = -1
    ended: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=ENDED_KEPT)
    )


class Roster:
    """The gateways that are heard."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}
        self._complained_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Returns how many are heard."""
        return len(self._peers)

    @property
    def addresses(self) -> list[Address]:
        """Where they are."""
        return [peer.address for peer in self._peers.values()]

    def take(self, told: state_lib.State, address: Address, now: float) -> bool:
        """Returns whether to take a state in; notes that its sender is heard.

        Left out are one that was overtaken by a newer one, one of a process
        that has ended since, and those of a gateway too many.
        """
        peer = self._peers.get(told.node)
        if peer is None:
            if len(self._peers) >= MOST_PEERS:
                return False
            peer = Peer(address, now, told.incarnation)
            self._peers[told.node] = peer
        if told.incarnation in peer.ended:
            return False
        if told.incarnation != peer.incarnation:
            peer.ended.append(peer.incarnation)
            peer.incarnation, peer.number = told.incarnation, -1
            peer.address = address
        if told.number <= peer.number:
            return False
        if peer.address != address:
            if now - peer.heard_s < MOVE_S:
                return False
            peer.address = address
        peer.heard_s, peer.number = now, told.number
        return True

    def is_known(self, node: str) -> bool:
        """Whether a gateway is heard."""
        return node in self._peers

    def forget_silent(self, now: float) -> list[str]:
        """Drops gateways that have fallen silent; returns their names."""
        silent = [
            node
            for node, peer in self._peers.items()
            if now - peer.heard_s > pace.silent_s(1 + len(self._peers))
        ]
        for node in silent:
            del self._peers[node]
        return silent

    def may_complain(self, sender: str, now: float) -> bool:
        """Whether a fault of a sender should be logged: once in a while."""
        last_s = self._complained_s.get(sender)
        if last_s is not None and now - last_s < COMPLAIN_EVERY_S:
            return False
        if len(self._complained_s) >= MOST_COMPLAINTS:
            self._complained_s.clear()
        self._complained_s[sender] = now
        return True
