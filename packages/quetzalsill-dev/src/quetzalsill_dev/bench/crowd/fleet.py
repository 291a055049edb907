"""Fleet of the benchmark and its configuration for each contender."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

from quetzalsill.config import model
from quetzalsill_dev import board, layout

if TYPE_CHECKING:
    from quetzalsill_dev.bench.crowd import mix

__all__ = ['CONTENDERS', 'Contender', 'configuration', 'fleet', 'token_of']

CAPACITY_TOKENS = 4000
MAX_BATCH = 64
TOKEN_S = 0.03
MODEL = board.MODEL
MEDIAN_QUANTILES = (('prompt', 0.5), ('verdict', 0.5), ('patient', 0.5))
LOW_QUANTILES = (('prompt', 0.5), ('verdict', 0.5), ('patient', 0.3))


@dataclasses.dataclass(slots=True, frozen=True)
class Contender:
    """A set of policies to compare.

    Attributes:
      name: Name in the results.
      routing: Routing plug-in.
      admission: Admission plug-in.
      fairness: Fairness plug-in.
      headroom: Minimum fraction of memory reserved for latency-sensitive work.
      quantiles: Quantile of the answer length that is reserved, by profile.
      knows_lengths: Callers declare the true length of each answer, which no
        real caller can. Gives the upper bound for any scheduler.
    """

    name: str
    routing: str
    admission: str
    fairness: str
    headroom: float = 0.02
    quantiles: tuple[tuple[str, float], ...] = MEDIAN_QUANTILES
    knows_lengths: bool = False


BASELINES = (
    Contender('rotate', 'rotate', 'admit-all', 'fifo'),
    Contender('fewest', 'fewest-outstanding', 'admit-all', 'fifo'),
)
OURS = Contender('ours', 'expected-wait', 'predicted', 'weighted')
BOLD_OURS = dataclasses.replace(OURS, name='bold', quantiles=LOW_QUANTILES)
ORACLE = dataclasses.replace(
    OURS, name='oracle', admission='declared', knows_lengths=True
)
CONTENDERS = {
    contender.name: contender
    for contender in (*BASELINES, OURS, BOLD_OURS, ORACLE)
}


def fleet(engines: int, routers: int) -> layout.Layout:
    """Returns engines spread over the availability zones, with one model."""
    spec = board.board_layout(engines, 0, routers)
    for engine in spec.engines:
        engine.capacity_tokens = CAPACITY_TOKENS
        engine.max_batch = MAX_BATCH
        engine.token_s = TOKEN_S
    return spec


def configuration(
    traffic: mix.Mix, contender: Contender
) -> model.Configuration:
    """Returns a configuration with the policies of a contender."""
    cfg = board.configuration()
    cfg.profiles = _profiles()
    cfg.accounts = {
        name: model.Account(
            token_sha256=[hashlib.sha256(token_of(name).encode()).hexdigest()]
        )
        for name in traffic.accounts
    }
    cfg.policies.routing = contender.routing
    cfg.policies.admission = contender.admission
    cfg.policies.fairness = contender.fairness
    cfg.policies.headroom = contender.headroom
    for name, quantile in contender.quantiles:
        cfg.profiles[name].memory_quantile = quantile
    return cfg


def token_of(account: str) -> str:
    """Returns the bearer token of a client account."""
    return f'{account}-token-of-bench'


def _profiles() -> dict[str, model.Profile]:
    profiles = board.configuration().profiles
    for profile in profiles.values():
        profile.deadline_s = 300.0
    return profiles
