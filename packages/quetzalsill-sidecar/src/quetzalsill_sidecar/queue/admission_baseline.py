"""Baseline admission policies, for comparison."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_sidecar.queue import policy

__all__ = ['BATCH_SIZE', 'admit_all', 'fixed_batch']

BATCH_SIZE = 16


def admit_all(state: policy.EngineState, demand: policy.Demand) -> bool:
    """Starts up to `max_running` attempts; the engine queues and preempts."""
    del demand
    return len(state.running) < state.max_running


def fixed_batch(state: policy.EngineState, demand: policy.Demand) -> bool:
    """Runs at most `BATCH_SIZE` attempts on the engine."""
    del demand
    return len(state.running) < min(BATCH_SIZE, state.max_running)
