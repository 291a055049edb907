"""Claims: which request holds an idempotency key."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import random
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.net import deadline
from quetzalsill.platform import error as platform_error
from quetzalsill.telemetry import log as telemetry_log
from quetzalsill_router.durable import answer as durable_answer
from quetzalsill_router.durable import claim_writer as durable_claim_writer

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill_router.durable import entry as durable_entry
    from quetzalsill_router.durable import journal as durable_journal
    from quetzalsill_router.durable import lookup as durable_lookup

__all__ = ['Claim', 'Claims', 'key_of']

KEY_DIGITS = 40
RETRY_S = 0.5

LOG = telemetry_log.get(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """The holder of an idempotency key.

    Attributes:
      request: Request that holds the key. If it is not the entry's own, the
        entry is a repeat and was settled as not run.
    """

    request: str


class Claims:
    """One row per idempotency key, inserted before the first dispatch.

    The row names the accepted request that holds the key. Whether that was
    dispatched, settled or taken over stands in the journal, so the row needs
    no further writes, and a router that lost its journal in a pause cannot
    dispatch for a key that it still believes to hold.

    Args:
      writer: Writes the rows.
      journal: Journal of this router.
      answers: Tells whether the holder of a key was settled as not run.
      max_wait_s: Gives the longest wait for the platform, in s.
    """

    def __init__(
        self,
        writer: durable_claim_writer.ClaimWriter,
        journal: durable_journal.Journal,
        answers: durable_lookup.Answers,
        max_wait_s: Callable[[], float],
    ) -> None:
        self._writer = writer
        self._journal = journal
        self._answers = answers
        self._max_wait_s = max_wait_s

    async def claim(self, entry: durable_entry.Entry) -> Claim:
        """Claims the key of an entry that was accepted here.

        A key whose holder was settled as not run passes to the entry, so
        that a caller may repeat what was refused.

        Raises:
          ConflictError: The key is held by a request with another digest;
            the entry was settled as not run.
          StoreUnavailableError: Not claimed; the entry was settled as not
            run.
          OutcomeUnknownError: Not claimed, and the platform is silent; the
            entry will not be run by this router.
          SupersededError: Another router has taken the entry over.
        """
        try:
            async with deadline.timeout(self._max_wait_s()):
                holder = await self._acquire(entry)
        except (
            TimeoutError,
            platform_error.PlatformError,
            request_error.StoreUnavailableError,
        ):
            raise await self._settle_unclaimed(entry) from None
        return self._resolve(holder, entry)

    async def reclaim(self, entry: durable_entry.Entry) -> Claim:
        """Claims the key of an entry that was taken over.

        It may have been claimed and run before, so it is not refused when
        the platform fails; this repeats until the platform answers.

        Raises:
          ConflictError: See `claim`.
          SupersededError: See `claim`.
        """
        while True:
            try:
                holder = await self._acquire(entry)
            except (
                platform_error.PlatformError,
                request_error.StoreUnavailableError,
            ) as exc:
                LOG.warning('claim_retried', request=entry.request, why=exc)
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
            else:
                return self._resolve(holder, entry)

    async def _acquire(
        self, entry: durable_entry.Entry
    ) -> durable_claim_writer.Holder:
        key = key_of(entry.account, entry.idempotency_key)
        before = durable_claim_writer.Holder()
        while True:
            holder = await self._writer.put(
                key, before, entry.request, entry.digest
            )
            if holder.request == entry.request:
                return holder
            if holder.version and not await self._may_replace(entry, holder):
                return holder
            before = holder

    async def _may_replace(
        self, entry: durable_entry.Entry, holder: durable_claim_writer.Holder
    ) -> bool:
        """Whether the holder surely did not run, or has expired."""
        try:
            stored = await self._answers.get(entry.account, holder.request)
        except request_error.NotFoundError:
            return True
        answer = stored.answer
        return answer is not None and answer.ran is base.Ran.NO

    def _resolve(
        self, holder: durable_claim_writer.Holder, entry: durable_entry.Entry
    ) -> Claim:
        if holder.request == entry.request:
            return Claim(entry.request)
        exc = request_error.ConflictError(
            f'the idempotency key belongs to request {holder.request}'
        )
        self._journal.settle_later(entry, durable_answer.failure(exc))
        if holder.digest != entry.digest:
            raise exc
        return Claim(holder.request)

    async def _settle_unclaimed(
        self, entry: durable_entry.Entry
    ) -> request_error.RequestError:
        """Settles an entry that was not claimed as not run.

        Until that is durable this router may die and a taker run the entry,
        so only then may the caller be told that it did not run.
        """
        exc = self._journal.unavailable_error('the key could not be claimed')
        try:
            async with deadline.timeout(self._max_wait_s()):
                await self._journal.settle(entry, durable_answer.failure(exc))
        except TimeoutError:
            return request_error.OutcomeUnknownError(
                f'the fate of {entry.request} is not settled'
            )
        return exc


def key_of(account: str, idempotency_key: str) -> str:
    """Gives the key of the row; a caller's key may hold anything."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f'{account}/{digest[:KEY_DIGITS]}'
