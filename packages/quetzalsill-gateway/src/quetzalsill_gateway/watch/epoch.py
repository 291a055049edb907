"""Which epoch the source is in, as its answers to this gateway say.

A source that loses its newest changes enters a new epoch (`fleet.revision`).
Whichever call hears of it first speaks for all: every table is listed anew, and
what the gateway has written there is written again.
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

# A source that tells an older epoch for so long, and the newer not once in
# between, is in the older: the other was a fault of one answer's.
DOWNGRADE_AFTER_S = 1.0
# What another gateway tells of an epoch that the source has denied is left out
# for so long: its word would send all others to the source, again and again.
REFUTED_S = 60.0
# Least time between two log lines of answers that were left out.
LOG_EVERY_S = 60.0

# `meter.epochs` to all others; that looks at what holds a source.
epochs_total = metric.counter(
    'quetzalsill_gateway_store_epochs_total',
    'Epochs of the store: entered, tables listed for it, answers left out.',
)


class EpochTracker:
    """The newest epoch that the source has told.

    Attributes:
      newest: That epoch; 0 before any, and for a source that tells none.
    """

    def __init__(self) -> None:
        self.newest = 0
        self._is_known = False
        self._told = 0
        self._told_s = 0.0
        self._refuted = 0
        self._refuted_until_s = 0.0
        self._behind_s: float | None = None
        self._quiet_until_s = 0.0
        self._on_new: list[Callable[[], None]] = []

    def on_change(self, callback: Callable[[], None]) -> None:
        """Calls back when the source has entered another epoch."""
        self._on_new.append(callback)

    def observe(self, call: str, told: int, asked: int) -> None:
        """Takes the epoch of an answer, whatever else is in it.

        Args:
          call: Name of the call.
          told: The epoch.
          asked: `newest` as the call was sent.

        Raises:
          error.StaleResponseError: The answer is of an epoch that has ended; it
            changes nothing.
        """
        if told < self.newest and not self._has_fallen(told, asked):
            epochs_total.inc({'what': 'stale'})
            self._note_stale(call, told)
            raise error.StaleResponseError(
                f'{call}: epoch {told}, after {self.newest}'
            )
        self._behind_s = None
        if told != self.newest:
            self._enter(call, told)
        self._is_known = True
        self._refute()

    def note_peer_epoch(
        self,
        table: str,
        peer: str,
        known: revision.Revision,
        told: revision.Revision,
    ) -> None:
        """Notes what another gateway tells; one line for each new epoch.

        Args:
          table: Which table its news is of.
          peer: Its name.
          known: Revision known here.
          told: Revision that it tells.
        """
        if told.epoch > max(self.newest, self._told):
            self._told = told.epoch
            self._told_s = asyncio.get_running_loop().time()
            event.note(event.EpochTold(table, peer, str(known), str(told)))

    def is_refuted(self, told: int) -> bool:
        """Whether the source has denied an epoch that other gateways tell."""
        if told <= self.newest or told != self._refuted:
            return False
        return asyncio.get_running_loop().time() < self._refuted_until_s

    def _refute(self) -> None:
        """Notes that the source, asked since, knows no epoch that was told."""
        if self._told <= self.newest:
            return
        now = asyncio.get_running_loop().time()
        if now - self._told_s > DOWNGRADE_AFTER_S:
            self._refuted = self._told
            self._refuted_until_s = now + REFUTED_S
            self._told = 0

    def _has_fallen(self, told: int, asked: int) -> bool:
        """Whether the newer epoch that is known was a fault.

        Held for good, one answer's fault would make the gateway deaf for all
        later ones. Calls sent before it was known count for nothing: they are
        late, as answers are that overtake each other.
        """
        if asked != self.newest:
            return False
        now = asyncio.get_running_loop().time()
        if self._behind_s is None:
            self._behind_s = now
        return now - self._behind_s > DOWNGRADE_AFTER_S

    def _enter(self, call: str, told: int) -> None:
        before, self.newest = self.newest, told
        self._told = 0
        if not self._is_known:
            return
        epochs_total.inc({'what': 'new' if told > before else 'fallen'})
        event.note(event.EpochEntered(call, before, told))
        for callback in self._on_new:
            callback()

    def _note_stale(self, call: str, told: int) -> None:
        now = asyncio.get_running_loop().time()
        if now >= self._quiet_until_s:
            self._quiet_until_s = now + LOG_EVERY_S
            event.note(event.AnswerStale(call, self.newest, told))
