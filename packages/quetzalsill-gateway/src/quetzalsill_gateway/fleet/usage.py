"""Engine capacity that the generations of one gateway use or wait for."""

from __future__ import annotations

import dataclasses

__all__ = ['NO_USAGE', 'Usage', 'WaitingTokens']

# Tokens of requests that wait for an engine, by service and rank.
WaitingTokens = dict[str, dict[int, int]]


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """What the generations of one gateway use at one engine.

    Attributes:
      memory_tokens: Memory that they are expected to need when they end.
      prefill_tokens: Prompt tokens that are not processed yet.
      runs: Number of generations.
      backup_tokens: Memory that their backups are expected to need.
      failures: Recent failures of calls to the engine.
    """

    memory_tokens: int
    prefill_tokens: int
    runs: int
    backup_tokens: int = 0
    failures: float = 0.0


NO_USAGE = Usage(0, 0, 0)
