"""Baseline admission policies, to compare with."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_sidecar.queue import policy

__all__ = ['BATCH', 'admit_all', 'fixed_batch']

BATCH = 16


def admit_all(view: policy.EngineState, demand: policy.Demand) -> bool:
    """Starts whatever comes; the engine queues and preempts."""
    del demand
    return len(view.running) < view.max_running


def fixed_batch(view: policy.EngineState, demand: policy.Demand) -> bool:
    """Keeps a fixed number of attempts on the engine."""
    del demand
    return len(view.running) < min(BATCH, view.max_running)
