"""Which other gateways are heard, and what of theirs is taken in.

A datagram may come late, twice, from a process that has ended since, or from a
faulty sender. None of it takes more than a bounded amount of memory or of log.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_gateway.fleet import publish_timing

if TYPE_CHECKING:
    from quetzalsill_gateway.peers import state as state_lib

__all__ = ['Address', 'Peer', 'PeerTable']

Address = tuple[str, int]

# Gateways that are listened to; several times the largest fleet planned for.
MAX_PEERS = 2000
# Processes of a name that have ended, whose datagrams may still be on the way.
MAX_ENDED_INCARNATIONS = 8
# A process keeps its address. One whose name comes from another sooner than
# this after it was heard has a double, and is not answered at each.
ADDRESS_CHANGE_S = 1.0
# Complaints about one sender.
FAULT_LOG_INTERVAL_S = 60.0
MAX_LOGGED_SENDERS = 1000


@dataclasses.dataclass(slots=True)
class Peer:
    """Another gateway.

    Attributes:
      address: Where its datagrams come from.
      last_seen_s: Loop time of the newest.
      incarnation: Process that sent it.
      sequence: Its sequence.
      ended_incarnations: Processes of that name before.
    """

    address: Address
    last_seen_s: float
    incarnation: int
    sequence: int = -1
    ended_incarnations: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_ENDED_INCARNATIONS)
    )


class PeerTable:
    """The gateways that are heard."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}
        self._logged_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Returns how many are heard."""
        return len(self._peers)

    @property
    def addresses(self) -> list[Address]:
        """Where they are."""
        return [peer.address for peer in self._peers.values()]

    def accept(
        self, told: state_lib.State, address: Address, now: float
    ) -> bool:
        """Returns whether to take a state in; notes that its sender is heard.

        Left out are one that was overtaken by a newer one, one of a process
        that has ended since, and those of a gateway too many.
        """
        peer = self._peers.get(told.node)
        if peer is None:
            if len(self._peers) >= MAX_PEERS:
                return False
            peer = Peer(address, now, told.incarnation)
            self._peers[told.node] = peer
        if told.incarnation in peer.ended_incarnations:
            return False
        if told.incarnation != peer.incarnation:
            peer.ended_incarnations.append(peer.incarnation)
            peer.incarnation, peer.sequence = told.incarnation, -1
            peer.address = address
        if told.sequence <= peer.sequence:
            return False
        if peer.address != address:
            if now - peer.last_seen_s < ADDRESS_CHANGE_S:
                return False
            peer.address = address
        peer.last_seen_s, peer.sequence = now, told.sequence
        return True

    def is_known(self, node: str) -> bool:
        """Whether a gateway is heard."""
        return node in self._peers

    def remove_expired(self, now: float) -> list[str]:
        """Drops gateways that have fallen silent; returns their names."""
        silent = [
            node
            for node, peer in self._peers.items()
            if now - peer.last_seen_s
            > publish_timing.peer_timeout_s(1 + len(self._peers))
        ]
        for node in silent:
            del self._peers[node]
        return silent

    def should_log_fault(self, sender: str, now: float) -> bool:
        """Whether a fault of a sender should be logged: once in a while."""
        last_s = self._logged_s.get(sender)
        if last_s is not None and now - last_s < FAULT_LOG_INTERVAL_S:
            return False
        if len(self._logged_s) >= MAX_LOGGED_SENDERS:
            self._logged_s.clear()
        self._logged_s[sender] = now
        return True
