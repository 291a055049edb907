"""Takes over the logs of dead routers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.platform import objects as platform_objects
    from quetzalsill.platform import table as platform_table
    from quetzalsill_router.durable import entry as durable_entry
    from quetzalsill_router.durable import journal as durable_journal
    from quetzalsill_router.durable import registration

__all__ = ['Recover', 'Takeover']

Recover = Callable[['durable_entry.Entry'], Awaitable[None]]


class Takeover:
    """Finds logs whose router is dead, adopts them, and has them recovered.

    `recover(entry)` brings an entry to its settled outcome: if `entry.run`
    is set, it asks that sidecar (Dispatch with `recover`, attempt of
    `entry.run`) and only dispatches anew once that is proved not run, or if
    the entry is idempotent. It ends with `Journal.settle`.
    """

    def __init__(
        self,
        table: platform_table.Table,
        objects: platform_objects.Objects,
        journal: durable_journal.Journal,
        routers: registration.Registration,
        recover: Recover,
    ) -> None:
        self._table = table
        self._objects = objects
        self._journal = journal
        self._routers = routers
        self._recover = recover

    async def run(self) -> None:
        """Watches and takes over until cancelled."""
        raise NotImplementedError
