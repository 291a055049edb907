"""Has the entries of adopted logs recovered, a bounded number at once."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill.telemetry import log as telemetry_log
from quetzalsill.telemetry import metric

if TYPE_CHECKING:
    from quetzalsill_router.durable import claim as durable_claim
    from quetzalsill_router.durable import entry as durable_entry
    from quetzalsill_router.durable import journal as durable_journal

__all__ = ['Recover', 'Recovery']

RETRY_S = 1.0

LOG = telemetry_log.get(__name__)
RECOVERED = metric.counter(
    'quetzalsill_journal_recovered_total',
    'Requests of dead routers brought to their outcome here.',
)

Recover = Callable[['durable_entry.Entry'], Awaitable[None]]


class Recovery:
    """Recovers entries in the background.

    `recover(entry)` brings an entry to its outcome and ends with
    `Journal.settle`. If `entry.run` is set and the entry is not idempotent,
    it asks that sidecar (Dispatch with `recover`, the attempt of the run,
    the fence of the entry), and dispatches anew only once that run is proved
    not to have been.
    """

    def __init__(
        self,
        journal: durable_journal.Journal,
        claims: durable_claim.Claims,
        recover: Recover,
        max_concurrent: int,
    ) -> None:
        self._journal = journal
        self._claims = claims
        self._recover = recover
        self._slots = asyncio.Semaphore(max_concurrent)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, entries: Iterable[durable_entry.Entry]) -> None:
        """Starts to recover entries that the journal holds now."""
        for entry in entries:
            task = asyncio.create_task(self._recover_until_settled(entry))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancels what is not done; the journal keeps it."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _recover_until_settled(self, entry: durable_entry.Entry) -> None:
        async with self._slots:
            while self._journal.owns(entry):
                try:
                    await self._try_recover(entry)
                except request_error.SupersededError:
                    return
                except asyncio.CancelledError:
                    # A caller may cancel the request that is recovered; only
                    # if this task is cancelled itself is that its end.
                    if asyncio.current_task().cancelling():
                        raise
                except Exception as exc:  # A fault in one must not strand it.
                    LOG.error(
                        'recovery_failed', request=entry.request, exc_info=exc
                    )
                if self._journal.owns(entry):
                    await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
        RECOVERED.inc({})

    async def _try_recover(self, entry: durable_entry.Entry) -> None:
        """Claims the key first: the dead router may not have come to it."""
        if entry.idempotency_key:
            try:
                claim = await self._claims.reclaim(entry)
            except request_error.ConflictError:
                return
            if claim.request != entry.request:
                return
        await self._recover(entry)
