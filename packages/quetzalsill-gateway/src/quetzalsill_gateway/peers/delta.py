"""What to tell the other gateways now: all, what has changed, or nothing.

A gateway holds something at a handful of engines and changes it at one or two
at a time. Told whole at each change, most of what is sent says again what was
said before. A change that is lost is made good by the whole, which follows
soon (`fleet.publish_timing`).
"""

from __future__ import annotations

import dataclasses

from quetzalsill_gateway.fleet import publish_timing
from quetzalsill_gateway.fleet import usage as usage_lib
from quetzalsill_gateway.peers import state as state_lib

__all__ = ['DeltaTracker']


class DeltaTracker:
    """Numbers what one process tells, and remembers what it has told."""

    def __init__(self, node: str, incarnation: int) -> None:
        self._told = state_lib.State(node, incarnation, 0, {})
        self._whole_s = 0.0
        self._told_s = 0.0

    def full_state(self) -> state_lib.State:
        """Returns all that was told last, for one that may not know it."""
        self._told = dataclasses.replace(
            self._told, sequence=self._told.sequence + 1
        )
        return self._told

    def next_state(
        self, now: float, current: state_lib.State, gateways: int
    ) -> state_lib.State | None:
        """Returns what to tell all others; None for nothing.

        Args:
          now: Loop time, in seconds.
          current: All there is, with any sequence.
          gateways: How many tell each other.
        """
        before = self._told
        sequence = before.sequence
        current = dataclasses.replace(
            current, incarnation=before.incarnation, sequence=sequence
        )
        is_due = now - self._whole_s >= publish_timing.full_state_s(gateways)
        is_silent = now - self._told_s >= publish_timing.keepalive_s(gateways)
        if current == before and not is_due and not is_silent:
            return None
        self._told = dataclasses.replace(current, sequence=sequence + 1)
        self._told_s = now
        if is_due:
            self._whole_s = now
            return self._told
        usage = {
            key: entry
            for key, entry in current.usage.items()
            if before.usage.get(key) != entry
        }
        given_back = before.usage.keys() - current.usage.keys()
        usage |= dict.fromkeys(given_back, usage_lib.NO_USAGE)
        fresh = frozenset(current.leaving).difference(before.leaving)
        leaving = tuple(key for key in current.leaving if key in fresh)
        return dataclasses.replace(
            self._told, usage=usage, leaving=leaving, is_full=False
        )
