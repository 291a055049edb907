"""Observed output lengths, to reserve tokens up front."""

from __future__ import annotations

import collections

__all__ = ['Lengths']

INITIAL_MEAN_TOKENS = 256.0
SMOOTHING = 0.05
MAX_KEYS = 4096


class Lengths:
    """Moving mean of output lengths by model and profile."""

    def __init__(self) -> None:
        self._means: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def observe(self, model: str, profile: str, tokens: int) -> None:
        """Counts an answer of `tokens` tokens."""
        kind = (model, profile)
        mean = self._means.get(kind, INITIAL_MEAN_TOKENS)
        self._means[kind] = mean + SMOOTHING * (tokens - mean)
        self._means.move_to_end(kind)
        if len(self._means) > MAX_KEYS:
            self._means.popitem(last=False)

    def estimate(self, model: str, profile: str, max_tokens: int) -> int:
        """Returns the tokens that an answer will probably have."""
        mean = self._means.get((model, profile), INITIAL_MEAN_TOKENS)
        return max(1, min(max_tokens, round(mean)))
