"""A store's table with the rates of a sheet, for gateways that enter it."""

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
    """What the store bears.

    Attributes:
      write_s: Time of a write; one partition makes one after another.
      most_waiting_s: A write that would wait longer is refused.
      answer_s: Time of any answer, on top.
      call_s: After this time a caller gives up; its write is made all the same.
    """

    write_s: float = 0.005
    most_waiting_s: float = 1.0
    answer_s: float = 0.004
    call_s: float = 0.6


class Table:
    """Stands in for `quetzalsill_platform.store.Store`, with one partition.

    Attributes:
      reads: Calls that read.
      writes: Calls that write, whatever became of them.
      refused: Writes that were refused.
      unanswered: Writes that were made after their callers had given up.
      held: Addresses by name.
    """

    def __init__(self, rng: random.Random, rates: Rates) -> None:
        self.reads = self.writes = self.refused = self.unanswered = 0
        self.held: dict[str, str] = {}
        self._rng = rng
        self._rates = rates
        self._free_s = 0.0
        self._version = 0

    async def read(self, _: str) -> rows_lib.Changes:
        """Returns all rows, as they are when the store gets to the call."""
        self.reads += 1
        await self._travel()
        newest = revision.Revision(0, self._version)
        found = [
            rows_lib.Row(name, newest, {'address': address})
            for name, address in self.held.items()
        ]
        await self._travel()
        return rows_lib.Changes(found, newest)

    async def write(self, _: str, key: str, value: dict[str, str]) -> None:
        """Writes a row.

        Raises:
          error.SourceError: It was refused, or was not answered in time.
        """
        self.writes += 1
        begun_s = _now()
        await self._travel()
        self._free_s = max(self._free_s, _now())
        if self._free_s - _now() > self._rates.most_waiting_s:
            self.refused += 1
            await self._travel()
            raise error.SourceError('rows-tx: 429')
        self._free_s += self._rates.write_s
        loop = asyncio.get_running_loop()
        loop.call_at(self._free_s, self._enter, key, value['address'])
        ends_s = begun_s + self._rates.call_s
        if self._free_s > ends_s:
            self.unanswered += 1
            await asyncio.sleep(ends_s - _now())
            raise error.SourceError('rows-tx: upstream_silent')
        await asyncio.sleep(self._free_s - _now())
        await self._travel()

    def _enter(self, name: str, address: str) -> None:
        self._version += 1
        self.held[name] = address

    async def _travel(self) -> None:
        share = self._rng.uniform(0.8, 1.2) / 2
        await asyncio.sleep(self._rates.answer_s * share)


def _now() -> float:
    return asyncio.get_running_loop().time()
