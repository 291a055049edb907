"""Looks a request up by its id, through any router.

The id names the place where the request was accepted, so that a pending
request costs one read; the index leads from it to the outcome.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.platform import error as platform_error
from quetzalsill_router.durable import entry as durable_entry
from quetzalsill_router.durable import index as durable_index
from quetzalsill_router.durable import log as durable_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.platform import objects as platform_objects
    from quetzalsill.platform import table as platform_table
    from quetzalsill_router.durable import answer as durable_answer

__all__ = ['Answers', 'Stored']

MIN_POLL_INTERVAL_S = 0.05
MAX_POLL_INTERVAL_S = 2.0


@dataclasses.dataclass(slots=True)
class Stored:
    """What the platform holds of a request.

    Attributes:
      request: Id of the request.
      answer: The settled outcome; None while the request is pending.
    """

    request: str
    answer: durable_answer.Answer | None


class Answers:
    """Reads what is stored of requests.

    Args:
      table: Client of the table.
      objects: Client of the object store.
      index: Index of this router, which knows its newest outcomes first.
      suspect: Told the log of a request that is waited for, so that the
        death of its router is found soon.
    """

    def __init__(
        self,
        table: platform_table.Table,
        objects: platform_objects.Objects,
        index: durable_index.Index,
        suspect: Callable[[str], None],
    ) -> None:
        self._table = table
        self._objects = objects
        self._index = index
        self._suspect = suspect

    async def get(self, account: str, request: str) -> Stored:
        """Looks a request up.

        Raises:
          NotFoundError: No such request of this account was accepted, or it
            has expired.
          StoreUnavailableError: The platform did not answer; this says
            nothing of the request (`ran` is unknown).
        """
        try:
            return await self._get(account, request)
        except platform_error.PlatformError as exc:
            raise request_error.StoreUnavailableError(
                f'request {request}: {exc}',
                ran=base.Ran.UNKNOWN,
                retry_after_s=MAX_POLL_INTERVAL_S,
            ) from exc

    async def wait(self, account: str, request: str, within_s: float) -> Stored:
        """Waits for the outcome of a request.

        Returns:
          What is stored after `within_s` at most; its answer is None if the
          request was still pending then.

        Raises:
          NotFoundError: See `get`.
          StoreUnavailableError: See `get`.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        poll_s = MIN_POLL_INTERVAL_S
        stored = await self.get(account, request)
        while stored.answer is None and loop.time() < end:
            self._suspect(durable_entry.parse_request_id(request).log)
            await asyncio.sleep(min(poll_s, end - loop.time()))
            poll_s = min(2 * poll_s, MAX_POLL_INTERVAL_S)
            stored = await self.get(account, request)
        return stored

    async def _get(self, account: str, request: str) -> Stored:
        pointer = self._index.find_queued(request)
        if pointer is None:
            pointer = await durable_index.find(self._table, request)
        if pointer is None:
            return await self._pending(account, request)
        return await self._settled(account, pointer)

    async def _settled(
        self, account: str, pointer: durable_index.Pointer
    ) -> Stored:
        segment = await durable_log.read(
            self._objects, pointer.log, pointer.segment
        )
        for record in segment.settled if segment else ():
            if (record.account, record.request) == (account, pointer.request):
                return Stored(record.request, record.answer)
        raise request_error.UnknownRequestError(
            f'no request {pointer.request!r}'
        )

    async def _pending(self, account: str, request: str) -> Stored:
        position = durable_entry.parse_request_id(request)
        entry = await durable_log.read_entry(self._objects, position)
        if entry is None or entry.account != account:
            raise request_error.UnknownRequestError(f'no request {request!r}')
        return Stored(request, None)
