"""Synthetic configurations of a given size."""

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
    """Returns a typical client account, with one token and limits."""
    return model.Account(
        token_sha256=[hashlib.sha256(name.encode()).hexdigest()],
        limits=model.Limits(64, 6000, 2_000_000),
    )


def upstream(address: str, zone: str, models: list[str]) -> model.Upstream:
    """Returns a model server."""
    return model.Upstream('model', address, zone, models=models)


def configuration(
    accounts: int, upstreams: dict[str, model.Upstream]
) -> model.Configuration:
    """Returns a configuration with `accounts` accounts and these upstreams."""
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
    """Returns upstreams spread over all zones, with one model each.

    The share of a model decreases with its rank (Zipf), and each model has at
    least one upstream in each zone if there are enough upstreams.
    """
    rng = rng or random.Random(SEED)
    zones = [ZONES[number % len(ZONES)] for number in range(upstreams)]
    rng.shuffle(zones)
    return {
        f'server-{number:04d}': upstream(
            f'10.{number // 250}.{number % 250}.1:7201', zones[number], [name]
        )
        for number, name in enumerate(_assign_models(upstreams))
    }


def _assign_models(upstreams: int) -> Iterable[str]:
    weights = [1 / rank for rank in range(1, len(MODELS) + 1)]
    total = sum(weights)
    counts = [max(1, round(upstreams * each / total)) for each in weights]
    names = [
        name
        for name, count in zip(MODELS, counts, strict=True)
        for _ in range(count)
    ]
    return _fit_length(names, upstreams)


def _fit_length(names: Sequence[str], wanted: int) -> list[str]:
    """Truncates or pads the list to the wanted length after rounding."""
    return [*names, *(MODELS[0] for _ in range(wanted))][:wanted]
