"""A measured figure at several sizes, and the line through it."""

from __future__ import annotations

import dataclasses
import statistics

__all__ = ['Series']


@dataclasses.dataclass(slots=True)
class Series:
    """One figure over one size.

    Attributes:
      name: Name of the figure, unique in a run.
      unit: Unit of the figure.
      by: What the size counts.
      linear: Whether a line through the points means anything.
      points: Pairs of size and figure.
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
        """Figure for each further unit of size; 0 for a single size."""
        return self._line()[0]

    @property
    def base(self) -> float:
        """Figure at size 0 after the line."""
        return self._line()[1]

    def at(self, size: float) -> float:
        """Figure at a size after the line."""
        slope, base = self._line()
        return base + slope * size

    def _line(self) -> tuple[float, float]:
        sizes, values = zip(*self.points, strict=True)
        if len(set(sizes)) == 1:
            return 0.0, statistics.fmean(values)
        return statistics.linear_regression(sizes, values)
