"""Interface of the adapter between a gateway and its deployment."""

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
    """A deployment's adapter, registered as a plug-in of kind `deployment`.

    Attributes:
      dialect: Header names and their parsers.
      sources: Creates the sources of configuration and membership.
      calls: Creates the control calls to engines.
    """

    dialect: dialect.Dialect
    sources: Callable[[settings.Settings, pool.Pool], source.Sources]
    calls: Callable[[pool.Pool], dialect.EngineCalls]
