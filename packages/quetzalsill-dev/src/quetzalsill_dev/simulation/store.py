"""A source of configuration and membership, kept in memory."""

from __future__ import annotations

import asyncio
import copy as copy_lib
import dataclasses
import enum
import random
from typing import TYPE_CHECKING, TypeVar

from quetzalsill_gateway import error, source
from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.fleet import upstream, zones

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from quetzalsill_gateway.watch import epoch as epoch_lib

__all__ = ['Away', 'Copy', 'Store']

Item = TypeVar('Item')

CALL_S = 0.6


class Away(enum.Enum):
    """How the store treats a gateway."""

    SERVES = 'serves'
    REFUSES = 'refuses'
    SILENT = 'silent'
    LOSES_ANSWERS = 'loses_answers'


@dataclasses.dataclass(slots=True)
class _Change:
    version: int
    key: str
    value: object


@dataclasses.dataclass(slots=True)
class Copy:
    """All that the store held at one moment.

    Attributes:
      version: Its version then.
      entries: Entries of servers, by name.
      documents: What operators had written, in order.
      history: What had changed in the entries, in order.
    """

    version: int
    entries: dict[str, _Change]
    documents: list[_Change]
    history: list[_Change]


class Store:
    """Two tables with their history.

    Attributes:
      calls: How often each gateway has asked.
      answer_s: Time of an answer.
      treat: How each gateway is treated.
      epoch: Told in every answer; 0 is not told.
      hides_epoch: Whether a gateway doesn't look at it.
      is_past: Whether it tells a gateway that its history is lost, each time.
    """

    def __init__(self, rng: random.Random, answer_s: float = 0.004) -> None:
        self.calls: dict[str, int] = {}
        self.answer_s = answer_s
        self.treat: Callable[[str], Away] = lambda _: Away.SERVES
        self.epoch = 0
        self.hides_epoch: Callable[[str], bool] = lambda _: False
        self.is_past: Callable[[str], bool] = lambda _: False
        self._rng = rng
        self._version = 1
        self._entries: dict[str, _Change] = {}
        self._documents: list[_Change] = []
        self._history: list[_Change] = []
        self._oldest = 0
        self._changed = asyncio.Event()

    @property
    def version(self) -> int:
        """Version of the newest change."""
        return self._version

    def enter(self, found: upstream.Upstream) -> None:
        """Writes an entry, also if nothing in it is new."""
        change = _Change(self._next(), found.id, dataclasses.replace(found))
        self._entries[found.id] = change
        self._history.append(change)
        self._wake()

    def drop(self, name: str) -> None:
        """Drops an entry."""
        self._entries.pop(name, None)
        self._history.append(_Change(self._next(), name, None))
        self._wake()

    def configure(self, document: bytes) -> None:
        """Writes a configuration."""
        self._documents.append(_Change(self._next(), '', document))
        self._wake()

    def drain_zone(self, zone: str, *, is_on: bool) -> None:
        """Writes an order to drain a zone, or drops it."""
        self._documents.append(_Change(self._next(), zone, is_on))
        self._wake()

    def forget_history(self) -> None:
        """Drops what watches from before now would ask for."""
        self._history.clear()
        self._oldest = self._version

    def copy(self) -> Copy:
        """Returns a copy of all that it holds now."""
        return Copy(
            self._version,
            copy_lib.copy(self._entries),
            copy_lib.copy(self._documents),
            copy_lib.copy(self._history),
        )

    def restore(self, copy: Copy, epochs: int = 1) -> None:
        """Comes back from a copy: versions go back and are given out again.

        Args:
          copy: The copy; what was written since is lost.
          epochs: By how much its epoch rises.
        """
        self.epoch += epochs
        self._version = copy.version
        self._entries = copy_lib.copy(copy.entries)
        self._documents = copy_lib.copy(copy.documents)
        self._history = copy_lib.copy(copy.history)
        self._oldest = min(self._oldest, copy.version)
        self._wake()

    def ask_membership(
        self, node: str, epochs: epoch_lib.EpochTracker
    ) -> source.Poll[upstream.Change]:
        """Returns what a gateway asks for entries with."""

        async def ask(
            after: revision_lib.Revision | None, wait_s: float
        ) -> source.PollResult[upstream.Change] | None:
            told = await self._told(node, epochs, after, wait_s, self._servers)
            return told and told.found(
                upstream.Change(row.key, told.at(row), row.value)
                for row in told.rows
            )

        return ask

    def ask_configuration(
        self, node: str, epochs: epoch_lib.EpochTracker
    ) -> source.Poll[source.OperatorItem]:
        """Returns what a gateway asks for all that operators write with."""

        async def ask(
            after: revision_lib.Revision | None, wait_s: float
        ) -> source.PollResult[source.OperatorItem] | None:
            told = await self._told(
                node, epochs, after, wait_s, self._operators
            )
            return told and told.found(_items(told))

        return ask

    def _servers(self, after: int | None) -> list[_Change]:
        if after is None:
            return list(self._entries.values())
        return [row for row in self._history if row.version > after]

    def _operators(self, after: int | None) -> list[_Change]:
        rows = self._documents
        if after is not None:
            rows = [row for row in rows if row.version > after]
        return list({row.key: row for row in rows}.values())

    async def _told(
        self,
        node: str,
        epochs: epoch_lib.EpochTracker,
        after: revision_lib.Revision | None,
        wait_s: float,
        rows: Callable[[int | None], list[_Change]],
    ) -> _Told | None:
        """Returns an answer; None if it says that there is none from there."""
        asked = epochs.newest
        told: _Told | None = None
        try:
            async with self._call(node, wait_s):
                found = await self._behind(rows, after, wait_s)
                epoch = self._epoch_for(node)
                told = _Told(found, epoch, self._version, after is None)
                is_gone = after is not None and self._is_gone(node, after)
        except _RefusedError as exc:
            epochs.observe('refusal', self._epoch_for(node), asked)
            raise error.SourceError('refused') from exc
        epochs.observe('answer', told.epoch, asked)
        if is_gone or (after is not None and after.epoch != told.epoch):
            return None
        return told

    def _epoch_for(self, node: str) -> int:
        return 0 if self.hides_epoch(node) else self.epoch

    def _is_gone(self, node: str, after: revision_lib.Revision) -> bool:
        if self.is_past(node) or after.version < self._oldest:
            return True
        # A version that it doesn't have, in the epoch that it is in.
        return self.epoch > 0 and after.version > self._version

    def _call(self, node: str, wait_s: float) -> _Call:
        self.calls[node] = self.calls.get(node, 0) + 1
        answer_s = self.answer_s * self._rng.uniform(0.8, 1.2)
        return _Call(self.treat(node), answer_s, wait_s + CALL_S)

    async def _behind(
        self,
        rows: Callable[[int | None], list[_Change]],
        after: revision_lib.Revision | None,
        wait_s: float,
    ) -> list[_Change]:
        """Returns rows as soon as there are any, or the store has gone back."""
        if after is None:
            return rows(None)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        epoch = self.epoch
        while True:
            found = rows(after.version)
            left_s = end_s - loop.time()
            if found or left_s <= 0 or epoch != self.epoch:
                return found
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                return []

    def _next(self) -> int:
        self._version += self._rng.randint(1, 3)
        return self._version

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


