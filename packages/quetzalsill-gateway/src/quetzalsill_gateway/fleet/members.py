"""The gateways that share the capacity of the same upstreams.

The capacity of an upstream is divided among all gateways. The division has to
hold while gateways cannot reach each other too: a silent gateway may only be
partitioned and still sending, so it keeps its share for a while.
"""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ['Members']

# How long a silent gateway keeps its share. Partitions between gateways heal
# sooner, and a host that was removed needs no share after it.
MEMBER_TTL_S = 60.0
# Several times the size of the largest fleet planned for.
MAX_MEMBERS = 2000


class Members:
    """The gateways that were seen or listed recently."""

    def __init__(self, node: str) -> None:
        """Starts with this gateway only, which is called `node`."""
        self.node = node
        self._last_seen_s: dict[str, float] = {}
        self._names: tuple[str, ...] = (node,)
        self._oldest_s = float('inf')
        self._is_directory_read = False

    @property
    def is_directory_read(self) -> bool:
        """Whether the directory, which lists all gateways, has been read.

        Until then, a gateway may know only those on its side of a partition.
        """
        return self._is_directory_read

    def add_listed(self, names: Iterable[str], now: float) -> None:
        """Adds the gateways that the directory lists."""
        self._is_directory_read = True
        self.mark_seen(names, now)

    def mark_seen(self, names: Iterable[str], now: float) -> None:
        """Records that gateways were seen at loop time `now`."""
        self._oldest_s = min(self._oldest_s, now)
        for name in names:
            if name == self.node:
                continue
            if name in self._last_seen_s:
                self._last_seen_s[name] = now
            elif len(self._last_seen_s) < MAX_MEMBERS:
                self._last_seen_s[name] = now
                self._names = ()

    def names(self, now: float) -> tuple[str, ...]:
        """Returns the sorted names of all members, including this gateway."""
        self._remove_expired(now)
        if not self._names:
            self._names = tuple(sorted((self.node, *self._last_seen_s)))
        return self._names

    def _remove_expired(self, now: float) -> None:
        if now <= self._oldest_s + MEMBER_TTL_S:
            return
        kept = {
            name: last_seen_s
            for name, last_seen_s in self._last_seen_s.items()
            if now - last_seen_s <= MEMBER_TTL_S
        }
        if len(kept) != len(self._last_seen_s):
            self._names = ()
        self._last_seen_s = kept
        self._oldest_s = min(kept.values(), default=float('inf'))
