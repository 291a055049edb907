"""Settings files for the routers and sidecars that the launcher starts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import pathlib

__all__ = ['CREDENTIAL', 'merge', 'router', 'sidecar', 'write']

CREDENTIAL = 'sidecar-credential-of-tests'


def router(
    name: str, availability_zone: str, port: int, platform: dict[str, Any]
) -> dict[str, Any]:
    """Returns the settings of a router."""
    return {
        'node': {'name': name, 'availability_zone': availability_zone},
        'listen': {'host': '127.0.0.1', 'port': port},
        'platform': platform,
        'credential': CREDENTIAL,
        'stop': {'drain_delay_s': 0.2},
    }


def sidecar(
    name: str,
    availability_zone: str,
    port: int,
    platform: dict[str, Any],
    upstream_url: str,
    kind: str,
) -> dict[str, Any]:
    """Returns the settings of the sidecar of an upstream."""
    return {
        'node': {'name': name, 'availability_zone': availability_zone},
        'listen': {'host': '127.0.0.1', 'port': port},
        'platform': platform,
        'credential': CREDENTIAL,
        'upstream': {'name': name, 'url': upstream_url, 'kind': kind},
    }


def merge(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Merges `changes` into a copy of `base` recursively, by section."""
    merged = dict(base)
    for name, value in changes.items():
        current = merged.get(name)
        nested = isinstance(current, dict) and isinstance(value, dict)
        merged[name] = merge(current, value) if nested else value
    return merged


def write(path: pathlib.Path, settings: dict[str, Any]) -> None:
    """Writes settings to a JSON file."""
    path.write_text(json.dumps(settings, indent=2))
