"""A simulated store table with the latencies and limits of the data sheet."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from quetzalsill_platform import rows as rows_lib

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import revision

__all__ = ['Rates', 'Table']


@dataclasses.dataclass(slots=True, frozen=True)
class Rates:
    """Latencies and limits of the store.

    Attributes:
      write_s: Duration of a write; a partition applies writes sequentially.
      max_queue_s: A write that would queue for longer is refused.
      response_time_s: Round-trip time that is added to every call.
      call_timeout_s: Time after which the client gives up; its write is still
        applied.
    """

    write_s: float = 0.005
    max_queue_s: float = 1.0
    response_time_s: float = 0.004
    call_timeout_s: float = 0.6


class Table:
    """Replaces `quetzalsill_platform.store.Store`, with a single partition.

    Attributes:
      reads: Number of read calls.
      writes: Number of write calls, whatever their outcome.
      refused: Number of refused writes.
      late: Number of writes that were applied after their clients timed out.
      entries: Addresses by name.
    """

    def __init__(self, rng: random.Random, rates: Rates) -> None:
        self.reads = self.writes = self.refused = self.late = 0
        self.entries: dict[str, str] = {}
        self._rng = rng
        self._rates = rates
        self._idle_at_s = 0.0
        self._version = 0

    async def read(self, _: str) -> rows_lib.Changes:
        """Returns all rows as of the call's arrival at the store."""
        self.reads += 1
        await self._network_delay()
        current = revision.Revision(0, self._version)
        rows = [
            rows_lib.Row(name, current, {'address': address})
            for name, address in self.entries.items()
        ]
        await self._network_delay()
        return rows_lib.Changes(rows, current)

    async def write(self, _: str, key: str, value: dict[str, str]) -> None:
        """Writes a row.

        Raises:
          error.SourceError: The write was refused or timed out.
        """
        self.writes += 1
        started_s = _now()
        await self._network_delay()
        self._idle_at_s = max(self._idle_at_s, _now())
        if self._idle_at_s - _now() > self._rates.max_queue_s:
            self.refused += 1
            await self._network_delay()
            raise error.SourceError('rows-tx: 429')
        self._idle_at_s += self._rates.write_s
        loop = asyncio.get_running_loop()
        loop.call_at(self._idle_at_s, self._apply, key, value['address'])
        timeout_at_s = started_s + self._rates.call_timeout_s
        if self._idle_at_s > timeout_at_s:
            self.late += 1
            await asyncio.sleep(timeout_at_s - _now())
            raise error.SourceError('rows-tx: upstream_silent')
        await asyncio.sleep(self._idle_at_s - _now())
        await self._network_delay()

    def _apply(self, name: str, address: str) -> None:
        self._version += 1
        self.entries[name] = address

    async def _network_delay(self) -> None:
        share = self._rng.uniform(0.8, 1.2) / 2
        await asyncio.sleep(self._rates.response_time_s * share)


def _now() -> float:
    return asyncio.get_running_loop().time()
