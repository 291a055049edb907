"""Table of the models that each upstream has loaded, one row for each."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from quetzalsill.platform import error, table

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ['TABLE', 'LoadedRows']

TABLE = 'placement'


@dataclasses.dataclass(slots=True)
class _OwnRow:
    """The own row as last written or read."""

    version: int
    models: list[str]
    written_at: float


class LoadedRows:
    """Publishes the models loaded here, and reads those of other upstreams.

    The own row is written on each change and every `confirm_s`. Its version
    thus shows other sidecars that this one is alive and that the row is
    current.
    """

    def __init__(
        self,
        rows: table.Table,
        upstream: str,
        confirm_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._rows = rows
        self._upstream = upstream
        self._confirm_s = confirm_s
        self._clock = clock
        self._own: _OwnRow | None = None
        self._seen_versions: dict[str, int] = {}

    async def confirm(self, models: list[str]) -> None:
        """Writes the own row if the models have changed or a write is due.

        Raises:
          PlatformError: The store fails to answer properly.
        """
        if self._own is None:
            row = await self._rows.get(TABLE, self._upstream)
            version = row.version if row else 0
            self._own = _OwnRow(version, _models(row), float('-inf'))
        due = self._own.written_at + self._confirm_s
        if models != self._own.models or self._clock() >= due:
            await self._write(models, [])

    async def take_out(self, model: str, others: Iterable[str]) -> bool:
        """Removes a model from the own row if another upstream has it loaded.

        Two sidecars that unload the same model at once would each see it
        loaded at the other. The write is therefore conditional on the version
        of the row that was read, so that only one of the two succeeds. A row
        counts only after its version has been seen to change, since the row
        of a dead upstream no longer changes.

        Returns:
          Whether the model may be unloaded now.

        Raises:
          PlatformError: The store fails to answer properly.
        """
        if self._own is None:
            return False
        models = [name for name in self._own.models if name != model]
        for name in others:
            row = await self._rows.get(TABLE, name)
            if row is None or model not in _models(row):
                self._seen_versions.pop(name, None)
            elif (
                self._seen_versions.setdefault(name, row.version) != row.version
            ):
                observed = table.Condition(TABLE, name, row.version)
                self._seen_versions.clear()
                return await self._write(models, [observed])
        return False

    async def _write(
        self, models: list[str], observed: list[table.Condition]
    ) -> bool:
        """Writes the own row; False if it or an observed row has changed."""
        own, self._own = self._own, None
        own_condition = table.Condition(TABLE, self._upstream, own.version)
        write = table.Write(TABLE, self._upstream, {'models': models})
        try:
            versions = await self._rows.transact(
                [own_condition, *observed], [write]
            )
        except error.ConditionFailedError:
            return False
        self._own = _OwnRow(versions[0], models, self._clock())
        return True


def _models(row: Any) -> list[str]:
    return list(row.value['models']) if row else []
