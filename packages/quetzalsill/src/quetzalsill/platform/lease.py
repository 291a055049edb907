"""A lease on a name, held by one process at a time, kept in one row.

The row's version changes with every write, and every write is conditional on
the version last seen, so the table serializes all holders. Two clocks are
never compared:

- The holder counts its own time from before its write was sent, less a margin.
- Anyone else counts its own time from after it first read a version, and
  takes the lease only when that version has stood for the whole TTL.

The write comes before the read that sees it, so the first span ends before
the second as long as the two clocks run at rates that differ by less than the
margin.
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
    """Gives monotonic seconds that also pass while the host is suspended.

    `time.monotonic` stands still then, and a holder would wake with a lease
    that others have long seen lapse.
    """
    return time.clock_gettime(CLOCK)


@dataclasses.dataclass(slots=True, frozen=True)
class _Record:
    """Value of a lease's row.

    Attributes:
      owner: Name of the holder; empty once released.
      nonce: The holder's `Lease` object, so that a restarted process of the
        same name counts as another holder.
      fence: Grows by one with each change of holder.
      ttl_s: TTL of the holder, by which others judge it.
      write: Counts the holder's writes, so that it tells its own apart.
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
    """One process's side of a lease; its calls must not overlap.

    Check `valid()` just before each effect that the lease guards, and hand
    `fence` on to whatever can refuse a lower one.

    Attributes:
      fence: Fencing number of the newest acquisition; 0 before the first.
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
        """Tells whether nobody else can hold the lease now."""
        return self._clock() < self._deadline

    def remaining_s(self) -> float:
        """Seconds of validity left; 0 if none."""
        return max(0.0, self._deadline - self._clock())

    async def acquire(self) -> bool:
        """Takes the lease if it is free, lapsed or this object's own.

        To find it lapsed takes two calls at least, a TTL apart.

        Returns:
          False if another holds it or may hold it.

        Raises:
          PlatformUnavailableError: The table does not answer.
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
          PlatformUnavailableError: The table does not answer; the lease
            stays valid until its deadline.
          PlatformAnswerLostError: Likewise; it may turn out extended.
        """
        if self._version is None:
            return False
        return await self._write(self._version, self._new_record(self.fence))

    async def release(self) -> None:
        """Frees the lease for others at once; valid() is False from now on.

        Raises:
          PlatformUnavailableError: It lapses by itself instead.
          PlatformAnswerLostError: Likewise, unless it was freed.
        """
        self._deadline = float('-inf')
        version, self._version = self._version, None
        for _ in range(MAX_RELEASE_ATTEMPTS):
            if version is None:
                return
            version = await self._write_released(version)

    async def _write_released(self, version: int) -> int | None:
        """Writes a free row; gives the version to try next, if any."""
        record = dataclasses.replace(self._new_record(self.fence), owner='')
        try:
            await self._transact(version, record)
        except error.ConditionFailedError as exc:
            # A renewal whose answer was lost may have come in between.
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
        """Reads the row after a write whose answer was lost.

        Raises:
          PlatformAnswerLostError: The read was not answered either, so that
            the write stays in doubt.
        """
        try:
            row = await self._rows.get(TABLE, self._name)
        except error.PlatformUnavailableError as exc:
            raise error.PlatformAnswerLostError(exc.detail) from exc
        return row or table.Row(0, None)

    async def _resolve(
        self, version: int, value: Any, record: _Record, sent_at: float
    ) -> bool:
        """Decides what became of a write that was not answered plainly.

        Only the very write that was sent extends the deadline. An older one
        of this object that came late moves the version alone, and the next
        renewal goes on from there.
        """
        found = _parse(value)
        if found == record:
            self._mark_held(version, record, sent_at)
            return True
        if found is not None and self._owns(found):
            self._version = version
            self.fence = found.fence
            return self.valid()
        # An acquisition that has not come through may still do so. It counts
        # for nothing here, and others see it lapse after a TTL.
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
