"""Output length estimates, used to reserve tokens at admission."""

from __future__ import annotations

import collections

__all__ = ['Lengths']

INITIAL_MEAN_TOKENS = 256.0
SMOOTHING = 0.05
MAX_KEYS = 4096


class Lengths:
    """Moving average of output lengths by model and profile."""

    def __init__(self) -> None:
        self._means: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def observe(self, model: str, profile: str, tokens: int) -> None:
        """Records an answer of `tokens` tokens."""
        key = (model, profile)
        mean = self._means.get(key, INITIAL_MEAN_TOKENS)
        self._means[key] = mean + SMOOTHING * (tokens - mean)
        self._means.move_to_end(key)
        if len(self._means) > MAX_KEYS:
            self._means.popitem(last=False)

    def estimate(self, model: str, profile: str, max_tokens: int) -> int:
        """Returns the expected length of an answer in tokens."""
        mean = self._means.get((model, profile), INITIAL_MEAN_TOKENS)
        return max(1, min(max_tokens, round(mean)))
