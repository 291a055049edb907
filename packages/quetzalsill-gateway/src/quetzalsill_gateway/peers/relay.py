"""Relays updates through other gateways in a large fleet.

A gateway that gets a response from a source sends the update to all others. In
a fleet of hundreds, a slow link cannot carry that many datagrams before the
next response. So the update goes to some gateways, each of which forwards it to
a group. With groups of the square root of the fleet's size, no gateway sends
more than twice that. The groups are drawn again each time, so that the group of
a gateway that has just died gets the next update.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
import socket
from collections.abc import Callable, Iterator
from typing import Any

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import account_usage, publish_timing
from quetzalsill_gateway.peers import frame, update_codec
from quetzalsill_gateway.watch import update as update_lib

__all__ = ['Broadcast', 'decode', 'fan_out']

Address = tuple[str, int]

# Upper bound of a group, whoever sends it; somewhat above what the largest
# fleet planned for needs.
MAX_GROUP_SIZE = 64
PORTS = range(1, 65536)
# Delays after which an update is sent again. Each of the two hops may lose one
# datagram in ten, and one gateway in twenty may be paused, so that a single
# send misses a quarter of the fleet.
RESEND_DELAYS_S = (0.15, 0.3, 0.4)


class Broadcast:
    """Sends the updates of one gateway to all others."""

    def __init__(
        self,
        node: str,
        addresses: Callable[[], list[Address]],
        send: Callable[[bytes, Address], None],
        rng: random.Random | None = None,
    ) -> None:
        """Starts without updates.

        Args:
          node: Name of this gateway.
          addresses: Returns the addresses of the others.
          send: Sends a datagram to an address.
          rng: Draws the groups.
        """
        self._node = node
        self._addresses = addresses
        self._send = send
        self._rng = rng
        self._newest: dict[type, object] = {}
        self._resends: dict[type, list[asyncio.TimerHandle]] = {}

    def announce(self, update: update_codec.PeerUpdate) -> None:
        """Sends an update; in a large fleet a few times, if it is new."""
        data = update_codec.encode(self._node, update)
        self._fan_out(data)
        if isinstance(update, account_usage.AccountUpdate):
            # The next one replaces it soon.
            return
        if not isinstance(update, update_lib.Update):
            # It includes nothing of the previous one, whose repeats go on.
            self._schedule_repeats(data)
            return
        content = _content(update)
        if self._newest.get(type(update)) == content:
            return
        self._newest[type(update)] = content
        # The new update includes the content of the previous one.
        for resend in self._resends.pop(type(update), ()):
            resend.cancel()
        repeated = dataclasses.replace(update, is_repeat=True)
        data = update_codec.encode(self._node, repeated)
        self._resends[type(update)] = self._schedule_repeats(data)

    def _schedule_repeats(self, data: bytes) -> list[asyncio.TimerHandle]:
        if len(self._addresses()) < publish_timing.SMALL_FLEET:
            return []
        loop = asyncio.get_running_loop()
        return [
            loop.call_later(delay_s, self._fan_out, data)
            for delay_s in RESEND_DELAYS_S
        ]

    def _fan_out(self, data: bytes) -> None:
        for address, datagram in fan_out(data, self._addresses(), self._rng):
            self._send(datagram, address)


def _content(update: update_lib.Update) -> object:
    """Returns what an update changes, without the source's revision."""
    if isinstance(update, update_lib.MembershipUpdate):
        return update.changes, update.grace_s > 0
    return update.number, update.drains


def fan_out(
    data: bytes,
    addresses: list[Address],
    rng: random.Random | None = None,
) -> Iterator[tuple[Address, bytes]]:
    """Yields the datagrams by which every address gets `data`."""
    if len(addresses) < publish_timing.SMALL_FLEET:
        yield from ((address, data) for address in addresses)
        return
    drawn = (rng or random).sample(addresses, len(addresses))
    size = min(MAX_GROUP_SIZE, 1 + math.isqrt(len(drawn)))
    for first in range(0, len(drawn), size):
        head, *group = drawn[first : first + size]
        targets = [(socket.inet_aton(host), port) for host, port in group]
        yield head, frame.pack(frame.Kind.RELAY, (data, targets))


def decode(fields: list[Any]) -> tuple[bytes, list[Address]]:
    """Returns the datagram to forward and the addresses to send it to.

    Raises:
      error.PeerError: The fields are malformed.
    """
    try:
        data, group = fields
        if not isinstance(data, bytes) or len(group) > MAX_GROUP_SIZE:
            raise ValueError('no datagram or too many addresses')
        return data, [_address(*one) for one in group]
    except (*frame.DECODE_ERRORS, OSError) as exc:
        raise error.PeerError(f'malformed relay: {exc!r}') from exc


def _address(host: bytes, port: int) -> Address:
    if port not in PORTS:
        raise ValueError(f'invalid port {port!r}')
    return socket.inet_ntoa(host), port
