"""Orders that load and unload models and adapters or set the role."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from quetzalsill_dev.engine_standin import switches

__all__ = ['KINDS', 'Order', 'Orders', 'StaleFenceError']

KINDS = (
    'load_model',
    'unload_model',
    'load_adapter',
    'unload_adapter',
    'set_role',
)


class StaleFenceError(Exception):
    """The fencing token of the order is lower than that of an earlier one."""


@dataclasses.dataclass(slots=True)
class Order:
    """A received order."""

    kind: str
    name: str
    fence: int


class Orders:
    """Executes orders sequentially.

    Attributes:
      models: Loaded models.
      adapters: Loaded adapters.
      role: Current role.
      fence: Highest accepted fencing token; 0 if they are ignored.
      history: All orders, with the time and whether they were completed.
    """

    def __init__(
        self, models: list[str], checks_fence: bool, switch: switches.Switches
    ) -> None:
        self.models = set(models)
        self.adapters: set[str] = set()
        self.role = 'mixed'
        self.fence = 0
        self.history: list[dict[str, Any]] = []
        self._checks_fence = checks_fence
        self._switch = switch
        self._lock = asyncio.Lock()

    async def carry_out(self, order: Order) -> None:
        """Executes an order, which takes the time set by `order_s`.

        Raises:
          StaleFenceError: Fencing tokens are checked and this one is stale.
        """
        async with self._lock:
            stale = self._checks_fence and order.fence < self.fence
            self.history.append(
                dataclasses.asdict(order) | {'at': time.time(), 'done': False}
            )
            if stale:
                raise StaleFenceError(f'{order.fence} is below {self.fence}')
            if self._checks_fence:
                self.fence = order.fence
            entry = self.history[-1]
            await asyncio.sleep(self._switch.order_s)
            self._apply(order)
            entry['done'] = True

    def _apply(self, order: Order) -> None:
        if order.kind == 'set_role':
            self.role = order.name
            return
        loaded = self.models if order.kind.endswith('model') else self.adapters
        if order.kind.startswith('load'):
            loaded.add(order.name)
        else:
            loaded.discard(order.name)
