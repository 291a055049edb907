"""Load slots, which limit how many engines load weights at once."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from quetzalsill.platform import lease

if TYPE_CHECKING:
    from quetzalsill.platform import table

__all__ = ['Slots']


class Slots:
    """Leases, each of which permits one load."""

    def __init__(self, rows: table.Table, owner: str, ttl_s: float) -> None:
        self._rows = rows
        self._owner = owner
        self._ttl_s = ttl_s
        self._first_slot = zlib.crc32(owner.encode())
        self._leases: dict[int, lease.Lease] = {}

    async def acquire(self, count: int) -> lease.Lease | None:
        """Acquires a free slot out of `count`; None if there is none.

        Sidecars start their search at different slots, so that many that
        start at once do not all compete for the first one.

        Raises:
          PlatformError: The store fails to answer properly.
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
