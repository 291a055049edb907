"""Writes a router's log, segment by segment."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.platform import health as platform_health
from quetzalsill.telemetry import log as telemetry_log
from quetzalsill.telemetry import metric
from quetzalsill_router.durable import answer as durable_answer
from quetzalsill_router.durable import entry as durable_entry
from quetzalsill_router.durable import error
from quetzalsill_router.durable import index as durable_index
from quetzalsill_router.durable import queue as durable_queue
from quetzalsill_router.durable import segment as durable_segment
from quetzalsill_router.durable import unsettled as durable_unsettled
from quetzalsill_router.durable import write as durable_write

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from quetzalsill.platform import objects as platform_objects
    from quetzalsill_router.durable import throttle as durable_throttle

__all__ = ['LogWriter']

SEALED_RETRY_S = 0.1

LOG = telemetry_log.get(__name__)
SEGMENTS = metric.counter(
    'quetzalsill_journal_segments_total', 'Segments written to the journal.'
)
RECORDS = metric.counter(
    'quetzalsill_journal_records_total', 'Records written, by kind.'
)
SUPERSEDED = metric.counter(
    'quetzalsill_journal_superseded_total',
    'Times that another router took over the journal of this one.',
)
UNSETTLED = metric.gauge(
    'quetzalsill_journal_unsettled', 'Accepted requests without an outcome.'
)
QUEUED_BYTES = metric.gauge(
    'quetzalsill_journal_queued_bytes', 'Records that wait for the platform.'
)


class LogWriter:
    """Writes what is queued, one segment at a time.

    All that waits when a segment is cut goes into one object; while that is
    on its way the next collects.

    Attributes:
      log: Name of the log; empty while none is open.
      last: Number of the newest segment.
      queue: Records that wait.
      unsettled: Entries in the log without an outcome.
      health: Whether the object store takes the segments.
    """

    def __init__(
        self,
        objects: platform_objects.Objects,
        register: Callable[[], Awaitable[str]],
        index: durable_index.Index,
        throttle: durable_throttle.Throttle,
        on_superseded: Callable[[], None] = lambda: None,
    ) -> None:
        """Makes a writer without an open log.

        Args:
          objects: Client of the object store.
          register: Registers a new log in the platform and gives its name;
            repeats until the platform took it.
          index: Told of each outcome.
          throttle: Spaces the segments.
          on_superseded: Called once another router has taken the log over.
        """
        self.log = ''
        self.last = 0
        self.queue = durable_queue.Queue()
        self.unsettled = durable_unsettled.UnsettledEntries()
        self.health = platform_health.StoreHealth()
        self._objects = objects
        self._register = register
        self._index = index
        self._throttle = throttle
        self._on_superseded = on_superseded
        self._in_flight: list[durable_queue.Item] = []
        self._adopted: dict[str, Callable[[], None]] = {}
        self._probe_requested = False

    @property
    def available(self) -> bool:
        """Whether the platform takes new entries, as far as is known."""
        return bool(self.log) and self.health.up and not self._index.full

    @property
    def floor(self) -> int:
        """Gives the least segment that a taker would read."""
        return self.unsettled.floor(self.last + 1)

    def settle_later(
        self, entry: durable_entry.Entry, answer: durable_answer.Answer
    ) -> asyncio.Future[None]:
        """Queues an outcome; its future is done once it is durable.

        Raises:
          SupersededError: The entry is not held here, or has an outcome.
        """
        self.check_owned(entry)
        waiting = _make_item(entry, answer)
        self.unsettled.settling(entry.request)
        self.queue.add(waiting)
        return waiting.done

    def check_owned(self, entry: durable_entry.Entry) -> None:
        """Checks that an entry is held here and has no outcome.

        Raises:
          SupersededError: It is not, or has one.
        """
        if not self.unsettled.owns(entry):
            detail = f'request {entry.request} is settled or taken over'
            raise request_error.SupersededError(detail, ran=base.Ran.UNKNOWN)

    def unavailable_error(
        self, detail: str
    ) -> request_error.StoreUnavailableError:
        """Makes the failure of what could not be stored."""
        return request_error.StoreUnavailableError(
            detail, retry_after_s=self.health.retry_after_s()
        )

    def unpin_adopted(self, log: str) -> None:
        """Notes that the row of an adopted log is closed."""
        release = self._adopted.pop(log, None)
        if release is not None:
            release()

    def probe(self) -> None:
        """Writes a segment soon, so that a seal is found."""
        self._probe_requested = True
        self.queue.wakeup.set()

    async def run(self) -> None:
        """Opens a log and writes it, and a new one after each seal."""
        while True:
            self.log = await self._register()
            self.last = 0
            LOG.info('journal_opened', log=self.log)
            await self._write_until_sealed()

    async def drain(self, within_s: float) -> None:
        """Waits until all records are durable, at most `within_s`."""
        waiting = [item.done for item in (*self._in_flight, *self.queue)]
        if waiting:
            self.queue.wakeup.set()
            await asyncio.wait(waiting, timeout=within_s)

    async def _write_until_sealed(self) -> None:
        while True:
            await self.queue.wakeup.wait()
            if not (self.queue or self._probe_requested):
                self.queue.wakeup.clear()
                continue
            await self._throttle.acquire()
            self._probe_requested = False
            stored = await self._write(self.queue.take_next_batch())
            if stored is None:
                self._drop_log()
                return
            self._apply(stored)

    async def _write(
        self, items: list[durable_queue.Item]
    ) -> durable_segment.Segment | None:
        number = self.last + 1
        carried = map(_rewrite_item, self.unsettled.entries_to_rewrite(number))
        self._in_flight = [*carried, *items]
        segment = durable_queue.build_segment(
            self._in_flight, self.log, number, self.floor
        )
        stored = await durable_write.write(
            self._objects,
            self.health,
            (self.log, number),
            segment,
            self._drop_accepted,
        )
        self.queue.release_bytes(items)
        return stored

    def _drop_accepted(self, lost: bool) -> bool:
        """Gives up new entries whose write failed, if that may be.

        Entries that surely are not in the store are refused at once. After
        a lost answer they are kept while anybody waits for them.
        """
        if not self.health.up:
            self._refuse(self.queue.take_entries())
        entries = [item for item in self._in_flight if item.is_entry]
        if lost and not all(item.abandoned for item in entries):
            return False
        self._refuse(entries)
        return True

    def _refuse(self, entries: Iterable[durable_queue.Item]) -> None:
        for item in entries:
            item.fail(self.unavailable_error('the platform does not answer'))

    def _apply(self, stored: durable_segment.Segment) -> None:
        """Acts on a segment that is in the log now."""
        self.last += 1
        items, self._in_flight = self._in_flight, []
        for item in items:
            if stored.accepted or not item.is_entry:
                self._apply_item(item)
        if stored.settled:
            pointers = [
                durable_index.Pointer(record.request, self.log, self.last)
                for record in stored.settled
            ]
            self._index.add(pointers, self.unsettled.pin(self.last))
        SEGMENTS.inc({})
        UNSETTLED.set({}, len(self.unsettled))
        QUEUED_BYTES.set({}, self.queue.queued_bytes)

    def _apply_item(self, item: durable_queue.Item) -> None:
        match item.record:
            case durable_entry.Entry() as entry:
                self.unsettled.track(entry, self.last)
                if item.abandoned:
                    self.settle_as_not_run(entry)
            case durable_segment.Dispatched(request=request, run=run):
                self.unsettled.record_rewrite(request, self.last, run)
            case durable_segment.Settled(request=request):
                self.unsettled.remove(request)
            case durable_queue.Adoption(adopted=adopted, entries=entries):
                for entry in entries:
                    self.unsettled.track(entry, self.last)
                self._adopted[adopted.log] = self.unsettled.pin(self.last)
        RECORDS.inc({'kind': type(item.record).__name__.lower()})
        item.succeed()

    def settle_as_not_run(self, entry: durable_entry.Entry) -> None:
        """Settles an entry that nobody waits for as not run."""
        exc = request_error.StoreUnavailableError('not accepted in time')
        self.settle_later(entry, durable_answer.failure(exc))

    def _drop_log(self) -> None:
        """Lets go of all that another router has taken over."""
        SUPERSEDED.inc({})
        LOG.warning(
            'journal_superseded', log=self.log, held=len(self.unsettled)
        )
        self.log = ''
        self.unsettled = durable_unsettled.UnsettledEntries()
        self._adopted.clear()
        items, self._in_flight = self._in_flight, []
        for item in (*items, *self.queue.take_all()):
            item.fail(_superseded_error(item))
        self._on_superseded()


def _rewrite_item(entry: durable_entry.Entry) -> durable_queue.Item:
    return durable_queue.make_item(
        durable_segment.Dispatched(entry.request, entry.fence, entry.run)
    )


def _superseded_error(item: durable_queue.Item) -> request_error.RequestError:
    detail = 'another router took over the journal of this one'
    if item.is_entry:
        return request_error.StoreUnavailableError(
            detail, retry_after_s=SEALED_RETRY_S
        )
    return request_error.SupersededError(detail, ran=base.Ran.UNKNOWN)


def _make_item(
    entry: durable_entry.Entry, answer: durable_answer.Answer
) -> durable_queue.Item:
    """Makes the item of an outcome, or of the failure to store it."""
    settled = durable_segment.Settled(entry.request, entry.account, answer)
    try:
        return durable_queue.make_item(settled)
    except error.UnstorableRecordError as exc:
        LOG.error('answer_unstorable', request=entry.request, why=exc)
        failure = request_error.UpstreamFailedError(exc.detail, ran=answer.ran)
        settled = dataclasses.replace(
            settled, answer=durable_answer.failure(failure)
        )
        return durable_queue.make_item(settled)
