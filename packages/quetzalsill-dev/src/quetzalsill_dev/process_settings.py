"""Settings files of routers and sidecars that the launcher starts."""

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
    """Settings of a router."""
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
    """Settings of the sidecar beside an upstream."""
    return {
        'node': {'name': name, 'availability_zone': availability_zone},
        'listen': {'host': '127.0.0.1', 'port': port},
        'platform': platform,
        'credential': CREDENTIAL,
        'upstream': {'name': name, 'url': upstream_url, 'kind': kind},
    }


def merge(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Returns `base` with the keys of `changes`, section by section."""
    merged = dict(base)
    for name, value in changes.items():
        before = merged.get(name)
        nested = isinstance(before, dict) and isinstance(value, dict)
        merged[name] = merge(before, value) if nested else value
    return merged


def write(path: pathlib.Path, settings: dict[str, Any]) -> None:
    """Writes a settings file."""
    path.write_text(json.dumps(settings, indent=2))
