"""Sources of configuration and membership, and whether they are available."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.fleet import zones

if TYPE_CHECKING:
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.fleet import upstream
    from quetzalsill_gateway.watch import epoch

__all__ = [
    'Document',
    'Health',
    'LoadRows',
    'OperatorItem',
    'ParseDocument',
    'Poll',
    'PollResult',
    'RoutingTableHolder',
    'SaveRows',
    'Sources',
    'StoredRow',
    'StoredRows',
]

Item = TypeVar('Item')

# Loop time of the last confirmation while there is none.
NEVER_S = 0.0


class RoutingTableHolder:
    """Holds the active routing table of this process.

    Attributes:
      current: The table, None before the first.
    """

    def __init__(self) -> None:
        self.current: routing_table.RoutingTable | None = None
        self._confirmed_s = NEVER_S

    @property
    def age_s(self) -> float:
        """Time since the source last confirmed its state, in seconds."""
        return asyncio.get_running_loop().time() - self._confirmed_s

    def confirm(self) -> None:
        """Records that the source has answered."""
        self._confirmed_s = asyncio.get_running_loop().time()

    def install(self, table: routing_table.RoutingTable) -> bool:
        """Installs a table if its version is higher; returns whether it was.

        A source may return a stale version after a newer one, since reads can
        overtake each other and a store may be restored from a backup.
        Installing it would bring back routes and keys that operators have
        withdrawn.
        """
        previous = self.current
        if previous is not None and table.version <= previous.version:
            return False
        self.current = table
        event.note(
            event.ConfigurationInstalled(
                version=table.version,
                before=previous.version if previous else 0,
                hosts=len(table.routes),
                services=len(table.services),
            )
        )
        return True

    def replace(self, table: routing_table.RoutingTable) -> None:
        """Replaces the table by a later one of the same version."""
        self.current = table


class Health:
    """Tracks whether the sources are available.

    Each source is polled separately, and its outage shows only when a long poll
    ends. The first failed poll marks all sources as down, since they are
    usually tables of one store.
    """

    def __init__(self) -> None:
        self._down_since_s: dict[str, float] = {}
        self._down_peers: set[str] = set()
        self._down = asyncio.Event()
        self._on_regained: list[Callable[[float], None]] = []

    @property
    def is_down(self) -> bool:
        """Whether any source is unavailable to this process."""
        return bool(self._down_since_s)

    async def wait_until_down(self) -> None:
        """Waits until a source is unavailable, to this gateway or to a peer."""
        await self._down.wait()

    def on_recovery(self, callback: Callable[[float], None]) -> None:
        """Registers a callback for when a source answers again.

        Args:
          callback: Receives the loop time at which the outage began.
        """
        self._on_regained.append(callback)

    def update_peer(self, node: str, *, is_down: bool) -> None:
        """Records whether a peer reports its sources as unavailable.

        A gateway notices an outage when its long poll ends, which takes
        seconds; among many gateways one notices it early.
        """
        if is_down:
            self._down_peers.add(node)
        else:
            self._down_peers.discard(node)
        self._update()

    def _update(self) -> None:
        if self._down_since_s or self._down_peers:
            self._down.set()
        else:
            self._down.clear()

    def mark_down(self, name: str, reason: str) -> None:
        """Records that a poll of a source failed."""
        if name not in self._down_since_s:
            self._down_since_s[name] = asyncio.get_running_loop().time()
            event.note(event.StoreLost(name, reason))
        self._update()

    def mark_up(self, name: str) -> None:
        """Records that a source has answered.

        A poll that was in flight throughout an outage does not fail, and may be
        the first to return entries that have expired meanwhile. So the recovery
        callbacks run for any source that answers, even while another one is
        still down.
        """
        if not self._down_since_s:
            return
        down_since_s = min(self._down_since_s.values())
        if self._down_since_s.pop(name, None) is not None:
            event.note(event.StoreRegained(name))
            self._update()
        # Before the answer is applied, so that expired entries get a grace
        # period.
        for callback in self._on_regained:
            callback(down_since_s)


@dataclasses.dataclass(slots=True, frozen=True)
class PollResult(Generic[Item]):
    """The result of a poll.

    Attributes:
      items: The changes in order, or all items.
      revision: Revision of the source up to which the items are complete.
      is_snapshot: Whether these are all items.
    """

    items: list[Item]
    revision: revision_lib.Revision
    is_snapshot: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Document:
    """A configuration document.

    Attributes:
      data: Its bytes; equal documents have equal bytes.
      mod_revision: Revision of the source at which it was written.
    """

    data: bytes
    mod_revision: revision_lib.Revision


@dataclasses.dataclass(slots=True, frozen=True)
class StoredRow:
    """A row that gateways keep in the source.

    Attributes:
      value: Its decoded value.
      version: Number of the change that wrote it.
    """

    value: Any
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class StoredRows:
    """All rows of a table that gateways keep in the source.

    Attributes:
      by_key: The rows.
      epoch: Epoch of the source in which they were read.
    """

    by_key: dict[str, StoredRow]
    epoch: int


# Polls for the changes after a revision, or for a snapshot if it is None, and
# waits at most that many seconds for a change. Returns None if the source
# cannot continue from that revision: its history no longer reaches back so far,
# or it is in another epoch. Raises `error.SourceError`.
Poll = Callable[
    [revision_lib.Revision | None, float], Awaitable[PollResult[Item] | None]
]
# Returns the rows of a table that gateways keep. Raises `error.SourceError`.
LoadRows = Callable[[], Awaitable[StoredRows]]
# Stores rows in order, by key: the version of the row that is replaced, 0 for
# none, and the new value. Returns False if one has changed since; the rows
# before it may have been stored. Raises `error.SourceError`.
SaveRows = Callable[[dict[str, tuple[int, Any]]], Awaitable[bool]]
# What operators write: a configuration document, or a drain order for a zone.
OperatorItem = Document | zones.Drain
# Builds a routing table from a document. Raises `error.ConfigurationError`.
ParseDocument = Callable[[bytes], 'routing_table.RoutingTable']


@dataclasses.dataclass(slots=True, frozen=True)
class Sources:
    """The sources that keep a gateway up to date.

    Attributes:
      poll_configuration: Polls for configuration documents, and for orders to
        drain availability zones.
      parse_configuration: Parses a document.
      poll_membership: Polls for entries of upstreams.
      join: Registers a gateway, by name and address, in the directory of
        gateways, and returns the addresses of all others in it by name.
      epochs: Tracks the epoch that the source reports.
      load_quarantine: Returns the stored rows of quarantined requests.
      save_quarantine: Stores such rows.
      load_versions: Returns the stored rows of the services' software versions.
      save_versions: Stores such rows.
    """

    poll_configuration: Poll[OperatorItem]
    parse_configuration: ParseDocument
    poll_membership: Poll[upstream.Change]
    join: Callable[[str, str], Awaitable[dict[str, str]]]
    epochs: epoch.EpochTracker
    load_quarantine: LoadRows
    save_quarantine: SaveRows
    load_versions: LoadRows
    save_versions: SaveRows
