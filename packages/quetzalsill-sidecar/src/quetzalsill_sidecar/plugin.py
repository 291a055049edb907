"""Registers the sidecar's role and queue policies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.plugin import role
from quetzalsill_sidecar import settings
from quetzalsill_sidecar.queue import (
    admission_baseline,
    admission_predicted,
    order_fifo,
    order_weighted,
)

if TYPE_CHECKING:
    from quetzalsill.plugin import registry as registry_lib

__all__ = ['register']


def register(registry: registry_lib.Registry) -> None:
    """Adds the role `sidecar` and the policies of its queue."""
    registry.add(
        'role',
        'sidecar',
        role.Role(
            'sidecar',
            settings.SidecarSettings,
            role.run_lazily('quetzalsill_sidecar.run'),
        ),
        'The only path to one upstream.',
    )
    registry.add(
        'fairness',
        'weighted',
        order_weighted.WeightedOrder,
        'Fair shares of client accounts by weight, prompt profiles first.',
    )
    registry.add(
        'fairness', 'fifo', order_fifo.FifoOrder, 'First come, first served.'
    )
    registry.add(
        'admission',
        'predicted',
        admission_predicted.admit,
        'Starts what fits the predicted key-value memory.',
    )
    registry.add(
        'admission',
        'declared',
        admission_predicted.admit_declared,
        'Starts what fits if every answer is as long as its bound.',
    )
    registry.add(
        'admission',
        'admit-all',
        admission_baseline.admit_all,
        'Starts whatever comes.',
    )
    registry.add(
        'admission',
        'fixed-batch',
        admission_baseline.fixed_batch,
        'Keeps a fixed number of attempts on the engine.',
    )
