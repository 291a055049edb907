"""Paces the datagrams that go to all other gateways.

In a fleet of hundreds, one state sent to all at once is larger than the queue
of a slow link. The link then drops the end of it each time, for the same
gateways: these time out a healthy peer, and responses to callers wait behind
the rest. So in a large fleet a state is sent in small batches until the next
one is due, in a new random order each time.
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

BATCH_INTERVAL_S = 0.01
# Datagrams queued for one gateway. If they are queued much faster than they are
# sent, the oldest is dropped; the next full state makes up for it.
MAX_QUEUED = 4


class Outbox:
    """Datagrams of this gateway that are still to be sent to the others."""

    def __init__(
        self,
        send: Callable[[bytes, Address], None],
        rng: random.Random | None = None,
    ) -> None:
        """Starts with nothing to send.

        Args:
          send: Sends a datagram to an address.
          rng: Draws the order of addresses.
        """
        self._send = send
        self._rng = rng or random.Random()
        self._queued: dict[Address, collections.deque[bytes]] = {}
        self._batch_size = 0
        self._timer: asyncio.TimerHandle | None = None

    def send(
        self, data: bytes, addresses: list[Address], spread_s: float
    ) -> None:
        """Sends a datagram to all addresses.

        Datagrams to one address stay in order: a receiver drops one that comes
        after a newer one, though the newer one may lack some of its changes.

        Args:
          data: The datagram.
          addresses: Addresses to send it to.
          spread_s: Time over which to send it, in seconds; 0 for at once.
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
        steps = max(1, math.ceil(spread_s / BATCH_INTERVAL_S))
        self._batch_size = math.ceil(len(self._queued) / steps)
        if self._timer is None or steps == 1:
            self._send_batch()

    def close(self) -> None:
        """Stops sending and drops what is queued."""
        self._queued.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send_batch(self) -> None:
        for address in list(itertools.islice(self._queued, self._batch_size)):
            for data in self._queued.pop(address):
                self._send(data, address)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._queued:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_INTERVAL_S, self._send_batch)
