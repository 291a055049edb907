"""What to tell the other gateways now: all, what has changed, or nothing.

A gateway holds something at a handful of engines and changes it at one or two
at a time. Told whole at each change, most of what is sent says again what was
said before. A change that is lost is made good by the whole, which follows
within `WHOLE_S`.
"""

from __future__ import annotations

import dataclasses

from quetzalsill_gateway.fleet import held as held_lib
from quetzalsill_gateway.peers import state as state_lib

__all__ = ['Teller']

# A lost change leaves room unused, or given out twice, for so long at most.
WHOLE_S = 2.0
# Something is told without a change too, so that silence means something.
ALIVE_S = 1.0


class Teller:
    """Numbers what one process tells, and remembers what it has told."""

    def __init__(self, node: str, incarnation: int) -> None:
        self._told = state_lib.State(node, incarnation, 0, {})
        self._whole_s = 0.0
        self._told_s = 0.0

    def whole(self) -> state_lib.State:
        """Returns all that was told last, for one that may not know it."""
        self._told = dataclasses.replace(
            self._told, number=self._told.number + 1
        )
        return self._told

    def news(
        self, now: float, current: state_lib.State
    ) -> state_lib.State | None:
        """Returns what to tell all others; None for nothing.

        Args:
          now: Loop time, in seconds.
          current: All there is, with any number.
        """
        before = self._told
        number = before.number
        current = dataclasses.replace(
            current, incarnation=before.incarnation, number=number
        )
        is_due = now - self._whole_s >= WHOLE_S
        is_silent = now - self._told_s >= ALIVE_S
        if current == before and not is_due and not is_silent:
            return None
        self._told = dataclasses.replace(current, number=number + 1)
        self._told_s = now
        if is_due:
            self._whole_s = now
            return self._told
        held = {
            key: entry
            for key, entry in current.held.items()
            if before.held.get(key) != entry
        }
        given_back = before.held.keys() - current.held.keys()
        held |= dict.fromkeys(given_back, held_lib.NOTHING)
        return dataclasses.replace(self._told, held=held, is_whole=False)
