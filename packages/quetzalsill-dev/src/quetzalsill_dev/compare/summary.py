"""Mean difference of paired figures, with a bootstrap interval."""

from __future__ import annotations

import dataclasses
import random
import statistics
from collections.abc import Sequence

__all__ = ['Difference', 'between']

# Bootstrap draws; enough for interval bounds to two digits.
DRAWS = 4000
# Quantiles of the draws that bound the 90 % interval.
LOW, HIGH = 0.05, 0.95
SEED = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Difference:
    """Mean difference of pairs, with its 90 % bootstrap interval."""

    mean: float
    low: float
    high: float

    @property
    def is_clear(self) -> bool:
        """Whether the interval excludes 0."""
        return self.low > 0 or self.high < 0


def between(pairs: Sequence[tuple[float, float]]) -> Difference:
    """Returns the mean difference of the second and first of each pair.

    Args:
      pairs: Figures of the baseline and of the other checkout on the same day
        and seed; at least one.
    """
    differences = [after - before for before, after in pairs]
    rng = random.Random(SEED)
    means = sorted(
        statistics.fmean(rng.choices(differences, k=len(differences)))
        for _ in range(DRAWS)
    )
    return Difference(
        statistics.fmean(differences),
        means[int(LOW * DRAWS)],
        means[int(HIGH * DRAWS)],
    )
