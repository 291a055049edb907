"""Known peers, and which of their datagrams are accepted.

A datagram may be late or duplicated, and may come from a process that has ended
or from a faulty sender. In all cases memory and log output stay bounded.
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

# Several times the size of the largest fleet planned for.
MAX_PEERS = 2000
# Ended processes remembered per name, whose datagrams may still be in transit.
MAX_ENDED_INCARNATIONS = 8
# A process keeps its address. If its name is seen at another address sooner
# than this after its last datagram, a second process uses the same name. The
# new address is rejected then, so that not every such address gets answers.
ADDRESS_CHANGE_S = 1.0
# Faults of one sender are logged once in this time.
FAULT_LOG_INTERVAL_S = 60.0
MAX_LOGGED_SENDERS = 1000


@dataclasses.dataclass(slots=True)
class Peer:
    """Another gateway.

    Attributes:
      address: Address from which it sends.
      last_seen_s: Loop time of its newest accepted datagram.
      incarnation: Process that sent that datagram.
      sequence: Sequence number of that datagram.
      ended_incarnations: Earlier processes with the same name.
    """

    address: Address
    last_seen_s: float
    incarnation: int
    sequence: int = -1
    ended_incarnations: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_ENDED_INCARNATIONS)
    )


class PeerTable:
    """The peers of this gateway."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}
        self._logged_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Returns the number of peers."""
        return len(self._peers)

    @property
    def addresses(self) -> list[Address]:
        """Addresses of all peers."""
        return [peer.address for peer in self._peers.values()]

    @property
    def addresses_by_name(self) -> dict[str, Address]:
        """Addresses of all peers, by name."""
        return {name: peer.address for name, peer in self._peers.items()}

    def accept(
        self, state: state_lib.State, address: Address, now: float
    ) -> bool:
        """Returns whether to apply a state, and records its sender if so.

        A state is rejected if a newer one was accepted, if the process that
        sent it has ended, or if there are too many peers.
        """
        peer = self._peers.get(state.node)
        if peer is None:
            if len(self._peers) >= MAX_PEERS:
                return False
            peer = Peer(address, now, state.incarnation)
            self._peers[state.node] = peer
        if state.incarnation in peer.ended_incarnations:
            return False
        if state.incarnation != peer.incarnation:
            peer.ended_incarnations.append(peer.incarnation)
            peer.incarnation, peer.sequence = state.incarnation, -1
            peer.address = address
        if state.sequence <= peer.sequence:
            return False
        if peer.address != address:
            if now - peer.last_seen_s < ADDRESS_CHANGE_S:
                return False
            peer.address = address
        peer.last_seen_s, peer.sequence = now, state.sequence
        return True

    def is_known(self, node: str, incarnation: int) -> bool:
        """Whether a process of a gateway is a peer."""
        peer = self._peers.get(node)
        return peer is not None and peer.incarnation == incarnation

    def remove_expired(self, now: float) -> list[str]:
        """Removes peers that have timed out, and returns their names."""
        expired = [
            node
            for node, peer in self._peers.items()
            if now - peer.last_seen_s
            > publish_timing.peer_timeout_s(1 + len(self._peers))
        ]
        for node in expired:
            del self._peers[node]
        return expired

    def should_log_fault(self, sender: str, now: float) -> bool:
        """Whether to log a fault of a sender; limits the rate per sender."""
        last_s = self._logged_s.get(sender)
        if last_s is not None and now - last_s < FAULT_LOG_INTERVAL_S:
            return False
        if len(self._logged_s) >= MAX_LOGGED_SENDERS:
            self._logged_s.clear()
        self._logged_s[sender] = now
        return True
