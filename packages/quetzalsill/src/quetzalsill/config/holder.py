"""The active configuration of a process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quetzalsill import event
from quetzalsill.config import document as config_document
from quetzalsill.config import model

__all__ = ['Holder', 'OnChange']

OnChange = Callable[[model.Configuration], None]


class Holder:
    """Holds the newest configuration received; its revision never decreases.

    Until the first `install` it holds an empty configuration at revision 0.

    Attributes:
      current: Active configuration; replaced as a whole, never modified.
      document: Its serialized form, as kept in the store.
    """

    def __init__(self) -> None:
        self.current = model.Configuration()
        self.document = config_document.render(self.current)
        self._callbacks: list[OnChange] = []
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._delivering = False

    @property
    def revision(self) -> int:
        """Active revision; 0 until the first install."""
        return self.current.revision

    def install(self, document: bytes, revision: int) -> bool:
        """Activates a configuration if it is newer than the active one.

        Late and repeated documents, for example from a lagging peer or a
        paused task, are not newer than the active revision and are ignored.
        This is the only place that replaces the configuration, and no other
        task can run between the comparison and the assignment.

        Returns:
          True if it is now active, False if it was not newer.

        Raises:
          InvalidDocumentError: If it is invalid; the active configuration is
            kept.
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
        """Registers a function to be called after each install."""
        self._callbacks.append(callback)

    async def wait_for(self, revision: int) -> model.Configuration:
        """Waits until this revision or a newer one is active."""
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
        # A callback may install a newer revision. If that revision were
        # delivered from within the nested call, the remaining callbacks would
        # receive the newer one first and then the older one, which reverts
        # the configuration.
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
                # A callback that fails must not keep the other callbacks
                # from receiving the new revision.
                event.note(
                    event.ConfigurationCallbackFailed(
                        revision=cfg.revision,
                    ),
                    exc=exc,
                )
