"""Declaration of typed keys of settings and configuration."""

from __future__ import annotations

import dataclasses
from typing import Any

__all__ = ['METADATA_KEY', 'NAME', 'KeySpec', 'REQUIRED', 'key']

METADATA_KEY = 'quetzalsill'
NAME = r'[a-z0-9][a-z0-9._-]{0,62}'
REQUIRED = dataclasses.MISSING


@dataclasses.dataclass(slots=True, frozen=True)
class KeySpec:
    """Metadata of a key besides its name, type and default.

    Attributes:
      doc: One-sentence description for readers of the file.
      unit: Unit of the value, such as `s` or `bytes`; empty if none.
      minimum: Smallest allowed value, inclusive; None for no bound.
      maximum: Largest allowed value, inclusive; None for no bound.
      choices: Allowed values; empty for any.
      example: Value shown by `example-settings` if there is no default.
      secret: The value is masked wherever it is printed.
      pattern: Regular expression that must match the whole string.
    """

    doc: str
    unit: str = ''
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[Any, ...] = ()
    example: Any = None
    secret: bool = False
    pattern: str = ''


def key(
    doc: str,
    default: Any = REQUIRED,
    *,
    factory: Any = REQUIRED,
    **spec: Any,
) -> Any:
    """Declares a key: a dataclass field with a `KeySpec` as metadata."""
    return dataclasses.field(
        default=default,
        default_factory=factory,
        metadata={METADATA_KEY: KeySpec(doc=doc, **spec)},
    )
