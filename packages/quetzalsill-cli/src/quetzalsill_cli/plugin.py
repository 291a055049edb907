"""Registers the command groups that ship with the command line."""

from __future__ import annotations

from typing import Any

__all__ = ['register']


def register(registry: Any) -> None:
    """Adds each command group under the kind `command`."""
