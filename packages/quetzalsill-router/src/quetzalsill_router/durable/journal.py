"""The journal of accepted requests, as the router uses it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill.net import deadline
from quetzalsill.telemetry import metric
from quetzalsill_router.durable import error
from quetzalsill_router.durable import queue as durable_queue
from quetzalsill_router.durable import segment as durable_segment
from quetzalsill_router.durable import throttle as durable_throttle

if TYPE_CHECKING:
    from quetzalsill_router.durable import answer as durable_answer
    from quetzalsill_router.durable import entry as durable_entry
    from quetzalsill_router.durable import log_writer as durable_log_writer
    from quetzalsill_router.durable import setting

__all__ = ['Journal']

OVERLOAD_RETRY_S = 5.0
RUN_RECORD_DELAY_S = 0.2

REFUSED = metric.counter(
    'quetzalsill_journal_refused_total', 'Entries not accepted, by reason.'
)


class Journal:
    """Makes acceptances, dispatches and outcomes durable, in groups."""

    def __init__(
        self,
        writer: durable_log_writer.LogWriter,
        throttle: durable_throttle.Throttle,
        cfg: setting.Durable,
    ) -> None:
        self._writer = writer
        self._throttle = throttle
        self._cfg = cfg

    @property
    def available(self) -> bool:
        """Whether the platform takes new entries, as far as is known."""
        return self._writer.available

    async def accept(self, entry: durable_entry.Entry) -> str:
        """Stores an entry and names it; returns once it is durable.

        Returns:
          The request id, also set in the entry.

        Raises:
          StoreUnavailableError: Not accepted, will never run.
          OverloadedError: Too much is unsettled here; not accepted.
          BadRequestError: The entry cannot be stored.
          OutcomeUnknownError: The platform's answer was lost and it stays
            silent; `entry.request` is set. This router will not run the
            entry: it settles it as not run once the platform is back, or
            the id is not found, which means the same. Only if this router
            dies before may a taker run it.
        """
        self._check_capacity(entry)
        item = _make_item(entry)
        self._writer.queue.add(item)
        max_wait_s = durable_throttle.max_wait_s(self._cfg, self._throttle)
        try:
            async with deadline.timeout(max_wait_s):
                await item.done
        except TimeoutError:
            return self._handle_timeout(item)
        except asyncio.CancelledError:
            self._abandon(item)
            raise
        except request_error.StoreUnavailableError:
            REFUSED.inc({'reason': 'store'})
            raise
        return entry.request

    async def record_dispatch(
        self, entry: durable_entry.Entry, run: durable_entry.Run
    ) -> None:
        """Records where an entry is about to be dispatched.

        Returns once it is durable; for an idempotent entry, at once: its
        record follows soon, so that a taker can attach to the run instead
        of running it anew, but nothing depends on it.

        Raises:
          SupersededError: Another router has taken the entry over, or it is
            settled; it must not be dispatched here.
          StoreUnavailableError: Not recorded in time; must not be
            dispatched. The call may be repeated.
        """
        self._writer.check_owned(entry)
        if entry.run == run:
            return
        record = durable_segment.Dispatched(entry.request, entry.fence, run)
        item = durable_queue.make_item(record)
        if entry.idempotent:
            self._writer.queue.add(item, within_s=RUN_RECORD_DELAY_S)
            entry.run = run
            return
        self._writer.queue.add(item)
        max_wait_s = durable_throttle.max_wait_s(self._cfg, self._throttle)
        try:
            async with deadline.timeout(max_wait_s):
                await asyncio.shield(item.done)
        except TimeoutError:
            self._writer.queue.remove(item)
            raise self._writer.unavailable_error(
                'dispatch not recorded'
            ) from None

    async def settle(
        self, entry: durable_entry.Entry, answer: durable_answer.Answer
    ) -> None:
        """Settles an entry; returns once the outcome is durable.

        The platform being down delays it: the outcome stays queued and is
        written when the platform is back, also if the wait is cancelled.
        The caller may be answered meanwhile.

        Raises:
          SupersededError: Another router has taken the entry over, or it is
            settled; the outcome is dropped.
        """
        await asyncio.shield(self.settle_later(entry, answer))

    def settle_later(
        self, entry: durable_entry.Entry, answer: durable_answer.Answer
    ) -> asyncio.Future[None]:
        """Queues an outcome without waiting for it; see `settle`."""
        return self._writer.settle_later(entry, answer)

    async def adopt(
        self,
        by: str,
        adopted: durable_segment.Adopted,
        entries: list[durable_entry.Entry],
    ) -> None:
        """Moves the entries of a sealed log here; returns once durable.

        Args:
          by: Log of this router that made the seal.
          adopted: The sealed log and its seal.
          entries: Its unsettled entries, with their new fences.

        Raises:
          SupersededError: This router's log was itself taken over.
        """
        if by != self._writer.log:
            raise request_error.SupersededError(f'log {by} was taken over')
        item = durable_queue.make_item(durable_queue.Adoption(adopted, entries))
        self._writer.queue.add(item)
        await asyncio.shield(item.done)

    def unpin_adopted(self, log: str) -> None:
        """Notes that the row of an adopted log is closed."""
        self._writer.unpin_adopted(log)

    def unavailable_error(
        self, detail: str
    ) -> request_error.StoreUnavailableError:
        """Makes the failure of what could not be stored."""
        return self._writer.unavailable_error(detail)

    def owns(self, entry: durable_entry.Entry) -> bool:
        """Whether the entry has no outcome, and no takeover is known."""
        return self._writer.unsettled.owns(entry)

    def _check_capacity(self, entry: durable_entry.Entry) -> None:
        writer = self._writer
        if not writer.available:
            REFUSED.inc({'reason': 'store'})
            raise writer.unavailable_error('the platform does not answer')
        queued_bytes = (
            writer.unsettled.payload_bytes + writer.queue.queued_bytes
        )
        queued_bytes += len(entry.payload)
        unsettled = len(writer.unsettled) + len(writer.queue)
        if (
            unsettled >= self._cfg.max_unsettled
            or queued_bytes > self._cfg.max_unsettled_bytes
        ):
            REFUSED.inc({'reason': 'room'})
            raise request_error.OverloadedError(
                'too many unsettled requests', retry_after_s=OVERLOAD_RETRY_S
            )

    def _handle_timeout(self, item: durable_queue.Item) -> str:
        """Ends a wait for acceptance that reached its bound."""
        entry = item.record
        if self._writer.unsettled.owns(entry):
            return entry.request
        if self._abandon(item):
            REFUSED.inc({'reason': 'store'})
            raise self._writer.unavailable_error('the platform is slow')
        REFUSED.inc({'reason': 'unknown'})
        raise request_error.OutcomeUnknownError(
            f'acceptance of {entry.request} is not settled'
        )

    def _abandon(self, item: durable_queue.Item) -> bool:
        """Gives an entry up; True if it is certain that none will run it.

        A wait can end in the same turn of the event loop in which the entry
        became durable. It is held then, and nobody would ever settle it, so
        it is withdrawn here.
        """
        item.abandoned = True
        if self._writer.unsettled.owns(item.record):
            self._writer.settle_as_not_run(item.record)
        return self._writer.queue.remove(item)


def _make_item(entry: durable_entry.Entry) -> durable_queue.Item:
    try:
        return durable_queue.make_item(entry)
    except error.UnstorableRecordError as exc:
        raise request_error.BadRequestError(exc.detail) from exc
