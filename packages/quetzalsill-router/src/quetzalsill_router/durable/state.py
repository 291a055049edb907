"""All that a router keeps in the platform, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill_router.durable import answer as durable_answer
from quetzalsill_router.durable import claim as durable_claim
from quetzalsill_router.durable import journal as durable_journal
from quetzalsill_router.durable import registration as durable_registration
from quetzalsill_router.durable import takeover as durable_takeover

if TYPE_CHECKING:
    from quetzalsill.platform import objects as platform_objects
    from quetzalsill.platform import table as platform_table
    from quetzalsill_router.durable import setting

__all__ = ['DurableState']


class DurableState:
    """Journal, claims, answers, registration and takeover of one router."""

    def __init__(
        self,
        table: platform_table.Table,
        objects: platform_objects.Objects,
        router: durable_registration.Router,
        cfg: setting.Durable,
        recover: durable_takeover.Recover,
    ) -> None:
        self.journal = durable_journal.Journal(
            table, objects, router.node, router.incarnation, cfg
        )
        self.answers = durable_answer.Answers(table, objects)
        self.claims = durable_claim.Claims(table, self.journal, self.answers)
        self.registration = durable_registration.Registration(
            table, router, cfg
        )
        self.takeover = durable_takeover.Takeover(
            table, objects, self.journal, self.registration, recover
        )

    def start(self) -> None:
        """Starts the tasks; the platform may be down meanwhile."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Writes what is queued, removes the registration, ends the tasks."""
        raise NotImplementedError
