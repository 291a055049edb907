"""A role that `quetzalsilld` can run."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

__all__ = ['Role']


@dataclasses.dataclass(slots=True, frozen=True)
class Role:
    """A role, registered as plug-in of the kind `role`.

    Attributes:
      name: Subcommand of `quetzalsilld`.
      settings_class: Declared dataclass of the role's settings. If it has
        a key `node` of `settings.section.Node` or `telemetry` of
        `settings.section.Telemetry`, logs and traces are set up from them.
      run: Runs the role with its settings; returns after a graceful stop.
    """

    name: str
    settings_class: type
    run: Callable[[Any], Awaitable[None]]
