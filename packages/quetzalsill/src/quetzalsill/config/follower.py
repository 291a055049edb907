"""Keeps a process at the newest revision in the platform."""

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
    """Task of a router that installs newer revisions as they are accepted.

    It reads the head row once per `interval_s`, spread by a fifth so that
    nodes don't read in step: `1 / interval_s` reads a second, and two more
    for each new revision (its row and its document). Hints can't raise that
    above `1 / LEAST_GAP_S` polls a second. In an outage it goes on with what
    the holder has; each poll then costs an attempt and its timeout.
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
        """Polls soon because a peer has told of a newer revision."""
        if revision > self._holder.revision:
            self._newer_announced.set()

    async def run(self) -> None:
        """Follows until cancelled."""
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
        """Reads the head once and installs its revision if newer.

        Returns:
          Whether a newer revision was installed.

        Raises:
          PlatformError: The store does not answer as it should.
          RevisionMissingError: The document is lost or damaged.
          InvalidDocumentError: The document does not fit.
        """
        newest = (await self._store.head()).revision
        if newest <= self._holder.revision:
            return False
        document = await self._store.load(newest)
        return self._holder.install(document, newest)
