"""Routes to the lowest expected wait among a sample of candidates."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from quetzalsill_router.routing import affinity as affinity_module
from quetzalsill_router.routing import query as routing_query

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalsill.wire import message
    from quetzalsill_router.peer import peer as peer_module

__all__ = ['expected_wait']

SAMPLE_SIZE = 4
OTHER_ZONE_PENALTY_MS = 5.0
UNKNOWN_LOAD_WAIT_MS = 50.0
UNHEALTHY_PENALTY_MS = 60_000.0
MODEL_LOAD_PENALTY_MS = 30_000.0
FULL_KV_CACHE_PENALTY_MS = 400.0
MIN_ATTEMPT_COST_MS = 5.0
PREFILL_MS_PER_TOKEN = 0.2
MAX_AFFINITY_BONUS_MS = 500.0


@dataclasses.dataclass(slots=True)
class _SentSinceReport:
    """Attempts this router sent to a peer since its latest load report."""

    load: message.Load | None
    count: int = 0


def expected_wait(rng: random.Random | None = None) -> routing_query.Policy:
    """Makes the policy, whose state covers only this router's attempts.

    Args:
      rng: Random generator for samples; a new one if None.
    """
    rng = rng or random.Random()
    affinity = affinity_module.Affinity()
    sent_since_report: dict[str, _SentSinceReport] = {}

    def since_report(peer: peer_module.Peer) -> _SentSinceReport:
        recent = sent_since_report.get(peer.upstream)
        if recent is None or recent.load is not peer.load:
            recent = sent_since_report[peer.upstream] = _SentSinceReport(
                peer.load
            )
        return recent

    def cost_ms(query: routing_query.Query, peer: peer_module.Peer) -> float:
        cost = _reported_cost_ms(query, peer.load)
        cost += since_report(peer).count * _attempt_cost_ms(peer.load)
        if peer.availability_zone != query.availability_zone:
            cost += OTHER_ZONE_PENALTY_MS
        saved = min(
            MAX_AFFINITY_BONUS_MS, query.prompt_tokens * PREFILL_MS_PER_TOKEN
        )
        return cost - saved * affinity.cache_likelihood(
            query.prefix, peer.upstream
        )

    def choose(
        query: routing_query.Query, candidates: Sequence[peer_module.Peer]
    ) -> peer_module.Peer | None:
        if not candidates:
            return None
        sampled = _sample(rng, candidates, affinity.upstreams_of(query.prefix))
        best = min(sampled, key=lambda peer: cost_ms(query, peer))
        since_report(best).count += 1
        affinity.record(query.prefix, best.upstream)
        return best

    return choose


def _sample(
    rng: random.Random,
    candidates: Sequence[peer_module.Peer],
    cache_holders: Sequence[str],
) -> list[peer_module.Peer]:
    """Returns a random sample, plus candidates that may cache the prefix.

    Load reports lag. If every router compared all peers, all of them would
    pick the one that was last reported idle; sampling spreads the load.
    """
    if len(candidates) <= SAMPLE_SIZE:
        sampled = list(candidates)
        rng.shuffle(sampled)
        return sampled
    sampled = rng.sample(candidates, SAMPLE_SIZE)
    sampled += [
        peer
        for peer in candidates
        if peer.upstream in cache_holders and peer not in sampled
    ]
    return sampled


def _reported_cost_ms(
    query: routing_query.Query, load: message.Load | None
) -> float:
    """Returns a peer's cost in milliseconds by its latest load report."""
    if load is None:
        return UNKNOWN_LOAD_WAIT_MS
    cost = float(load.expected_wait_ms)
    if not load.healthy:
        cost += UNHEALTHY_PENALTY_MS
    if not query.is_call and query.target not in load.models:
        cost += MODEL_LOAD_PENALTY_MS
    if load.capacity_tokens > 0:
        used = load.used_tokens / load.capacity_tokens
        cost += FULL_KV_CACHE_PENALTY_MS * used * used
    return cost + load.running * max(0.0, load.token_ms) * 0.1


def _attempt_cost_ms(load: message.Load | None) -> float:
    """Returns the wait in milliseconds that one more attempt adds."""
    if load is None:
        return UNKNOWN_LOAD_WAIT_MS
    return max(MIN_ATTEMPT_COST_MS, load.token_ms) + load.expected_wait_ms / (
        load.queued + 1
    )
