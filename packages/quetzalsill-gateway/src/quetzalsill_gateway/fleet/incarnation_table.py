"""What responses of upstreams have shown about their incarnations."""

from __future__ import annotations

import asyncio
import collections
import math
from collections.abc import Callable, Collection, Iterable
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from quetzalsill_gateway import event

if TYPE_CHECKING:
    from quetzalsill.telemetry import event as base_event

__all__ = ['Incarnation', 'IncarnationTable', 'InvalidValueLog']

Fact = TypeVar('Fact')

MAX_INCARNATIONS = 4096
# Invalid values of one upstream are logged once in this time.
LOG_INTERVAL_S = 60.0
MAX_VALUE_LENGTH = 80


class Incarnation(Protocol):
    """One incarnation of an upstream.

    Attributes:
      id: Id of the upstream.
    """

    id: str

    @property
    def key(self) -> str:
        """Identifies the incarnation."""


class IncarnationTable(Generic[Fact]):
    """Facts about incarnations of upstreams, by their keys.

    A fact outlasts the entry in the membership: an entry may lapse in an outage
    of its source and be back, and a peer may send a fact before the source
    sends the entry. Only another incarnation, which has another key, is free of
    it.
    """

    def __init__(
        self,
        observed_s: Callable[[Fact], float],
        retention_s: float,
        lapse_s: float = 0.0,
    ) -> None:
        """Creates an empty table.

        Args:
          observed_s: Returns the loop time at which a fact was last observed.
            What peers repeat counts from there, not from its arrival: repeated
            among them, it would never expire.
          retention_s: For how long facts about unknown upstreams are kept.
          lapse_s: For how long a fact is kept after its upstream was last
            known, however old it is.
        """
        self._observed_s = observed_s
        self._retention_s = retention_s
        self._lapse_s = lapse_s
        self._facts: collections.OrderedDict[str, Fact] = (
            collections.OrderedDict()
        )
        self._known_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._facts)

    def get(self, key: str) -> Fact | None:
        """Returns the fact about an incarnation, None if there is none."""
        return self._facts.get(key)

    def put(self, key: str, fact: Fact) -> None:
        """Stores a fact; the one that was stored first makes room."""
        self._facts.pop(key, None)
        self._facts[key] = fact
        while len(self._facts) > MAX_INCARNATIONS:
            self.discard(next(iter(self._facts)))

    def discard(self, key: str) -> None:
        """Removes a fact."""
        self._facts.pop(key, None)
        self._known_s.pop(key, None)

    def values(self) -> Collection[Fact]:
        """Returns all facts."""
        return self._facts.values()

    def expire(
        self,
        known: Iterable[Incarnation],
        is_needed: Callable[[Fact], bool] = lambda _: True,
    ) -> None:
        """Removes the facts that no known upstream has needed for long.

        Args:
          known: Upstreams in the membership.
          is_needed: Whether a fact about one of them is still of use.
        """
        now = _now()
        keys = {one.key for one in known}
        for key, fact in list(self._facts.items()):
            if key in keys and is_needed(fact):
                self._known_s[key] = now
                continue
            is_recent = now - self._observed_s(fact) <= self._retention_s
            known_s = self._known_s.get(key, -math.inf)
            if not is_recent and now - known_s >= self._lapse_s:
                self.discard(key)


class InvalidValueLog:
    """Logs invalid header values, once in a while for each upstream."""

    def __init__(
        self, make_event: Callable[[str, str], base_event.Event]
    ) -> None:
        """Creates a log.

        Args:
          make_event: Makes the event from an upstream's id and the value.
        """
        self._make_event = make_event
        self._logged_s: dict[str, float] = {}

    def note(self, found: Incarnation, values: Iterable[bytes]) -> None:
        """Logs the invalid values of a header."""
        now = _now()
        if now - self._logged_s.get(found.key, -math.inf) < LOG_INTERVAL_S:
            return
        if len(self._logged_s) >= MAX_INCARNATIONS:
            self._logged_s.clear()
        self._logged_s[found.key] = now
        text = b', '.join(values)[:MAX_VALUE_LENGTH].decode('latin-1')
        event.note(self._make_event(found.id, text))


def _now() -> float:
    return asyncio.get_running_loop().time()
