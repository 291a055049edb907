"""The configuration in force in this process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quetzalsill import event
from quetzalsill.config import document as config_document
from quetzalsill.config import model

__all__ = ['Holder', 'OnChange']

OnChange = Callable[[model.Configuration], None]


class Holder:
    """Holds the newest configuration seen and never steps down.

    Until the first `install` it holds an empty configuration at revision 0.

    Attributes:
      current: Configuration in force; replaced whole, never changed.
      document: Its bytes, as the store keeps them.
    """

    def __init__(self) -> None:
        self.current = model.Configuration()
        self.document = config_document.render(self.current)
        self._callbacks: list[OnChange] = []
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._delivering = False

    @property
    def revision(self) -> int:
        """Revision in force; 0 until the first install."""
        return self.current.revision

    def install(self, document: bytes, revision: int) -> bool:
        """Puts a newer configuration in force.

        A late or repeated document, such as one that a lagging peer or a
        paused task still holds, is older than `revision` and is dropped
        here: this is the only place that replaces the configuration, and
        nothing runs between its comparison and its assignment.

        Returns:
          True if it is now in force, False if it was not newer.

        Raises:
          InvalidDocumentError: If it does not fit; what was in force stays.
        """
        if revision <= self.revision:
            return False
        self.current = config_document.parse(document, revision)
        self.document = document
        event.note(event.ConfigurationInstalled(revision=revision))
        self._wake()
        self._deliver()
        return True

    def on_change(self, callback: OnChange) -> None:
        """Registers a function called after each install."""
        self._callbacks.append(callback)

    async def wait_for(self, revision: int) -> model.Configuration:
        """Waits until a revision at least this new is in force."""
        if self.revision < revision:
            fut = asyncio.get_running_loop().create_future()
            entry = (revision, fut)
            self._waiters.append(entry)
            try:
                await fut
            finally:
                if entry in self._waiters:
                    self._waiters.remove(entry)
        return self.current

    def _wake(self) -> None:
        due = [entry for entry in self._waiters if entry[0] <= self.revision]
        for entry in due:
            self._waiters.remove(entry)
            if not entry[1].done():
                entry[1].set_result(None)

    def _deliver(self) -> None:
        # A callback may install a newer revision. Were it delivered from
        # inside that call, the callbacks further down the list would see the
        # newer one first and then the older one: a reverted configuration.
        if self._delivering:
            return
        self._delivering = True
        try:
            delivered = -1
            while delivered < self.revision:
                delivered = self.revision
                self._deliver_once(self.current)
        finally:
            self._delivering = False

    def _deliver_once(self, cfg: model.Configuration) -> None:
        for callback in list(self._callbacks):
            try:
                callback(cfg)
            except Exception as exc:
                # One part that fails on a revision must not keep the other
                # parts on the old one.
                event.note(
                    event.ConfigurationCallbackFailed(
                        revision=cfg.revision,
                    ),
                    exc=exc,
                )
