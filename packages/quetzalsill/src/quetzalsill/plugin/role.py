"""A role that `quetzalsilld` can run."""

from __future__ import annotations

import dataclasses
import importlib
from collections.abc import Awaitable, Callable
from typing import Any

__all__ = ['Role', 'run_lazily']


@dataclasses.dataclass(slots=True, frozen=True)
class Role:
    """A role, registered as a plug-in of the kind `role`.

    Attributes:
      name: Subcommand of `quetzalsilld`.
      settings_class: Dataclass that declares the role's settings, with at
        least the keys `node` of `settings.section.Node` and `telemetry` of
        `settings.section.Telemetry`, which configure logs and traces.
      run: Runs the role with its settings; returns after a graceful stop.
      reloads: The role reloads its settings while it runs: `run` takes as
        second argument a function that reads the current settings or raises
        `InvalidDocumentError`.
    """

    name: str
    settings_class: type
    run: Callable[..., Awaitable[None]]
    reloads: bool = False


def run_lazily(module: str) -> Callable[..., Awaitable[None]]:
    """Returns a function that imports a module and calls its `run`.

    Each process registers all installed roles but runs only one of them.

    Args:
      module: Dotted name of the module.
    """

    def run(*args: Any) -> Awaitable[None]:
        return importlib.import_module(module).run(*args)

    return run
