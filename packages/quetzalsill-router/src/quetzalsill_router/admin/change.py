"""Changes of the configuration document as JSON data.

A change is a function that takes the document of the expected revision and
returns the new document. It is applied to a copy, and the result is validated.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from quetzalsill.error import request as request_error

__all__ = [
    'Change',
    'JsonObject',
    'put_entry',
    'put_limits',
    'put_policies',
    'remove_entry',
    'replace_document',
    'set_draining',
]

JsonObject = dict[str, Any]
Change = Callable[[JsonObject], JsonObject]


def _existing_entry(config: JsonObject, section: str, name: str) -> JsonObject:
    entries = config.get(section, {})
    if name not in entries:
        raise request_error.NotFoundError(f'no {section}.{name}')
    return entries[name]


def replace_document(document: JsonObject) -> Change:
    """Replaces the complete document."""
    return lambda _: document


def put_entry(section: str, name: str, value: JsonObject) -> Change:
    """Adds or replaces one entry of a section such as `profiles`."""

    def apply(config: JsonObject) -> JsonObject:
        config.setdefault(section, {})[name] = value
        return config

    return apply


def remove_entry(section: str, name: str) -> Change:
    """Removes one entry of a section; the entry must exist."""

    def apply(config: JsonObject) -> JsonObject:
        _existing_entry(config, section, name)
        del config[section][name]
        return config

    return apply


def put_limits(account: str, value: JsonObject) -> Change:
    """Replaces the limits of one client account; the account must exist."""

    def apply(config: JsonObject) -> JsonObject:
        _existing_entry(config, 'accounts', account)['limits'] = value
        return config

    return apply


def put_policies(value: JsonObject) -> Change:
    """Replaces the `policies` section."""

    def apply(config: JsonObject) -> JsonObject:
        config['policies'] = value
        return config

    return apply


def set_draining(upstream: str, draining: bool) -> Change:
    """Starts or stops draining an upstream; the upstream must exist."""

    def apply(config: JsonObject) -> JsonObject:
        _existing_entry(config, 'upstreams', upstream)['draining'] = draining
        return config

    return apply
