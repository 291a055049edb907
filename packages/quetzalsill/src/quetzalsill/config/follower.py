"""Polls the platform for newer revisions of the configuration."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from quetzalsill import event
from quetzalsill.config import store as config_store
from quetzalsill.platform import error
from quetzalsill.schema import error as schema_error

if TYPE_CHECKING:
    from quetzalsill.config import holder

__all__ = ['Follower']

POLL_JITTER = 0.2
MIN_POLL_GAP_S = 0.2
READ_ERRORS = (
    error.PlatformError,
    config_store.ConfigStoreError,
    schema_error.InvalidDocumentError,
)


class Follower:
    """Task of a router that installs newer revisions once they are accepted.

    It reads the head row every `interval_s`, with a jitter of one fifth so
    that nodes do not poll in lockstep. This costs `1 / interval_s` reads per
    second, plus two reads for each new revision (its row and its document).
    Hints cannot raise the rate above `1 / MIN_POLL_GAP_S` polls per second.
    During an outage the holder keeps its configuration, and each poll costs
    one attempt with its timeout.
    """

    def __init__(
        self,
        store: config_store.ConfigStore,
        config_holder: holder.Holder,
        interval_s: float,
    ) -> None:
        self._store = store
        self._holder = config_holder
        self._interval_s = interval_s
        self._newer_announced = asyncio.Event()
        self._is_failing = False

    def hint(self, revision: int) -> None:
        """Polls early if a peer has announced a newer revision."""
        if revision > self._holder.revision:
            self._newer_announced.set()

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            self._newer_announced.clear()
            await self._poll()
            await asyncio.sleep(MIN_POLL_GAP_S)
            await self._wait()

    async def _wait(self) -> None:
        wait_s = self._interval_s * random.uniform(
            1 - POLL_JITTER, 1 + POLL_JITTER
        )
        try:
            async with asyncio.timeout(max(0, wait_s - MIN_POLL_GAP_S)):
                await self._newer_announced.wait()
        except TimeoutError:
            return

    async def _poll(self) -> None:
        try:
            await self.refresh()
        except READ_ERRORS as exc:
            if not self._is_failing:
                event.note(event.ConfigurationNotRead(error=exc.code))
            self._is_failing = True
            return
        if self._is_failing:
            event.note(event.ConfigurationReadAgain())
        self._is_failing = False

    async def refresh(self) -> bool:
        """Reads the head once and installs its revision if it is newer.

        Returns:
          Whether a newer revision was installed.

        Raises:
          PlatformError: The store does not respond or the response is invalid.
          RevisionMissingError: The document is missing or corrupt.
          InvalidDocumentError: The document does not match the model.
        """
        newest = (await self._store.head()).revision
        if newest <= self._holder.revision:
            return False
        document = await self._store.load(newest)
        return self._holder.install(document, newest)
