"""Checks a whole configuration document before it is accepted."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import TYPE_CHECKING

from quetzalsill.config import document, reference
from quetzalsill.schema import error as schema_error
from quetzalsill_router.admin import error

if TYPE_CHECKING:
    from quetzalsill_router.admin import change

__all__ = ['checked', 'faults']


def faults(exc: schema_error.InvalidDocumentError) -> Iterator[error.Fault]:
    """Yields every fault that a failed check found."""
    for inner in exc.exceptions:
        if isinstance(inner, schema_error.InvalidDocumentError):
            yield from faults(inner)
        else:
            yield error.Fault(
                str(inner.path), str(inner.found), str(inner.allowed)
            )


def checked(plain: change.Plain, revision: int) -> bytes:
    """Checks keys, types, ranges and references; renders the document.

    Raises:
      InvalidConfigurationError: With every fault that was found.
    """
    try:
        cfg = document.parse(json.dumps(plain).encode(), revision)
        reference.check_references(cfg)
        return document.render(cfg)
    except schema_error.InvalidDocumentError as exc:
        raise error.InvalidConfigurationError(list(faults(exc))) from exc
