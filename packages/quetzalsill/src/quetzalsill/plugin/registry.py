"""Registry of plug-ins by kind and name."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from quetzalsill.plugin import error

if TYPE_CHECKING:
    import importlib.metadata
    from collections.abc import Callable

__all__ = ['GROUP', 'KINDS', 'REGISTRY', 'Plugin', 'Registry']

GROUP = 'quetzalsill.plugins'
KINDS = (
    'role',
    'routing',
    'admission',
    'fairness',
    'limits',
    'command',
    'deployment',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Plugin:
    """One registered plug-in.

    Attributes:
      kind: One of `KINDS`.
      name: Name that selects it in configuration and command line.
      value: Object that the kind requires: a function or a `Role`.
      doc: One-sentence description for operators.
    """

    kind: str
    name: str
    value: Any
    doc: str


class Registry:
    """Maps kind and name to plug-ins."""

    def __init__(self) -> None:
        self._plugins: dict[tuple[str, str], Plugin] = {}
        self._loaded = False

    def add(self, kind: str, name: str, value: Any, doc: str) -> None:
        """Registers a plug-in.

        Raises:
          UnknownPluginError: If the kind does not exist.
          DuplicatePluginError: If the kind already has this name.
        """
        if kind not in KINDS:
            raise error.UnknownPluginError(
                f'there is no kind {kind!r} of plug-in: {", ".join(KINDS)}'
            )
        if (kind, name) in self._plugins:
            raise error.DuplicatePluginError(
                f'the {kind} plug-in {name!r} is registered twice'
            )
        self._plugins[kind, name] = Plugin(kind, name, value, doc)

    def get(self, kind: str, name: str) -> Any:
        """Returns the value of a plug-in.

        Raises:
          UnknownPluginError: If it does not exist; the message lists the
            known names.
        """
        found = self._plugins.get((kind, name))
        if found is None:
            known = ', '.join(self.names(kind)) or 'none'
            raise error.UnknownPluginError(
                f'there is no {kind} plug-in {name!r}; known: {known}'
            )
        return found.value

    def names(self, kind: str) -> list[str]:
        """Returns the sorted names of the plug-ins of a kind."""
        return sorted(
            name for plugin_kind, name in self._plugins if plugin_kind == kind
        )

    def plugins(self, kind: str) -> list[Plugin]:
        """Returns the plug-ins of a kind, sorted by name."""
        return [self._plugins[kind, name] for name in self.names(kind)]

    def load(self) -> None:
        """Registers all installed plug-ins; does nothing if called again.

        Raises:
          PluginLoadError: If one cannot be imported or has no `register`.
        """
        if self._loaded:
            return
        # Slow to import, and not needed where `load_only` is used.
        import importlib.metadata

        for entry in importlib.metadata.entry_points(group=GROUP):
            self._load_entry(entry)
        self._loaded = True

    def load_only(self, *registers: Callable[[Registry], None]) -> None:
        """Registers only these plug-ins instead of the installed ones.

        For programs with a fixed set of plug-ins: discovery reads the metadata
        of every installed package.
        """
        for register in registers:
            register(self)
        self._loaded = True

    def _load_entry(self, entry: importlib.metadata.EntryPoint) -> None:
        try:
            register = entry.load().register
        except (ImportError, AttributeError) as exc:
            raise error.PluginLoadError(
                f'the plug-in {entry.name!r} ({entry.value}) does not load: '
                f'{exc}'
            ) from exc
        register(self)


REGISTRY = Registry()