@dataclasses.dataclass(slots=True)
class _Told:
    """An answer of the store."""

    rows: list[_Change]
    epoch: int
    version: int
    is_whole: bool

    def at(self, row: _Change) -> revision_lib.Revision:
        """Returns the revision at which a row changed."""
        return revision_lib.Revision(self.epoch, row.version)

    def found(self, items: Iterable[Item]) -> source.PollResult[Item]:
        """Returns the answer as a gateway takes it."""
        revision = revision_lib.Revision(self.epoch, self.version)
        return source.PollResult(list(items), revision, self.is_whole)


def _items(told: _Told) -> Iterator[source.OperatorItem]:
    for row in told.rows:
        if isinstance(row.value, bytes):
            yield source.Document(row.value, told.at(row))
        elif row.value or not told.is_whole:
            yield zones.Drain(row.key, told.at(row), bool(row.value))


class _RefusedError(Exception):
    """The store refuses, and says its epoch in that answer, too."""


@dataclasses.dataclass(slots=True)
class _Call:
    """One call: its way there and back, or what becomes of it instead."""

    away: Away
    answer_s: float
    most_s: float

    async def __aenter__(self) -> None:
        await asyncio.sleep(self.answer_s / 2)
        if self.away is Away.REFUSES:
            raise _RefusedError
        if self.away is Away.SILENT:
            await asyncio.sleep(self.most_s)
            raise error.SourceError('silent')

    async def __aexit__(self, kind: object, exc: object, _: object) -> None:
        if kind is not None:
            return
        if self.away is Away.LOSES_ANSWERS:
            await asyncio.sleep(self.most_s)
            raise error.SourceError('silent')
        await asyncio.sleep(self.answer_s / 2)
