"""An in-memory source of configuration and membership."""

from __future__ import annotations

import asyncio
import copy
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

__all__ = ['StoreMode', 'Snapshot', 'Store']

Item = TypeVar('Item')

CALL_TIMEOUT_S = 0.6


class StoreMode(enum.Enum):
    """How the store responds to a gateway."""

    SERVES = 'serves'
    REFUSES = 'refuses'
    SILENT = 'silent'
    LOSES_RESPONSES = 'loses_responses'


@dataclasses.dataclass(slots=True)
class _Change:
    version: int
    key: str
    value: object


@dataclasses.dataclass(slots=True)
class Snapshot:
    """Contents of the store at one moment.

    Attributes:
      version: Version of the store at that moment.
      entries: Server entries, by name.
      documents: Documents and orders written by operators, in order.
      history: Changes of server entries, in order.
    """

    version: int
    entries: dict[str, _Change]
    documents: list[_Change]
    history: list[_Change]


class Store:
    """Stores server entries and operator documents with their history.

    Attributes:
      calls: Number of calls by each gateway.
      response_time_s: Mean duration of a call, in seconds.
      mode_for: Returns how the store responds to a gateway.
      epoch: Epoch sent in each response; 0 if the store sends none.
      hides_epoch: Whether a gateway ignores the epoch.
      reports_compacted: Whether the store tells a gateway in each response that
        its history is lost.
    """

    def __init__(
        self, rng: random.Random, response_time_s: float = 0.004
    ) -> None:
        self.calls: dict[str, int] = {}
        self.response_time_s = response_time_s
        self.mode_for: Callable[[str], StoreMode] = lambda _: StoreMode.SERVES
        self.epoch = 0
        self.hides_epoch: Callable[[str], bool] = lambda _: False
        self.reports_compacted: Callable[[str], bool] = lambda _: False
        self._rng = rng
        self._version = 1
        self._entries: dict[str, _Change] = {}
        self._documents: list[_Change] = []
        self._history: list[_Change] = []
        self._compacted_version = 0
        self._changed = asyncio.Event()

    @property
    def version(self) -> int:
        """Version of the newest change."""
        return self._version

    def put_entry(self, entry: upstream.Upstream) -> None:
        """Writes a server entry, even if nothing in it has changed."""
        change = _Change(
            self._next_version(), entry.id, dataclasses.replace(entry)
        )
        self._entries[entry.id] = change
        self._history.append(change)
        self._notify_watches()

    def remove_entry(self, name: str) -> None:
        """Removes a server entry."""
        self._entries.pop(name, None)
        self._history.append(_Change(self._next_version(), name, None))
        self._notify_watches()

    def configure(self, document: bytes) -> None:
        """Writes a configuration document."""
        self._documents.append(_Change(self._next_version(), '', document))
        self._notify_watches()

    def drain_zone(self, zone: str, *, is_on: bool) -> None:
        """Writes or withdraws an order to drain a zone."""
        self._documents.append(_Change(self._next_version(), zone, is_on))
        self._notify_watches()

    def compact(self) -> None:
        """Discards the history that older watches would continue from."""
        self._history.clear()
        self._compacted_version = self._version

    def snapshot(self) -> Snapshot:
        """Returns a copy of the current contents."""
        return Snapshot(
            self._version,
            copy.copy(self._entries),
            copy.copy(self._documents),
            copy.copy(self._history),
        )

    def restore(self, snapshot: Snapshot, epochs: int = 1) -> None:
        """Restores a snapshot; versions after it are assigned again.

        Args:
          snapshot: Contents to restore; all later writes are lost.
          epochs: Number to add to the epoch.
        """
        self.epoch += epochs
        self._version = snapshot.version
        self._entries = copy.copy(snapshot.entries)
        self._documents = copy.copy(snapshot.documents)
        self._history = copy.copy(snapshot.history)
        self._compacted_version = min(self._compacted_version, snapshot.version)
        self._notify_watches()

    def membership_poll(
        self, node: str, epochs: epoch_lib.EpochTracker
    ) -> source.Poll[upstream.Change]:
        """Returns the function with which a gateway polls server entries."""

        async def poll(
            after: revision_lib.Revision | None, wait_s: float
        ) -> source.PollResult[upstream.Change] | None:
            response = await self._respond(
                node, epochs, after, wait_s, self._membership_rows
            )
            return response and response.to_poll_result(
                upstream.Change(row.key, response.revision_of(row), row.value)
                for row in response.rows
            )

        return poll

    def configuration_poll(
        self, node: str, epochs: epoch_lib.EpochTracker
    ) -> source.Poll[source.OperatorItem]:
        """Returns the function with which a gateway polls operator items."""

        async def poll(
            after: revision_lib.Revision | None, wait_s: float
        ) -> source.PollResult[source.OperatorItem] | None:
            response = await self._respond(
                node, epochs, after, wait_s, self._operator_rows
            )
            return response and response.to_poll_result(_items(response))

        return poll

    def _membership_rows(self, after: int | None) -> list[_Change]:
        if after is None:
            return list(self._entries.values())
        return [row for row in self._history if row.version > after]

    def _operator_rows(self, after: int | None) -> list[_Change]:
        rows = self._documents
        if after is not None:
            rows = [row for row in rows if row.version > after]
        return list({row.key: row for row in rows}.values())

    async def _respond(
        self,
        node: str,
        epochs: epoch_lib.EpochTracker,
        after: revision_lib.Revision | None,
        wait_s: float,
        read_rows: Callable[[int | None], list[_Change]],
    ) -> _Response | None:
        """Returns a response; None if `after` is no longer in the history."""
        epoch_at_call = epochs.newest
        response: _Response | None = None
        try:
            async with self._call(node, wait_s):
                rows = await self._wait_for_rows(read_rows, after, wait_s)
                epoch = self._epoch_for(node)
                response = _Response(rows, epoch, self._version, after is None)
                is_compacted = after is not None and self._is_compacted(
                    node, after
                )
        except _RefusedError as exc:
            epochs.observe('refusal', self._epoch_for(node), epoch_at_call)
            raise error.SourceError('refused') from exc
        epochs.observe('answer', response.epoch, epoch_at_call)
        if is_compacted or (
            after is not None and after.epoch != response.epoch
        ):
            return None
        return response

    def _epoch_for(self, node: str) -> int:
        return 0 if self.hides_epoch(node) else self.epoch

    def _is_compacted(self, node: str, after: revision_lib.Revision) -> bool:
        if (
            self.reports_compacted(node)
            or after.version < self._compacted_version
        ):
            return True
        # The store has no such version in its current epoch.
        return self.epoch > 0 and after.version > self._version

    def _call(self, node: str, wait_s: float) -> _Call:
        self.calls[node] = self.calls.get(node, 0) + 1
        response_time_s = self.response_time_s * self._rng.uniform(0.8, 1.2)
        return _Call(
            self.mode_for(node), response_time_s, wait_s + CALL_TIMEOUT_S
        )

    async def _wait_for_rows(
        self,
        read_rows: Callable[[int | None], list[_Change]],
        after: revision_lib.Revision | None,
        wait_s: float,
    ) -> list[_Change]:
        """Waits until there are rows or the store is restored; returns rows."""
        if after is None:
            return read_rows(None)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        epoch = self.epoch
        while True:
            rows = read_rows(after.version)
            remaining_s = end_s - loop.time()
            if rows or remaining_s <= 0 or epoch != self.epoch:
                return rows
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                return []

    def _next_version(self) -> int:
        self._version += self._rng.randint(1, 3)
        return self._version

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


