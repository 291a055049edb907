"""Validates a complete configuration document before it is accepted."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import TYPE_CHECKING

from quetzalsill.config import document, reference
from quetzalsill.schema import error as schema_error
from quetzalsill_router.admin import error

if TYPE_CHECKING:
    from quetzalsill_router.admin import change

__all__ = ['collect_faults', 'validate']


def collect_faults(
    exc: schema_error.InvalidDocumentError,
) -> Iterator[error.Fault]:
    """Yields every fault of a nested validation error."""
    for nested in exc.exceptions:
        if isinstance(nested, schema_error.InvalidDocumentError):
            yield from collect_faults(nested)
        else:
            yield error.Fault(
                str(nested.path), str(nested.found), str(nested.allowed)
            )


def validate(data: change.JsonObject, revision: int) -> bytes:
    """Checks keys, types, ranges and references; renders the document.

    Raises:
      InvalidConfigurationError: The document is invalid; lists every fault.
    """
    try:
        config = document.parse(json.dumps(data).encode(), revision)
        reference.check_references(config)
        return document.render(config)
    except schema_error.InvalidDocumentError as exc:
        raise error.InvalidConfigurationError(
            list(collect_faults(exc))
        ) from exc
