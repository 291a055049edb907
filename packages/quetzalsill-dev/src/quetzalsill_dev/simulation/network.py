"""A simulated network with delay, loss and partitions."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['Network']


class Network:
    """Delivers datagrams between gateways.

    Attributes:
      datagrams: Number of datagrams sent, by sender.
      sent_bytes: Number of bytes sent, by sender.
      loss: Share of datagrams that is lost.
      delay_s: Minimum and maximum delivery delay, in seconds.
      is_partitioned: Whether datagrams from one gateway to another are dropped.
    """

    def __init__(
        self,
        rng: random.Random,
        delay_s: tuple[float, float] = (0.0005, 0.002),
    ) -> None:
        self.datagrams: dict[str, int] = {}
        self.sent_bytes: dict[str, int] = {}
        self.loss = 0.0
        self.delay_s = delay_s
        self.is_partitioned: Callable[[str, str], bool] = lambda _, __: False
        self._rng = rng
        self._receivers: dict[str, Callable[[bytes, str], None]] = {}

    def join(self, node: str, receive: Callable[[bytes, str], None]) -> None:
        """Adds a gateway with the callback that receives its datagrams."""
        self._receivers[node] = receive

    def leave(self, node: str) -> None:
        """Removes a gateway; datagrams in flight to it are lost."""
        self._receivers.pop(node, None)

    def broadcast(self, sender: str, data: bytes) -> None:
        """Sends a datagram to every other gateway."""
        for receiver in list(self._receivers):
            if receiver != sender:
                self.send(sender, receiver, data)

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Sends a datagram to one gateway."""
        self.datagrams[sender] = self.datagrams.get(sender, 0) + 1
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + len(data)
        if self._rng.random() >= self.loss:
            delay_s = self._rng.uniform(*self.delay_s)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._deliver, sender, receiver, data)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        receive = self._receivers.get(receiver)
        if receive is not None and not self.is_partitioned(sender, receiver):
            receive(data, sender)
