"""The writing end of a router's log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.platform import objects as platform_objects
    from quetzalsill.platform import table as platform_table
    from quetzalsill_router.durable import answer as durable_answer
    from quetzalsill_router.durable import entry as durable_entry
    from quetzalsill_router.durable import setting

__all__ = ['Journal']


class Journal:
    """Makes acceptances, dispatches and outcomes durable, in groups."""

    def __init__(
        self,
        table: platform_table.Table,
        objects: platform_objects.Objects,
        node: str,
        incarnation: int,
        cfg: setting.Durable,
    ) -> None:
        self._table = table
        self._objects = objects
        self._node = node
        self._incarnation = incarnation
        self._cfg = cfg
        self.superseded = asyncio.Event()

    @property
    def available(self) -> bool:
        """Whether the newest write to the platform succeeded."""
        raise NotImplementedError

    async def accept(self, entry: durable_entry.Entry) -> str:
        """Stores an entry and names it; returns once it is durable.

        Returns:
          The request id, also set in the entry.

        Raises:
          StoreUnavailableError: Not accepted, will never run.
          OutcomeUnknownError: The platform's answer was lost and it stays
            silent; `entry.request` is set. The entry will not be run by
            this router, and is settled as such once the platform is back.
        """
        raise NotImplementedError

    async def dispatching(
        self, entry: durable_entry.Entry, run: durable_entry.Run
    ) -> None:
        """Records where an entry is about to be dispatched.

        Returns once it is durable; at once for an idempotent entry, which
        needs no record.

        Raises:
          SupersededError: Another router has taken the entry over; it must
            not be dispatched here.
          StoreUnavailableError: Not recorded in time; must not be
            dispatched. The call may be repeated.
        """
        raise NotImplementedError

    async def settle(
        self, entry: durable_entry.Entry, answer: durable_answer.Answer
    ) -> None:
        """Settles an entry; returns once the outcome is durable.

        The platform being down delays it: the outcome stays queued and is
        written when the platform is back, also if the wait is cancelled.
        The caller may be answered meanwhile.

        Raises:
          SupersededError: Another router has taken the entry over; the
            outcome is dropped.
        """
        raise NotImplementedError

    def owns(self, entry: durable_entry.Entry) -> bool:
        """Whether no takeover of the entry is known here."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Writes what is queued, within a bound, and stops."""
        raise NotImplementedError
