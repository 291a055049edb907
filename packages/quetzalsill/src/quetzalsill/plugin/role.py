"""A role that `quetzalsilld` can run."""

from __future__ import annotations

import dataclasses
import importlib
from collections.abc import Awaitable, Callable
from typing import Any

__all__ = ['Role', 'run_lazily']


@dataclasses.dataclass(slots=True, frozen=True)
class Role:
    """A role, registered as plug-in of the kind `role`.

    Attributes:
      name: Subcommand of `quetzalsilld`.
      settings_class: Declared dataclass of the role's settings, with at least
        the keys `node` of `settings.section.Node` and `telemetry` of
        `settings.section.Telemetry`, from which logs and traces are set up.
      run: Runs the role with its settings; returns after a graceful stop.
      reloads: The role reads its settings again while it runs: `run` takes,
        as second argument, a function that returns the settings as they
        stand now, or raises `InvalidDocumentError`.
    """

    name: str
    settings_class: type
    run: Callable[..., Awaitable[None]]
    reloads: bool = False


def run_lazily(module: str) -> Callable[..., Awaitable[None]]:
    """Returns the `run` of a module that is loaded once it is called.

    Each process registers every role that is installed, and runs one of them.

    Args:
      module: Dotted name.
    """

    def run(*args: Any) -> Awaitable[None]:
        return importlib.import_module(module).run(*args)

    return run
