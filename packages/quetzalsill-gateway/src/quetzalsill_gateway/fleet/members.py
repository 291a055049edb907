"""Which gateways send to the same upstreams.

What an upstream can take from all gateways together is given out in shares. A
share must hold also while gateways do not hear each other, so one that has
fallen silent keeps its share for a while: it may be cut off, and at work.
"""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ['Members']

# How long the share of a gateway that is not heard is kept. Cuts between
# gateways are mended sooner; a host that was removed needs no share after it.
MEMBER_TTL_S = 60.0
# Gateways kept; several times the largest fleet planned for.
MAX_MEMBERS = 2000


class Members:
    """The gateways that were heard or listed of late."""

    def __init__(self, node: str) -> None:
        """Knows of one gateway, this one, called `node`."""
        self.node = node
        self._last_seen_s: dict[str, float] = {}
        self._names: tuple[str, ...] = (node,)
        self._oldest_s = float('inf')
        self._is_directory_read = False

    @property
    def is_directory_read(self) -> bool:
        """Whether the directory has been read, which lists all of them.

        Who has only heard some may be cut off from the others.
        """
        return self._is_directory_read

    def add_listed(self, names: Iterable[str], now: float) -> None:
        """Notes the gateways that stand in the directory."""
        self._is_directory_read = True
        self.mark_seen(names, now)

    def mark_seen(self, names: Iterable[str], now: float) -> None:
        """Notes gateways that were heard."""
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
        """Returns the names of all of them, this one included, in order."""
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
