"""Input of routing policies, and the check for moving an attempt."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from quetzalsill_router.peer import peer as peer_module

    Policy = Callable[
        ['Query', Sequence[peer_module.Peer]], peer_module.Peer | None
    ]

__all__ = ['Query', 'expected_wait_ms', 'has_better_peer']

MIN_MOVE_WAIT_MS = 500
MAX_MOVE_WAIT_RATIO = 0.25


@dataclasses.dataclass(slots=True)
class Query:
    """Input of a routing policy for one attempt.

    Attributes:
      target: Name of the model or service.
      is_call: Whether the target is a plain service.
      availability_zone: Availability zone of this router.
      prefix: Digest of the prompt prefix; empty if there is none.
      prompt_tokens: Estimated length of the prompt in tokens.
    """

    target: str
    is_call: bool
    availability_zone: str
    prefix: str = ''
    prompt_tokens: int = 0


def expected_wait_ms(peer: peer_module.Peer) -> float:
    """Returns the wait the sidecar reported; 0 before the first report."""
    return peer.load.expected_wait_ms if peer.load is not None else 0.0


def has_better_peer(
    peer: peer_module.Peer, others: Sequence[peer_module.Peer]
) -> bool:
    """Whether an attempt queued at `peer` should move to an idle peer.

    A move withdraws the attempt and queues it again, so the wait must be long
    enough, and the other peer must report that it is idle.
    """
    wait_ms = expected_wait_ms(peer)
    if wait_ms < MIN_MOVE_WAIT_MS and peer.linked and not peer.leaving:
        return False
    return any(
        other is not peer and _is_idle(other, wait_ms) for other in others
    )


def _is_idle(peer: peer_module.Peer, wait_ms: float) -> bool:
    """Whether `peer` reports an empty queue and a much shorter wait."""
    load = peer.load
    if load is None or not load.healthy or load.queued > 0:
        return False
    return load.expected_wait_ms <= wait_ms * MAX_MOVE_WAIT_RATIO
