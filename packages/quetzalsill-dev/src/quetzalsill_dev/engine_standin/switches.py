"""Switches for faults of the engine stand-in."""

from __future__ import annotations

import dataclasses
from typing import Any

__all__ = ['Switches', 'UnknownSwitchError']


class UnknownSwitchError(ValueError):
    """The switch doesn't exist, or the value has the wrong type."""


@dataclasses.dataclass(slots=True)
class Switches:
    """Switches, which `POST /stand-in` can set at any time.

    Attributes:
      leaving: The engine reports that it is leaving; it still accepts work.
      slow: Factor for the duration of each step.
      stall: Work is accepted but no step is executed.
      lag_s: Age of the load report, in seconds.
      cache_lag_s: Age at which cache events are published, in seconds.
      cache_gap: One of this number of cache events is lost; 0 for none.
      order_s: Duration of an order, in seconds.
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
          UnknownSwitchError: A switch doesn't exist or a value has the wrong
            type; no switch was set.
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
