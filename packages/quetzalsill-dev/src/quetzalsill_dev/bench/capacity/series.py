"""A figure measured at several sizes, with its linear regression."""

from __future__ import annotations

import dataclasses
import statistics

__all__ = ['Series']


@dataclasses.dataclass(slots=True)
class Series:
    """One figure as a function of one size.

    Attributes:
      name: Name of the figure, unique in a run.
      unit: Unit of the figure.
      by: Unit of the size.
      linear: Whether a linear regression is meaningful.
      points: Pairs of size and value.
    """

    name: str
    unit: str
    by: str
    linear: bool = True
    points: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def add(self, size: float, value: float) -> None:
        """Adds a measured point."""
        self.points.append((size, value))

    @property
    def slope(self) -> float:
        """Increase per unit of size; 0 for a single size."""
        return self._fit_line()[0]

    @property
    def base(self) -> float:
        """Value at size 0 by linear regression."""
        return self._fit_line()[1]

    def at(self, size: float) -> float:
        """Returns the value at a size by linear regression."""
        slope, base = self._fit_line()
        return base + slope * size

    def _fit_line(self) -> tuple[float, float]:
        sizes, values = zip(*self.points, strict=True)
        if len(set(sizes)) == 1:
            return 0.0, statistics.fmean(values)
        return statistics.linear_regression(sizes, values)
