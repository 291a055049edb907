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
            role.late('quetzalsill_sidecar.run'),
        ),
        'Proxy through which one upstream is reached.',
    )
    registry.add(
        'fairness',
        'weighted',
        order_weighted.WeightedOrder,
        'Weighted fair shares of client accounts, urgent profiles first.',
    )
    registry.add(
        'fairness', 'fifo', order_fifo.FifoOrder, 'First come, first served.'
    )
    registry.add(
        'admission',
        'predicted',
        admission_predicted.admit,
        'Starts attempts that fit the predicted KV cache usage.',
    )
    registry.add(
        'admission',
        'declared',
        admission_predicted.admit_declared,
        'Starts attempts that fit if each answer reaches its token limit.',
    )
    registry.add(
        'admission',
        'admit-all',
        admission_baseline.admit_all,
        'Starts every attempt that the running limit permits.',
    )
    registry.add(
        'admission',
        'fixed-batch',
        admission_baseline.fixed_batch,
        'Runs at most a fixed number of attempts on the engine.',
    )
