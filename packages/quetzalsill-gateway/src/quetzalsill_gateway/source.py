"""Where configuration and membership come from."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from quetzalsill.telemetry import log

if TYPE_CHECKING:
    from quetzalsill_gateway import routing_table, upstream

__all__ = ['Holder', 'Sources']

logger = log.get(__name__)


class Holder:
    """The routing table in force in this process.

    Attributes:
      current: The table, None before the first.
    """

    def __init__(self) -> None:
        self.current: routing_table.RoutingTable | None = None

    def install(self, table: routing_table.RoutingTable) -> bool:
        """Takes a newer table; an older one is left out.

        A source may tell a stale version after a newer one, since reads
        overtake each other and a store may be restored; going back would
        serve routes and keys that operators have withdrawn.
        """
        before = self.current
        if before is not None and table.version <= before.version:
            return False
        self.current = table
        logger.info(
            'configuration_installed',
            version=table.version,
            before=before.version if before else 0,
            hosts=len(table.routes),
            services=len(table.services),
        )
        return True


@dataclasses.dataclass(slots=True, frozen=True)
class Sources:
    """Loops that keep a gateway up to date; each runs until cancelled.

    Attributes:
      follow_configuration: Installs each new routing table.
      follow_membership: Keeps the upstreams.
      join: Enters a gateway, by name and address, in the directory of
        gateways, and returns the addresses of all that are in it.
    """

    follow_configuration: Callable[[Holder], Awaitable[None]]
    follow_membership: Callable[[upstream.Upstreams], Awaitable[None]]
    join: Callable[[str, str], Awaitable[list[str]]]
