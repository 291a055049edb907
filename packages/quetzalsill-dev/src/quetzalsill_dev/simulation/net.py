"""Datagrams between gateways: delayed, lost, held up by cuts."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['Net']


class Net:
    """Carries what gateways tell each other.

    Attributes:
      datagrams: How many were sent, by sender.
      sent_bytes: Bytes of them, by sender.
      loss: Share that is lost.
      delay_s: Least and longest time on the way, in seconds.
      is_cut: Whether nothing passes from one gateway to another.
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
        self.is_cut: Callable[[str, str], bool] = lambda _, __: False
        self._rng = rng
        self._hearers: dict[str, Callable[[bytes, str], None]] = {}

    def join(self, node: str, hear: Callable[[bytes, str], None]) -> None:
        """Enters a gateway with what takes its datagrams."""
        self._hearers[node] = hear

    def leave(self, node: str) -> None:
        """Takes a gateway out: what is on its way to it is lost."""
        self._hearers.pop(node, None)

    def tell_all(self, node: str, data: bytes) -> None:
        """Sends a datagram to every other gateway."""
        for other in list(self._hearers):
            if other != node:
                self.tell(node, other, data)

    def tell(self, node: str, other: str, data: bytes) -> None:
        """Sends a datagram to one gateway."""
        self.datagrams[node] = self.datagrams.get(node, 0) + 1
        self.sent_bytes[node] = self.sent_bytes.get(node, 0) + len(data)
        if self._rng.random() >= self.loss:
            delay_s = self._rng.uniform(*self.delay_s)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._deliver, node, other, data)

    def _deliver(self, node: str, other: str, data: bytes) -> None:
        hear = self._hearers.get(other)
        if hear is not None and not self.is_cut(node, other):
            hear(data, node)
