"""Made-up configurations of a given size."""

from __future__ import annotations

import hashlib
import random
from typing import TYPE_CHECKING

from quetzalsill.config import model
from quetzalsill_dev import board
from quetzalsill_dev.bench.capacity import size

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ['MODELS', 'ZONES', 'account', 'configuration', 'fleet', 'upstream']

SEED = 20240517
ZONES = tuple(f'zone-{number}' for number in range(1, size.TARGET.zones + 1))
MODELS = tuple(
    f'model-{number:02d}' for number in range(1, size.TARGET.models + 1)
)


def account(name: str) -> model.Account:
    """A client account with one token and limits, as most have."""
    return model.Account(
        token_sha256=[hashlib.sha256(name.encode()).hexdigest()],
        limits=model.Limits(64, 6000, 2_000_000),
    )


def upstream(address: str, zone: str, models: list[str]) -> model.Upstream:
    """A model server."""
    return model.Upstream('model', address, zone, models=models)


def configuration(
    accounts: int, upstreams: dict[str, model.Upstream]
) -> model.Configuration:
    """A configuration with so many accounts and these upstreams."""
    cfg = board.configuration()
    cfg.models |= {name: model.Model() for name in MODELS}
    cfg.accounts |= {
        name: account(name)
        for name in (f'studio-{number:04d}' for number in range(accounts))
    }
    cfg.upstreams = upstreams
    return cfg


def fleet(
    upstreams: int = size.TARGET.upstreams, rng: random.Random | None = None
) -> dict[str, model.Upstream]:
    """Upstreams over all zones, one model each.

    The share of a model falls with its rank (Zipf), and each model has at
    least one upstream in each zone where there are enough of them.
    """
    rng = rng or random.Random(SEED)
    zones = [ZONES[number % len(ZONES)] for number in range(upstreams)]
    rng.shuffle(zones)
    return {
        f'server-{number:04d}': upstream(
            f'10.{number // 250}.{number % 250}.1:7201', zones[number], [name]
        )
        for number, name in enumerate(_models_of(upstreams))
    }


def _models_of(upstreams: int) -> Iterable[str]:
    weights = [1 / rank for rank in range(1, len(MODELS) + 1)]
    total = sum(weights)
    counts = [max(1, round(upstreams * each / total)) for each in weights]
    names = [
        name
        for name, count in zip(MODELS, counts, strict=True)
        for _ in range(count)
    ]
    return _fill(names, upstreams)


def _fill(names: Sequence[str], wanted: int) -> list[str]:
    """Cuts off or fills up what rounding left."""
    return [*names, *(MODELS[0] for _ in range(wanted))][:wanted]
