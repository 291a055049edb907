"""Opens values in the operator's text editor."""

from __future__ import annotations

import json
from typing import Any

import click

from quetzalsill.schema import error as schema_error
from quetzalsill.schema import load
from quetzalsill_cli import failure

__all__ = ['edit_values']


def edit_values(title: str, values: dict[str, Any]) -> dict[str, Any] | None:
    """Opens $EDITOR with the values as commented JSON.

    Returns:
      The changed values; None if the text was not changed.

    Raises:
      InvalidDocumentError: The saved text is not a JSON object.
    """
    text = f'// {title}\n{json.dumps(values, indent=2)}\n'
    edited = click.edit(text, extension='.json5')
    if edited is None or edited == text:
        return None
    try:
        changed = load.parse_text(edited, title)
    except schema_error.InvalidDocumentError as exc:
        raise failure.InvalidDocumentError('\n'.join(exc.lines())) from exc
    if not isinstance(changed, dict):
        raise failure.InvalidDocumentError(f'{title}: not a JSON object')
    return changed
