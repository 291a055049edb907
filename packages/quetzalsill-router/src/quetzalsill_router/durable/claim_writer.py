"""Writes claim rows in groups."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Any

from quetzalsill.platform import error as platform_error
from quetzalsill.platform import table as platform_table
from quetzalsill.telemetry import log as telemetry_log

if TYPE_CHECKING:
    from quetzalsill_router.durable import pace as durable_pace

__all__ = ['ClaimWriter', 'Holder', 'TABLE']

TABLE = 'claims'
ROWS_AT_ONCE = 500
TRIES = 3

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
class _Wish:
    key: str
    instead_of: int
    request: str
    digest: str
    done: asyncio.Future[Holder]


class ClaimWriter:
    """Puts the claims of an interval into one transaction."""

    def __init__(
        self, table: platform_table.Table, pace: durable_pace.Pace
    ) -> None:
        self._table = table
        self._pace = pace
        self._wishes: list[_Wish] = []
        self._wanted = asyncio.Event()

    async def put(
        self, key: str, instead_of: Holder, request: str, digest: str
    ) -> Holder:
        """Makes a request the holder of a key, if the row did not change.

        Returns:
          The holder now: the request, or who was there first.

        Raises:
          PlatformError: The row may or may not be written.
        """
        done = asyncio.get_running_loop().create_future()
        wish = _Wish(key, instead_of.version, request, digest, done)
        self._wishes.append(wish)
        self._wanted.set()
        return await done

    async def run(self) -> None:
        """Writes until cancelled."""
        while True:
            await self._wanted.wait()
            await self._pace.turn()
            await self._write(self._cut())

    def _cut(self) -> list[_Wish]:
        """Takes the wishes of the next transaction, one for each key.

        The conditions of a transaction are checked before its writes, so
        two repeats of a request in one would both succeed and both run.
        """
        group: dict[str, _Wish] = {}
        left = []
        for wish in self._wishes:
            if wish.key in group or len(group) == ROWS_AT_ONCE:
                left.append(wish)
            elif not wish.done.done():
                group[wish.key] = wish
        self._wishes = left
        if not left:
            self._wanted.clear()
        return list(group.values())

    async def _write(self, group: list[_Wish]) -> None:
        """Writes a group; who finds its key held leaves it.

        A claim whose answer was lost is repeated. If it had taken effect
        its row has changed, and the condition fails with its own request as
        the holder, which its claimant reads as success.
        """
        tries = 0
        while group:
            try:
                await self._table.transact(
                    [_condition(wish) for wish in group],
                    [_to_row(wish) for wish in group],
                )
            except platform_error.ConditionFailedError as exc:
                _finish(group.pop(exc.index), _to_holder(exc))
            except platform_error.PlatformError as exc:
                tries += 1
                lost = isinstance(exc, platform_error.PlatformAnswerLostError)
                if not lost or tries == TRIES:
                    _fail(group, exc)
                    return
            else:
                for wish in group:
                    _finish(wish, Holder(wish.request, wish.digest))
                return


def _condition(wish: _Wish) -> platform_table.Condition:
    return platform_table.Condition(TABLE, wish.key, wish.instead_of)


def _to_row(wish: _Wish) -> platform_table.Write:
    value = {'request': wish.request, 'digest': wish.digest}
    return platform_table.Write(TABLE, wish.key, value)


def _to_holder(exc: platform_error.ConditionFailedError) -> Holder:
    value: Any = exc.value or {}
    return Holder(
        str(value.get('request', '')),
        str(value.get('digest', '')),
        exc.version,
    )


def _finish(wish: _Wish, holder: Holder) -> None:
    if not wish.done.done():
        wish.done.set_result(holder)


def _fail(group: list[_Wish], exc: platform_error.PlatformError) -> None:
    LOG.warning('claims_failed', claims=len(group), why=exc.code)
    for wish in group:
        if not wish.done.done():
            wish.done.set_exception(exc)
