"""All that a router keeps in the platform, put together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.platform import error as platform_error
from quetzalsill.telemetry import log as telemetry_log
from quetzalsill_router.durable import adoption as durable_adoption
from quetzalsill_router.durable import claim as durable_claim
from quetzalsill_router.durable import claim_writer as durable_claim_writer
from quetzalsill_router.durable import erase as durable_erase
from quetzalsill_router.durable import expiry as durable_expiry
from quetzalsill_router.durable import index as durable_index
from quetzalsill_router.durable import journal as durable_journal
from quetzalsill_router.durable import log_writer as durable_log_writer
from quetzalsill_router.durable import lookup as durable_lookup
from quetzalsill_router.durable import recovery as durable_recovery
from quetzalsill_router.durable import registration as durable_registration
from quetzalsill_router.durable import takeover as durable_takeover
from quetzalsill_router.durable import throttle as durable_throttle

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from quetzalsill.platform import objects as platform_objects
    from quetzalsill.platform import table as platform_table
    from quetzalsill_router.durable import setting

__all__ = ['DurableState']

RELEASE_TIMEOUT_S = 2.0

LOG = telemetry_log.get(__name__)


class DurableState:
    """What one router keeps in the platform.

    Attributes:
      journal: Accepted requests, their dispatches and outcomes.
      claims: Holders of idempotency keys.
      answers: Looks requests up by id.
      registration: The routers seen alive; `registration.router.revision` is
        to be kept up to date by its holder.
    """

    def __init__(
        self,
        table: platform_table.Table,
        objects: platform_objects.Objects,
        router: durable_registration.Router,
        cfg: setting.Durable,
        recover: durable_recovery.Recover,
        on_superseded: Callable[[], None] = lambda: None,
    ) -> None:
        """Prepares the state; `start` starts its tasks.

        Args:
          table: Client of the table service.
          objects: Client of the object store.
          router: This router.
          cfg: Settings.
          recover: Serves an entry that was taken over.
          on_superseded: Called once another router has taken over what this
            one holds.
        """
        self.registration = durable_registration.Registration(
            table, router, cfg
        )
        count = self.registration.count
        throttle = durable_throttle.journal_throttle(cfg, count)
        self._index = durable_index.Index(
            table, durable_throttle.index_throttle(cfg, count)
        )
        self._writer = durable_log_writer.LogWriter(
            objects,
            self.registration.register,
            self._index,
            throttle,
            on_superseded,
        )
        self.journal = durable_journal.Journal(self._writer, throttle, cfg)
        self.answers = durable_lookup.Answers(
            table, objects, self._index, self._suspect
        )
        claim_throttle = durable_throttle.claim_throttle(cfg, count)
        self._claim_writer = durable_claim_writer.ClaimWriter(
            table, claim_throttle
        )
        self.claims = durable_claim.Claims(
            self._claim_writer,
            self.journal,
            self.answers,
            lambda: durable_throttle.max_wait_s(cfg, claim_throttle),
        )
        self._takeover = durable_takeover.Takeover(
            table,
            self.registration,
            durable_adoption.Adopter(table, objects, self.journal, self._index),
            durable_recovery.Recovery(
                self.journal, self.claims, recover, cfg.recoveries
            ),
            self._own_log,
        )
        self._expiry = durable_expiry.Expiry(
            self._writer,
            self.registration.liveness,
            durable_erase.Eraser(
                table,
                objects,
                durable_throttle.erase_throttle(cfg, count),
                self._own_log,
            ),
            cfg.retention_s,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the tasks; the platform may be down meanwhile."""
        renewal = self.registration.run(self._segment_range, self._writer.probe)
        self._spawn(self._writer.run())
        self._spawn(self._index.run())
        self._spawn(self._claim_writer.run())
        self._spawn(renewal)
        self._spawn(self._takeover.run())
        self._spawn(self._expiry.run())

    async def stop(self, within_s: float) -> None:
        """Writes what is queued, hands the rest over and ends the tasks.

        Args:
          within_s: Bound of the wait for the platform.
        """
        await self._writer.drain(within_s)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self.registration.release(self._segment_range())
        except (TimeoutError, platform_error.PlatformError) as exc:
            LOG.warning('release_failed', log=self._writer.log, why=exc)

    def _suspect(self, log: str) -> None:
        self._takeover.suspect(log)

    def _own_log(self) -> str:
        return self._writer.log

    def _segment_range(self) -> durable_registration.SegmentRange:
        return durable_registration.SegmentRange(
            self._expiry.first, self._writer.last
        )

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Ends all tasks if one has failed.

        With the writer gone but the row renewed, what was accepted would
        neither be settled here nor taken over. So new requests are refused,
        the row lapses, and another router takes the log.
        """
        if task.cancelled() or task.exception() is None:
            return
        LOG.error('durable_state_failed', exc_info=task.exception())
        self._writer.log = ''
        for other in self._tasks:
            other.cancel()
