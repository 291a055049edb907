"""The latest membership changes, kept to be sent to peers.

A datagram may be lost, so each one repeats the last few changes. A gateway that
has missed more than that detects the gap and polls the source itself.
"""

from __future__ import annotations

import collections

from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.fleet import upstream

__all__ = ['ChangeLog']

# How long changes are repeated, in seconds: a few polls of the source.
RETENTION_S = 1.0
# Changes in a datagram; about 100 bytes each. There are more only if a large
# part of a large fleet changes at once; then each gateway polls by itself.
MAX_CHANGES = 80


class ChangeLog:
    """The changes after a revision, in the order of their revisions.

    Changes without effect are left out: an upstream may rewrite its entry with
    only a counter changed. Every gateway processes the same revisions, so all
    leave out the same changes.
    """

    def __init__(self) -> None:
        self._batches: collections.deque[
            tuple[float, revision_lib.Revision]
        ] = collections.deque()
        self._changes: collections.deque[upstream.Change] = collections.deque()
        self._since = revision_lib.NONE
        self._entries: dict[str, upstream.Upstream] = {}

    @property
    def since(self) -> revision_lib.Revision:
        """Revision after which every change is in `changes`."""
        return self._since

    @property
    def changes(self) -> tuple[upstream.Change, ...]:
        """Changes after `since`, oldest first."""
        return tuple(self._changes)

    def entries(
        self, revision: revision_lib.Revision
    ) -> tuple[upstream.Change, ...]:
        """Returns all entries, as of a revision."""
        return tuple(
            upstream.Change(name, revision, entry)
            for name, entry in self._entries.items()
        )

    def reset(
        self, changes: list[upstream.Change], revision: revision_lib.Revision
    ) -> None:
        """Starts over from all entries as of a revision."""
        self._batches.clear()
        self._changes.clear()
        self._since = revision
        self._entries.clear()
        for change in changes:
            self._store(change)

    def record(
        self,
        now: float,
        before: revision_lib.Revision,
        received: list[upstream.Change],
    ) -> list[upstream.Change]:
        """Records the changes after a revision; returns those with an effect.

        Args:
          now: Loop time, in seconds.
          before: Revision after which they came.
          received: The changes, in order.
        """
        changes = [change for change in received if self._store(change)]
        if not self._batches:
            self._since = before
        self._batches.append((now, before))
        self._changes.extend(changes)
        while (
            len(self._batches) > 1 and now - self._batches[0][0] > RETENTION_S
        ):
            self._batches.popleft()
        self._truncate(self._batches[0][1])
        if len(self._changes) > MAX_CHANGES:
            self._truncate(self._changes[-MAX_CHANGES - 1].revision)
        return changes

    def _store(self, change: upstream.Change) -> bool:
        """Stores an entry; returns whether it differs from the previous one."""
        previous = self._entries.get(change.id)
        if change.upstream is None:
            self._entries.pop(change.id, None)
            return previous is not None
        self._entries[change.id] = change.upstream
        return previous is None or not previous.has_same_content(
            change.upstream
        )

    def _truncate(self, revision: revision_lib.Revision) -> None:
        self._since = max(self._since, revision)
        while self._changes and self._changes[0].revision <= self._since:
            self._changes.popleft()
