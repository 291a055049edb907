"""Commands that take an engine from its reported to its wanted state."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.config import model
    from quetzalsill_sidecar.upstream import engine

__all__ = ['Command', 'commands']


@dataclasses.dataclass(slots=True, frozen=True)
class Command:
    """A command to the engine.

    Attributes:
      kind: `load_model`, `unload_model`, `load_adapter`, `unload_adapter` or
        `set_role`.
      name: Model, adapter or role.
    """

    kind: str
    name: str

    @property
    def loads(self) -> bool:
        """Whether weights are fetched from the weight store."""
        return self.kind in ('load_model', 'load_adapter')

    @property
    def unloads_model(self) -> bool:
        """Whether the engine stops serving a model."""
        return self.kind == 'unload_model'


def commands(
    wanted: model.Upstream, report: engine.EngineReport
) -> Iterator[Command]:
    """Yields the commands still needed, loads first."""
    yield from _commands_for('load_model', wanted.models, report.models)
    yield from _commands_for('load_adapter', wanted.adapters, report.adapters)
    if report.role and report.role != wanted.role:
        yield Command('set_role', wanted.role)
    yield from _commands_for('unload_adapter', report.adapters, wanted.adapters)
    yield from _commands_for('unload_model', report.models, wanted.models)


def _commands_for(
    kind: str, names: list[str], excluded: list[str]
) -> Iterator[Command]:
    for name in sorted(set(names) - set(excluded)):
        yield Command(kind, name)
