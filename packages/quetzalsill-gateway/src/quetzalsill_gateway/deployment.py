"""What an adapter brings so that a gateway can serve a deployment."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway import dialect, settings, source
    from quetzalsill_gateway.http import pool

__all__ = ['Deployment']


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """An adapter, registered as plug-in of the kind `deployment`.

    Attributes:
      dialect: Names of headers.
      sources: Makes the loops that follow configuration and membership.
      calls: Makes the orders to engines.
    """

    dialect: dialect.Dialect
    sources: Callable[[settings.Settings, pool.Pool], source.Sources]
    calls: Callable[[pool.Pool], dialect.EngineCalls]
