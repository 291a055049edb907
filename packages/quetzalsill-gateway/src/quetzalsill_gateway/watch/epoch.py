"""Tracks the epoch of the source, as its answers to this gateway report it.

A source that loses its newest changes enters a new epoch (`fleet.revision`). As
soon as any call reports it, all tables are listed again, and the entries that
the gateway has written are written again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from quetzalsill.telemetry import metric
from quetzalsill_gateway import error, event

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import revision

__all__ = ['DOWNGRADE_AFTER_S', 'EpochTracker', 'epochs_total']

# If a source reports an older epoch for this long, and the newer one not once
# in between, it is in the older: the newer one was a fault of one answer.
DOWNGRADE_AFTER_S = 1.0
# Updates of an epoch that the source has denied are ignored for this long: each
# would send all other gateways to the source again.
REFUTED_S = 60.0
# Minimum time between two log lines about discarded answers.
LOG_EVERY_S = 60.0

# Other modules use it as `meter.epochs`. It is defined here because `meter`
# depends on `core`, which holds a source.
epochs_total = metric.counter(
    'quetzalsill_gateway_store_epochs_total',
    'Epochs of the store: entered, tables listed for it, answers left out.',
)


class EpochTracker:
    """The newest epoch that the source has reported.

    Attributes:
      newest: That epoch; 0 before any, and for a source that reports none.
    """

    def __init__(self) -> None:
        self.newest = 0
        self._is_known = False
        self._peer_epoch = 0
        self._peer_epoch_s = 0.0
        self._refuted = 0
        self._refuted_until_s = 0.0
        self._downgrade_since_s: float | None = None
        self._log_after_s = 0.0
        self._on_change: list[Callable[[], None]] = []

    def on_change(self, callback: Callable[[], None]) -> None:
        """Registers a callback for when the source enters another epoch."""
        self._on_change.append(callback)

    def observe(self, call: str, epoch: int, newest_when_sent: int) -> None:
        """Checks the epoch of an answer before its content is used.

        Args:
          call: Name of the call.
          epoch: Epoch of the answer.
          newest_when_sent: `newest` when the call was sent.

        Raises:
          error.StaleResponseError: The answer is of an epoch that has ended and
            must be discarded.
        """
        if epoch < self.newest and not self._is_downgrade(
            epoch, newest_when_sent
        ):
            epochs_total.inc({'what': 'stale'})
            self._log_stale(call, epoch)
            raise error.StaleResponseError(
                f'{call}: epoch {epoch}, after {self.newest}'
            )
        self._downgrade_since_s = None
        if epoch != self.newest:
            self._enter(call, epoch)
        self._is_known = True
        self._refute()

    def note_peer_epoch(
        self,
        table: str,
        peer: str,
        known: revision.Revision,
        reported: revision.Revision,
    ) -> None:
        """Logs a new epoch reported by a peer, once per epoch.

        Args:
          table: Table of the update.
          peer: Name of the peer.
          known: Revision known here.
          reported: Revision in the update.
        """
        if reported.epoch > max(self.newest, self._peer_epoch):
            self._peer_epoch = reported.epoch
            self._peer_epoch_s = asyncio.get_running_loop().time()
            event.note(event.EpochTold(table, peer, str(known), str(reported)))

    def is_refuted(self, epoch: int) -> bool:
        """Whether the source has denied an epoch that peers report."""
        if epoch <= self.newest or epoch != self._refuted:
            return False
        return asyncio.get_running_loop().time() < self._refuted_until_s

    def _refute(self) -> None:
        """Marks an epoch that peers reported as denied by the source.

        The source must have answered some time after the report, with an older
        epoch.
        """
        if self._peer_epoch <= self.newest:
            return
        now = asyncio.get_running_loop().time()
        if now - self._peer_epoch_s > DOWNGRADE_AFTER_S:
            self._refuted = self._peer_epoch
            self._refuted_until_s = now + REFUTED_S
            self._peer_epoch = 0

    def _is_downgrade(self, epoch: int, newest_when_sent: int) -> bool:
        """Whether the source is in an older epoch than the newest known one.

        If the newest epoch were kept for good, one faulty answer would make the
        gateway discard all later ones. Calls sent before the newest epoch was
        known do not count: their answers are late, since answers can overtake
        each other.
        """
        if newest_when_sent != self.newest:
            return False
        now = asyncio.get_running_loop().time()
        if self._downgrade_since_s is None:
            self._downgrade_since_s = now
        return now - self._downgrade_since_s > DOWNGRADE_AFTER_S

    def _enter(self, call: str, epoch: int) -> None:
        previous, self.newest = self.newest, epoch
        self._peer_epoch = 0
        if not self._is_known:
            return
        epochs_total.inc({'what': 'new' if epoch > previous else 'fallen'})
        event.note(event.EpochEntered(call, previous, epoch))
        for callback in self._on_change:
            callback()

    def _log_stale(self, call: str, epoch: int) -> None:
        now = asyncio.get_running_loop().time()
        if now >= self._log_after_s:
            self._log_after_s = now + LOG_EVERY_S
            event.note(event.AnswerStale(call, self.newest, epoch))
