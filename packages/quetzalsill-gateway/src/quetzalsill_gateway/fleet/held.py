"""What the generations of one gateway hold and wait for."""

from __future__ import annotations

import dataclasses

__all__ = ['NOTHING', 'Held', 'Waiting']

# Tokens that wait for engines, by service and rank.
Waiting = dict[str, dict[int, int]]


@dataclasses.dataclass(slots=True, frozen=True)
class Held:
    """What the generations of one gateway hold at one engine.

    Attributes:
      memory_tokens: Memory that they are expected to need at their ends.
      reading_tokens: Prompt tokens that are not read yet.
      runs: How many they are.
      copied_tokens: Memory that backups are expected to need.
      failures: Failures of its calls of late.
    """

    memory_tokens: int
    reading_tokens: int
    runs: int
    copied_tokens: int = 0
    failures: float = 0.0


NOTHING = Held(0, 0, 0)
