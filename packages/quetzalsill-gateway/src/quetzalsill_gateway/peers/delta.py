"""Decides whether to publish the full state, a delta or nothing.

A gateway uses a handful of engines, and its usage of one or two of them changes
at a time. If each change published the full state, most of the traffic would
repeat what was sent before. A delta that gets lost is made up for by the next
full state, which follows soon (`fleet.publish_timing`).
"""

from __future__ import annotations

import dataclasses

from quetzalsill_gateway.fleet import publish_timing
from quetzalsill_gateway.fleet import usage as usage_lib
from quetzalsill_gateway.peers import state as state_lib

__all__ = ['DeltaTracker']


class DeltaTracker:
    """Numbers the states of one process and computes deltas between them."""

    def __init__(self, node: str, incarnation: int) -> None:
        self._published = state_lib.State(node, incarnation, 0, {})
        self._full_s = 0.0
        self._published_s = 0.0

    def full_state(self) -> state_lib.State:
        """Returns the last published state in full, for a single peer."""
        self._published = dataclasses.replace(
            self._published, sequence=self._published.sequence + 1
        )
        return self._published

    def next_state(
        self, now: float, current: state_lib.State, gateways: int
    ) -> state_lib.State | None:
        """Returns the state to publish to all peers; None for nothing.

        Args:
          now: Loop time, in seconds.
          current: The current state in full; its sequence number is ignored.
          gateways: Number of gateways in the fleet.
        """
        before = self._published
        sequence = before.sequence
        current = dataclasses.replace(
            current, incarnation=before.incarnation, sequence=sequence
        )
        is_full_due = now - self._full_s >= publish_timing.full_state_s(
            gateways
        )
        is_keepalive_due = (
            now - self._published_s >= publish_timing.keepalive_s(gateways)
        )
        if current == before and not is_full_due and not is_keepalive_due:
            return None
        self._published = dataclasses.replace(current, sequence=sequence + 1)
        self._published_s = now
        if is_full_due:
            self._full_s = now
            return self._published
        usage = {
            key: entry
            for key, entry in current.usage.items()
            if before.usage.get(key) != entry
        }
        released = before.usage.keys() - current.usage.keys()
        usage |= dict.fromkeys(released, usage_lib.NO_USAGE)
        new_keys = frozenset(current.leaving).difference(before.leaving)
        leaving = tuple(key for key in current.leaving if key in new_keys)
        return dataclasses.replace(
            self._published, usage=usage, leaving=leaving, is_full=False
        )
