"""Where configuration and membership come from."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Generic, TypeVar

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
    'OperatorItem',
    'ParseDocument',
    'Poll',
    'PollResult',
    'RoutingTableHolder',
    'Sources',
]

Item = TypeVar('Item')

# Loop time before anything was heard.
NEVER_S = 0.0


class RoutingTableHolder:
    """The routing table in force in this process.

    Attributes:
      current: The table, None before the first.
    """

    def __init__(self) -> None:
        self.current: routing_table.RoutingTable | None = None
        self._confirmed_s = NEVER_S

    @property
    def age_s(self) -> float:
        """Time since the source last said that this is the newest."""
        return asyncio.get_running_loop().time() - self._confirmed_s

    def confirm(self) -> None:
        """Notes that the source answered."""
        self._confirmed_s = asyncio.get_running_loop().time()

    def install(self, table: routing_table.RoutingTable) -> bool:
        """Takes a newer table; an older one is left out.

        A source may tell a stale version after a newer one, since reads
        overtake each other and a store may be restored; going back would
        serve routes and keys that operators have withdrawn.
        """
        before = self.current
        if before is not None and table.version <= before.version:
            return False
        self.current = table
        event.note(
            event.ConfigurationInstalled(
                version=table.version,
                before=before.version if before else 0,
                hosts=len(table.routes),
                services=len(table.services),
            )
        )
        return True

    def replace(self, table: routing_table.RoutingTable) -> None:
        """Takes another table of the same version, which was written later."""
        self.current = table


class Health:
    """Whether the sources answer.

    Each is watched by itself and notices an outage only at the end of a watch;
    whichever does so first speaks for all, since they are usually one store.
    """

    def __init__(self) -> None:
        self._lost: dict[str, float] = {}
        self._told: set[str] = set()
        self._down = asyncio.Event()
        self._on_regained: list[Callable[[float], None]] = []

    @property
    def is_down(self) -> bool:
        """Whether any source does not answer this process."""
        return bool(self._lost)

    async def wait_until_down(self) -> None:
        """Returns while any source does not answer, here or elsewhere."""
        await self._down.wait()

    def on_recovery(self, callback: Callable[[float], None]) -> None:
        """Calls back whenever a source answers again.

        Args:
          callback: Gets the loop time at which it was lost.
        """
        self._on_regained.append(callback)

    def update_peer(self, node: str, *, is_down: bool) -> None:
        """Takes what another gateway says of its sources.

        Each notices an outage at the end of a watch, which lasts seconds; one
        of many does so soon.
        """
        if is_down:
            self._told.add(node)
        else:
            self._told.discard(node)
        self._update()

    def _update(self) -> None:
        if self._lost or self._told:
            self._down.set()
        else:
            self._down.clear()

    def mark_down(self, name: str, reason: str) -> None:
        """Notes that a source did not answer."""
        if name not in self._lost:
            self._lost[name] = asyncio.get_running_loop().time()
            event.note(event.StoreLost(name, reason))
        self._update()

    def mark_up(self, name: str) -> None:
        """Notes that a source answered.

        One whose call was under way during an outage hasn't noticed it, and may
        be the first to tell what has lapsed meanwhile: it is told of the outage
        as well, although another may still be away.
        """
        if not self._lost:
            return
        lost_s = min(self._lost.values())
        if self._lost.pop(name, None) is not None:
            event.note(event.StoreRegained(name))
            self._update()
        # Before what it tells is taken in.
        for callback in self._on_regained:
            callback(lost_s)


@dataclasses.dataclass(slots=True, frozen=True)
class PollResult(Generic[Item]):
    """What a source answers.

    Attributes:
      items: What changed, in order, or all there is.
      revision: Revision of the source up to which they are told.
      is_snapshot: Whether they are all there is.
    """

    items: list[Item]
    revision: revision_lib.Revision
    is_snapshot: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Document:
    """A document of the configuration.

    Attributes:
      data: Its bytes, the same for what says the same.
      mod_revision: Revision of the source at which it was written.
    """

    data: bytes
    mod_revision: revision_lib.Revision


# Asks for what changed behind a revision, or for all if there is none, and
# waits for a change for so many seconds at most. None is answered if the source
# cannot tell on from there: it has forgotten that far back, or is in another
# epoch. Raises `error.SourceError`.
Poll = Callable[
    [revision_lib.Revision | None, float], Awaitable[PollResult[Item] | None]
]
# What operators write: a document of the configuration, or an order for a zone.
OperatorItem = Document | zones.Drain
# Makes a routing table of a document. Raises `error.ConfigurationError`.
ParseDocument = Callable[[bytes], 'routing_table.RoutingTable']


@dataclasses.dataclass(slots=True, frozen=True)
class Sources:
    """How a gateway is kept up to date.

    Attributes:
      poll_configuration: Asks for documents of the configuration, and for
        orders to drain availability zones.
      parse_configuration: Reads one.
      poll_membership: Asks for entries of upstreams.
      join: Enters a gateway, by name and address, in the directory of
        gateways, and returns the addresses of all others in it by name.
      epochs: The epoch that the source has told.
    """

    poll_configuration: Poll[OperatorItem]
    parse_configuration: ParseDocument
    poll_membership: Poll[upstream.Change]
    join: Callable[[str, str], Awaitable[dict[str, str]]]
    epochs: epoch.EpochTracker
