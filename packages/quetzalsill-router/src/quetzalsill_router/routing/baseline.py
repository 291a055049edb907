"""Baseline routing policies."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalsill_router.peer import peer as peer_module
    from quetzalsill_router.routing import query as routing_query

__all__ = ['fewest_outstanding', 'rotate']


def rotate() -> routing_query.Policy:
    """Makes a round-robin policy."""
    counter = itertools.count()

    def choose(
        query: routing_query.Query, candidates: Sequence[peer_module.Peer]
    ) -> peer_module.Peer | None:
        del query
        if not candidates:
            return None
        return candidates[next(counter) % len(candidates)]

    return choose


def fewest_outstanding() -> routing_query.Policy:
    """Makes a policy that picks the peer with the fewest own attempts."""

    def choose(
        query: routing_query.Query, candidates: Sequence[peer_module.Peer]
    ) -> peer_module.Peer | None:
        del query
        return min(candidates, key=lambda peer: peer.outstanding, default=None)

    return choose
