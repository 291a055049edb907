"""Baseline admission policies, to compare with."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_sidecar.queue import policy

__all__ = ['BATCH_SIZE', 'admit_all', 'fixed_batch']

BATCH_SIZE = 16


def admit_all(state: policy.EngineState, demand: policy.Demand) -> bool:
    """Starts whatever comes; the engine queues and preempts."""
    del demand
    return len(state.running) < state.max_running


def fixed_batch(state: policy.EngineState, demand: policy.Demand) -> bool:
    """Keeps a fixed number of attempts on the engine."""
    del demand
    return len(state.running) < min(BATCH_SIZE, state.max_running)
