"""What goes to all other gateways, at a pace that a thin link bears.

In a fleet of hundreds one state told to all at once is longer than the queue of
a thin link. The end of it is lost each time, for the same gateways: they forget
one that is well, and callers' answers wait behind the rest. So in a large fleet
it goes out bit by bit until the next is due, in an order drawn anew.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import math
import random
from collections.abc import Callable

__all__ = ['Outbox']

Address = tuple[str, int]

STEP_S = 0.01
# For one gateway. Of what is told much sooner than it goes out, the oldest is
# left out; the whole, which follows, makes it good.
MAX_QUEUED = 4


class Outbox:
    """Datagrams of one gateway that are still to be sent to the others."""

    def __init__(
        self,
        send: Callable[[bytes, Address], None],
        rng: random.Random | None = None,
    ) -> None:
        """Starts with nothing to send.

        Args:
          send: Sends a datagram.
          rng: Draws the order of addresses.
        """
        self._send = send
        self._rng = rng or random.Random()
        self._queued: dict[Address, collections.deque[bytes]] = {}
        self._size = 0
        self._timer: asyncio.TimerHandle | None = None

    def send(
        self, data: bytes, addresses: list[Address], spread_s: float
    ) -> None:
        """Sends a datagram to all addresses.

        Whatever is told to one address arrives in order: what is overtaken is
        left out by its receiver, and may have said what the next does not.

        Args:
          data: The datagram.
          addresses: Where to.
          spread_s: Time in which it goes out, in seconds; 0 for at once.
        """
        if not spread_s and not self._queued:
            for address in addresses:
                self._send(data, address)
            return
        for address in self._rng.sample(addresses, len(addresses)):
            queue = self._queued.setdefault(
                address, collections.deque(maxlen=MAX_QUEUED)
            )
            queue.append(data)
        steps = max(1, math.ceil(spread_s / STEP_S))
        self._size = math.ceil(len(self._queued) / steps)
        if self._timer is None or steps == 1:
            self._step()

    def close(self) -> None:
        """Sends no more."""
        self._queued.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _step(self) -> None:
        for address in list(itertools.islice(self._queued, self._size)):
            for data in self._queued.pop(address):
                self._send(data, address)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._queued:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(STEP_S, self._step)
