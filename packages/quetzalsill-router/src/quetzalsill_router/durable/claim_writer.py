"""Writes claim rows in groups."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Any

from quetzalsill.platform import error as platform_error
from quetzalsill.platform import table as platform_table
from quetzalsill.telemetry import log as telemetry_log

if TYPE_CHECKING:
    from quetzalsill_router.durable import throttle as durable_throttle

__all__ = ['ClaimWriter', 'Holder', 'TABLE']

TABLE = 'claims'
MAX_ROWS_PER_TRANSACTION = 500
MAX_ATTEMPTS = 3

LOG = telemetry_log.get(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Holder:
    """Who holds a key.

    Attributes:
      request: Id of the request.
      digest: Digest of the request.
      version: Version of the row; 0 if the key is free.
    """

    request: str = ''
    digest: str = ''
    version: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class _PendingClaim:
    key: str
    expected_version: int
    request: str
    digest: str
    done: asyncio.Future[Holder]


class ClaimWriter:
    """Puts the claims of an interval into one transaction."""

    def __init__(
        self, table: platform_table.Table, throttle: durable_throttle.Throttle
    ) -> None:
        self._table = table
        self._throttle = throttle
        self._pending: list[_PendingClaim] = []
        self._wakeup = asyncio.Event()

    async def put(
        self, key: str, expected: Holder, request: str, digest: str
    ) -> Holder:
        """Makes a request the holder of a key, if the row did not change.

        Returns:
          The holder now: the request, or who was there first.

        Raises:
          PlatformError: The row may or may not be written.
        """
        done = asyncio.get_running_loop().create_future()
        pending = _PendingClaim(key, expected.version, request, digest, done)
        self._pending.append(pending)
        self._wakeup.set()
        return await done

    async def run(self) -> None:
        """Writes until cancelled."""
        while True:
            await self._wakeup.wait()
            await self._throttle.acquire()
            await self._write(self._take_batch())

    def _take_batch(self) -> list[_PendingClaim]:
        """Takes the wishes of the next transaction, one for each key.

        The conditions of a transaction are checked before its writes, so
        two repeats of a request in one would both succeed and both run.
        """
        batch: dict[str, _PendingClaim] = {}
        postponed = []
        for pending in self._pending:
            if pending.key in batch or len(batch) == MAX_ROWS_PER_TRANSACTION:
                postponed.append(pending)
            elif not pending.done.done():
                batch[pending.key] = pending
        self._pending = postponed
        if not postponed:
            self._wakeup.clear()
        return list(batch.values())

    async def _write(self, batch: list[_PendingClaim]) -> None:
        """Writes a group; who finds its key held leaves it.

        A claim whose answer was lost is repeated. If it had taken effect
        its row has changed, and the condition fails with its own request as
        the holder, which its claimant reads as success.
        """
        tries = 0
        while batch:
            try:
                await self._table.transact(
                    [_condition(pending) for pending in batch],
                    [_to_write(pending) for pending in batch],
                )
            except platform_error.ConditionFailedError as exc:
                _resolve(batch.pop(exc.index), _to_holder(exc))
            except platform_error.PlatformError as exc:
                tries += 1
                lost = isinstance(exc, platform_error.PlatformAnswerLostError)
                if not lost or tries == MAX_ATTEMPTS:
                    _fail(batch, exc)
                    return
            else:
                for pending in batch:
                    _resolve(pending, Holder(pending.request, pending.digest))
                return


def _condition(pending: _PendingClaim) -> platform_table.Condition:
    return platform_table.Condition(
        TABLE, pending.key, pending.expected_version
    )


def _to_write(pending: _PendingClaim) -> platform_table.Write:
    value = {'request': pending.request, 'digest': pending.digest}
    return platform_table.Write(TABLE, pending.key, value)


def _to_holder(exc: platform_error.ConditionFailedError) -> Holder:
    value: Any = exc.value or {}
    return Holder(
        str(value.get('request', '')),
        str(value.get('digest', '')),
        exc.version,
    )


def _resolve(pending: _PendingClaim, holder: Holder) -> None:
    if not pending.done.done():
        pending.done.set_result(holder)


def _fail(
    batch: list[_PendingClaim], exc: platform_error.PlatformError
) -> None:
    LOG.warning('claims_failed', claims=len(batch), why=exc.code)
    for pending in batch:
        if not pending.done.done():
            pending.done.set_exception(exc)
