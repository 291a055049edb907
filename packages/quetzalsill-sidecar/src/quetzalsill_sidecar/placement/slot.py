"""Slots of the weight store: so many engines may load at once."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from quetzalsill.platform import lease

if TYPE_CHECKING:
    from quetzalsill.platform import table

__all__ = ['Slots']


class Slots:
    """Leases of which each permits one load."""

    def __init__(self, rows: table.Table, owner: str, ttl_s: float) -> None:
        self._rows = rows
        self._owner = owner
        self._ttl_s = ttl_s
        self._first_slot = zlib.crc32(owner.encode())
        self._leases: dict[int, lease.Lease] = {}

    async def acquire(self, count: int) -> lease.Lease | None:
        """Takes a free slot of `count`; None if there is none.

        Each sidecar begins at another slot, so that a start of many does
        not race for the first one.

        Raises:
          PlatformError: The store does not answer as it should.
        """
        for offset in range(count):
            number = (self._first_slot + offset) % count
            slot = self._leases.setdefault(
                number,
                lease.Lease(
                    self._rows,
                    f'load-slot/{number}',
                    self._owner,
                    self._ttl_s,
                ),
            )
            if await slot.acquire():
                return slot
        return None
