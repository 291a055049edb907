"""Conversion of declared dataclasses to JSON values."""

from __future__ import annotations

import dataclasses
from typing import Any

__all__ = ['to_plain']


def to_plain(obj: Any) -> Any:
    """Converts to dicts, lists and scalars; `check` is the inverse."""
    if dataclasses.is_dataclass(obj):
        return {
            field.name: to_plain(getattr(obj, field.name))
            for field in dataclasses.fields(obj)
        }
    if isinstance(obj, dict):
        return {name: to_plain(item) for name, item in obj.items()}
    if isinstance(obj, list):
        return [to_plain(item) for item in obj]
    return obj
