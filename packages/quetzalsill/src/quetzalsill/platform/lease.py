"""A lease on a name, held by one process at a time and stored in one row.

The row's version changes with every write, and every write is conditional on
the version last read, so the table serializes all holders. Clocks of different
hosts are never compared:

- The holder measures the TTL, less a margin, from before it sent its write.
- Other processes measure the TTL from after they first read a version, and
  take the lease only if that version has not changed for the whole TTL.

The write precedes the read that returns it, so the holder's period ends before
that of the others as long as the rates of the two clocks differ by less than
the margin.
"""

from __future__ import annotations

import dataclasses
import secrets
import time
from typing import TYPE_CHECKING, Any

from quetzalsill.platform import error, table

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['Lease', 'suspend_aware_clock']

TABLE = 'lease'
CLOCK_DRIFT_MARGIN = 0.1
MAX_RELEASE_ATTEMPTS = 3
CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def suspend_aware_clock() -> float:
    """Returns monotonic seconds that include time the host is suspended.

    `time.monotonic` stops during a suspension, so a holder would resume with a
    lease that has already expired for the others.
    """
    return time.clock_gettime(CLOCK)


@dataclasses.dataclass(slots=True, frozen=True)
class _Record:
    """Value of a lease's row.

    Attributes:
      owner: Name of the holder; empty once released.
      nonce: Identifies the holder's `Lease` object, so that a restarted
        process of the same name counts as another holder.
      fence: Incremented by one with each change of holder.
      ttl_s: TTL of the holder, which others use to detect expiry.
      write: Number of the holder's write, which identifies it.
    """

    owner: str
    nonce: str
    fence: int
    ttl_s: float
    write: int


def _parse(value: Any) -> _Record | None:
    if value is None:
        return None
    try:
        return _Record(**value)
    except TypeError as exc:
        raise error.PlatformProtocolError(f'lease row: {exc}') from exc


class Lease:
    """A process's handle to a lease; its calls must not overlap.

    Check `valid()` immediately before each operation that the lease protects,
    and pass `fence` to any component that can reject a lower one.

    Attributes:
      fence: Fencing token of the latest acquisition; 0 before the first.
    """

    def __init__(
        self,
        rows: table.Table,
        name: str,
        owner: str,
        ttl_s: float,
        clock: Callable[[], float] = suspend_aware_clock,
    ) -> None:
        self.fence = 0
        self._rows = rows
        self._name = name
        self._owner = owner
        self._ttl_s = ttl_s
        self._clock = clock
        self._nonce = secrets.token_hex(8)
        self._writes = 0
        self._version: int | None = None
        self._deadline = float('-inf')
        self._observed: tuple[int, _Record] | None = None
        self._observed_at = 0.0

    def valid(self) -> bool:
        """Returns whether no other process can hold the lease now."""
        return self._clock() < self._deadline

    def remaining_s(self) -> float:
        """Returns the remaining seconds of validity; 0 if not valid."""
        return max(0.0, self._deadline - self._clock())

    async def acquire(self) -> bool:
        """Takes the lease if it is free, expired or held by this object.

        Detecting expiry takes at least two calls that are a TTL apart.

        Returns:
          False if another process holds it or may hold it.

        Raises:
          PlatformUnavailableError: The table does not respond.
          PlatformAnswerLostError: Neither the write nor a read was answered;
            the lease is not valid here.
        """
        row = await self._rows.get(TABLE, self._name)
        found = _parse(row.value) if row else None
        if row is None or found is None:
            return await self._write(0, self._new_record(1))
        if self._owns(found):
            return await self._write(row.version, self._new_record(found.fence))
        if found.owner and not self._has_expired(row.version, found):
            return False
        return await self._write(row.version, self._new_record(found.fence + 1))

    async def renew(self) -> bool:
        """Extends the lease by a TTL from now.

        Returns:
          False if it is lost; `valid()` is False from then on.

        Raises:
          PlatformUnavailableError: The table does not respond; the lease
            stays valid until its deadline.
          PlatformAnswerLostError: Likewise; the renewal may have taken effect.
        """
        if self._version is None:
            return False
        return await self._write(self._version, self._new_record(self.fence))

    async def release(self) -> None:
        """Releases the lease at once; `valid()` is False from then on.

        Raises:
          PlatformUnavailableError: The lease expires by itself instead.
          PlatformAnswerLostError: Likewise, unless it was released.
        """
        self._deadline = float('-inf')
        version, self._version = self._version, None
        for _ in range(MAX_RELEASE_ATTEMPTS):
            if version is None:
                return
            version = await self._write_released(version)

    async def _write_released(self, version: int) -> int | None:
        """Marks the row as free; returns the version to retry with, if any."""
        record = dataclasses.replace(self._new_record(self.fence), owner='')
        try:
            await self._transact(version, record)
        except error.ConditionFailedError as exc:
            # A renewal whose response was lost may have been applied since.
            found = _parse(exc.value)
            return exc.version if found and self._owns(found) else None
        return None

    async def _write(self, version: int, record: _Record) -> bool:
        sent_at = self._clock()
        try:
            versions = await self._transact(version, record)
        except error.ConditionFailedError as exc:
            return await self._resolve(exc.version, exc.value, record, sent_at)
        except error.PlatformAnswerLostError:
            row = await self._read_back()
            return await self._resolve(row.version, row.value, record, sent_at)
        self._mark_held(versions[0], record, sent_at)
        return True

    async def _read_back(self) -> table.Row:
        """Reads the row after a write whose response was lost.

        Raises:
          PlatformAnswerLostError: The read failed as well, so the outcome of
            the write remains unknown.
        """
        try:
            row = await self._rows.get(TABLE, self._name)
        except error.PlatformUnavailableError as exc:
            raise error.PlatformAnswerLostError(exc.detail) from exc
        return row or table.Row(0, None)

    async def _resolve(
        self, version: int, value: Any, record: _Record, sent_at: float
    ) -> bool:
        """Determines the outcome of a write from the current row.

        Only the write itself extends the deadline. If the row holds an older
        write of this object that was applied late, only the version is
        updated, and the next renewal continues from it.
        """
        found = _parse(value)
        if found == record:
            self._mark_held(version, record, sent_at)
            return True
        if found is not None and self._owns(found):
            self._version = version
            self.fence = found.fence
            return self.valid()
        # The write may still be applied later. It is ignored here, and the
        # other processes see it expire after a TTL.
        self._version = None
        self._deadline = float('-inf')
        return False

    def _mark_held(self, version: int, record: _Record, sent_at: float) -> None:
        self._version = version
        self.fence = record.fence
        self._deadline = sent_at + self._ttl_s * (1 - CLOCK_DRIFT_MARGIN)

    def _owns(self, found: _Record) -> bool:
        return bool(found.owner) and found.nonce == self._nonce

    def _new_record(self, fence: int) -> _Record:
        self._writes += 1
        return _Record(
            self._owner, self._nonce, fence, self._ttl_s, self._writes
        )

    def _has_expired(self, version: int, found: _Record) -> bool:
        now = self._clock()
        if self._observed != (version, found):
            self._observed = (version, found)
            self._observed_at = now
            return False
        return now - self._observed_at >= found.ttl_s

    async def _transact(self, version: int, record: _Record) -> list[int]:
        condition = table.Condition(TABLE, self._name, version)
        write = table.Write(TABLE, self._name, dataclasses.asdict(record))
        return await self._rows.transact([condition], [write])
