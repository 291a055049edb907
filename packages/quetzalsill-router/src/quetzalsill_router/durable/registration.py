"""A router's row in the platform, and what it sees of the others."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.platform import table as platform_table
    from quetzalsill_router.durable import setting

__all__ = ['Registration', 'Router']


@dataclasses.dataclass(slots=True)
class Router:
    """A router as its row shows it.

    Attributes:
      node: Name of the router.
      incarnation: Grows with each start of the router.
      address: IP:PORT of its HTTP listener.
      availability_zone: Availability zone of its entry host.
      revision: Configuration in force there.
      ttl_s: Time without renewal after which it counts as dead.
    """

    node: str
    incarnation: int
    address: str
    availability_zone: str
    revision: int
    ttl_s: float


class Registration:
    """Renews this router's row and watches those of the others."""

    def __init__(
        self,
        table: platform_table.Table,
        router: Router,
        cfg: setting.Durable,
    ) -> None:
        self._table = table
        self.router = router
        self._cfg = cfg

    def live_routers(self) -> list[Router]:
        """Gives the routers seen alive, this one included."""
        raise NotImplementedError

    async def run(self) -> None:
        """Renews and watches until cancelled."""
        raise NotImplementedError

    async def release(self) -> None:
        """Removes the row at a graceful stop."""
        raise NotImplementedError
