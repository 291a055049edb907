"""News for a large fleet, passed on by others.

Whoever is answered by a source tells all others. In a fleet of hundreds that
is more than a thin link carries before the next answer. So it goes to some,
each of which passes it on to a group: with groups of the square root of all,
nobody sends more than twice that. The groups are drawn anew each time, so that
those of a gateway that has just died hear the next.
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
from quetzalsill_gateway.fleet import publish_timing
from quetzalsill_gateway.peers import frame, update_codec
from quetzalsill_gateway.watch import update as update_lib

__all__ = ['Broadcast', 'decode', 'fan_out']

Address = tuple[str, int]

# Gateways in one group, whoever asks: that of the largest fleet planned for,
# and some.
MAX_GROUP_SIZE = 64
PORTS = range(1, 65536)
# When news is told again. A datagram in ten may be lost on each of two legs,
# and a gateway in twenty be paused: one telling misses a quarter of all.
RESEND_DELAYS_S = (0.15, 0.3, 0.4)


class Broadcast:
    """Tells all other gateways the news of one."""

    def __init__(
        self,
        node: str,
        addresses: Callable[[], list[Address]],
        send: Callable[[bytes, Address], None],
        rng: random.Random | None = None,
    ) -> None:
        """Prepares to tell.

        Args:
          node: Name of the gateway that tells.
          addresses: Returns where the others are.
          send: Sends a datagram.
          rng: Draws groups.
        """
        self._node = node
        self._addresses = addresses
        self._send = send
        self._rng = rng
        self._newest: dict[type, object] = {}
        self._repeats: dict[type, list[asyncio.TimerHandle]] = {}

    def announce(self, told: update_lib.Update) -> None:
        """Tells news; in a large fleet a few times, if it is new."""
        self._fan_out(update_codec.encode(self._node, told))
        content = _content(told)
        if self._newest.get(type(told)) == content:
            return
        self._newest[type(told)] = content
        # What is told now says what was told just before, too.
        for repeat in self._repeats.pop(type(told), ()):
            repeat.cancel()
        if len(self._addresses()) >= publish_timing.SMALL_FLEET:
            echo = dataclasses.replace(told, is_repeat=True)
            data = update_codec.encode(self._node, echo)
            loop = asyncio.get_running_loop()
            self._repeats[type(told)] = [
                loop.call_later(delay_s, self._fan_out, data)
                for delay_s in RESEND_DELAYS_S
            ]

    def _fan_out(self, data: bytes) -> None:
        for address, datagram in fan_out(data, self._addresses(), self._rng):
            self._send(datagram, address)


def _content(told: update_lib.Update) -> object:
    """Returns what counts of news, without how far the source has come."""
    if isinstance(told, update_lib.MembershipUpdate):
        return told.changes, told.grace_s > 0
    return told.number, told.drains


def fan_out(
    data: bytes,
    addresses: list[Address],
    rng: random.Random | None = None,
) -> Iterator[tuple[Address, bytes]]:
    """Yields datagrams by which every address gets `data`."""
    if len(addresses) < publish_timing.SMALL_FLEET:
        yield from ((address, data) for address in addresses)
        return
    drawn = (rng or random).sample(addresses, len(addresses))
    size = min(MAX_GROUP_SIZE, 1 + math.isqrt(len(drawn)))
    for first in range(0, len(drawn), size):
        head, *group = drawn[first : first + size]
        told = [(socket.inet_aton(host), port) for host, port in group]
        yield head, frame.pack(frame.Kind.RELAY, (data, told))


def decode(fields: list[Any]) -> tuple[bytes, list[Address]]:
    """Returns what to pass on, and to whom.

    Raises:
      error.PeerError: The fields hold none.
    """
    try:
        data, group = fields
        if not isinstance(data, bytes) or len(group) > MAX_GROUP_SIZE:
            raise ValueError('no datagram to pass on')
        return data, [_address(*one) for one in group]
    except (*frame.DECODE_ERRORS, OSError) as exc:
        raise error.PeerError(f'no relay: {exc!r}') from exc


def _address(host: bytes, port: int) -> Address:
    if port not in PORTS:
        raise ValueError(f'port {port!r}')
    return socket.inet_ntoa(host), port
