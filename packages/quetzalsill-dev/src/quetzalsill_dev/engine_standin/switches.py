"""Switches by which a test makes the engine stand-in misbehave."""

from __future__ import annotations

import dataclasses
from typing import Any

__all__ = ['Switches', 'UnknownSwitchError']


class UnknownSwitchError(ValueError):
    """No such switch, or a value of another type."""


@dataclasses.dataclass(slots=True)
class Switches:
    """Each can be set at any time by `POST /stand-in`.

    Attributes:
      leaving: The engine says that it is leaving; it still takes work.
      slow: Factor on the time of each step.
      stall: Work is taken but no step is made.
      lag_s: Age of the load report.
      cache_lag_s: Age at which cache events are published.
      cache_gap: Every so many cache events one is lost; 0 for none.
      order_s: Time that an order takes.
    """

    leaving: bool = False
    slow: float = 1.0
    stall: bool = False
    lag_s: float = 0.2
    cache_lag_s: float = 0.2
    cache_gap: int = 0
    order_s: float = 0.05

    def update(self, values: dict[str, Any]) -> None:
        """Sets switches by name.

        Raises:
          UnknownSwitchError: A name or a value's type does not fit; nothing
            was set.
        """
        checked = {name: self._check(name, v) for name, v in values.items()}
        for name, value in checked.items():
            setattr(self, name, value)

    def _check(self, name: str, value: Any) -> Any:
        if name not in self.__dataclass_fields__:
            raise UnknownSwitchError(f'no switch {name!r}')
        wanted = type(getattr(self, name))
        if wanted is float and type(value) is int:
            return float(value)
        if type(value) is not wanted:
            raise UnknownSwitchError(f'{name} is not {wanted.__name__}')
        return value
