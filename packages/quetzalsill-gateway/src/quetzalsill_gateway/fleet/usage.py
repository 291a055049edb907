"""What the generations of one gateway hold and wait for."""

from __future__ import annotations

import dataclasses

__all__ = ['NO_USAGE', 'Usage', 'WaitingTokens']

# Tokens that wait for engines, by service and rank.
WaitingTokens = dict[str, dict[int, int]]


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """What the generations of one gateway hold at one engine.

    Attributes:
      memory_tokens: Memory that they are expected to need at their ends.
      prefill_tokens: Prompt tokens that are not read yet.
      runs: How many they are.
      backup_tokens: Memory that backups are expected to need.
      failures: Failures of its calls of late.
    """

    memory_tokens: int
    prefill_tokens: int
    runs: int
    backup_tokens: int = 0
    failures: float = 0.0


NO_USAGE = Usage(0, 0, 0)
