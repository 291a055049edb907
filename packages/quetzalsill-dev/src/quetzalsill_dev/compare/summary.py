"""What two ways differ by, with how sure that is."""

from __future__ import annotations

import dataclasses
import random
import statistics
from collections.abc import Sequence

__all__ = ['Difference', 'between']

# Draws of a bootstrap; its bounds are then good to two digits.
DRAWS = 4000
# Bounds of the middle nine tenths of the draws.
LOW, HIGH = 0.05, 0.95
SEED = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Difference:
    """Mean difference of pairs, and where it lies in nine cases of ten."""

    mean: float
    low: float
    high: float

    @property
    def is_clear(self) -> bool:
        """Whether the whole interval lies on one side of nothing."""
        return self.low > 0 or self.high < 0


def between(pairs: Sequence[tuple[float, float]]) -> Difference:
    """Returns by how much the second of each pair is above the first.

    Args:
      pairs: Figures of the standing and of the other way on the same day and
        seed; one at least.
    """
    found = [after - before for before, after in pairs]
    rng = random.Random(SEED)
    means = sorted(
        statistics.fmean(rng.choices(found, k=len(found))) for _ in range(DRAWS)
    )
    return Difference(
        statistics.fmean(found),
        means[int(LOW * DRAWS)],
        means[int(HIGH * DRAWS)],
    )