@dataclasses.dataclass(slots=True)
class _Response:
    """A response of the store."""

    rows: list[_Change]
    epoch: int
    version: int
    is_snapshot: bool

    def revision_of(self, row: _Change) -> revision_lib.Revision:
        """Returns the revision at which a row was written."""
        return revision_lib.Revision(self.epoch, row.version)

    def to_poll_result(self, items: Iterable[Item]) -> source.PollResult[Item]:
        """Returns the response in the form that a gateway expects."""
        revision = revision_lib.Revision(self.epoch, self.version)
        return source.PollResult(list(items), revision, self.is_snapshot)


def _items(response: _Response) -> Iterator[source.OperatorItem]:
    for row in response.rows:
        if isinstance(row.value, bytes):
            yield source.Document(row.value, response.revision_of(row))
        elif row.value or not response.is_snapshot:
            yield zones.Drain(
                row.key, response.revision_of(row), bool(row.value)
            )


class _RefusedError(Exception):
    """The store refuses a call; the refusal also carries its epoch."""


@dataclasses.dataclass(slots=True)
class _Call:
    """A call: the delays of request and response, or its failure."""

    mode: StoreMode
    response_time_s: float
    timeout_s: float

    async def __aenter__(self) -> None:
        await asyncio.sleep(self.response_time_s / 2)
        if self.mode is StoreMode.REFUSES:
            raise _RefusedError
        if self.mode is StoreMode.SILENT:
            await asyncio.sleep(self.timeout_s)
            raise error.SourceError('silent')

    async def __aexit__(self, kind: object, exc: object, _: object) -> None:
        if kind is not None:
            return
        if self.mode is StoreMode.LOSES_RESPONSES:
            await asyncio.sleep(self.timeout_s)
            raise error.SourceError('silent')
        await asyncio.sleep(self.response_time_s / 2)
