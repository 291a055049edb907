"""Changes of the configuration document, as plain JSON data.

A change is a function from the document that the operator saw to the one
that the operator wants; it is applied to a copy and checked afterwards.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from quetzalsill.error import request as request_error

__all__ = [
    'Change',
    'Plain',
    'put_entry',
    'put_limits',
    'put_policies',
    'remove_entry',
    'replace',
    'set_draining',
]

Plain = dict[str, Any]
Change = Callable[[Plain], Plain]


def _entry(document: Plain, section: str, name: str) -> Plain:
    entries = document.get(section, {})
    if name not in entries:
        raise request_error.NotFoundError(f'no {section}.{name}')
    return entries[name]


def replace(wanted: Plain) -> Change:
    """Replaces the whole document."""
    return lambda _: wanted


def put_entry(section: str, name: str, value: Plain) -> Change:
    """Adds or replaces one entry of a section such as `profiles`."""

    def apply(document: Plain) -> Plain:
        document.setdefault(section, {})[name] = value
        return document

    return apply


def remove_entry(section: str, name: str) -> Change:
    """Removes one entry of a section; it must be there."""

    def apply(document: Plain) -> Plain:
        _entry(document, section, name)
        del document[section][name]
        return document

    return apply


def put_limits(account: str, value: Plain) -> Change:
    """Replaces the limits of one client account; it must be there."""

    def apply(document: Plain) -> Plain:
        _entry(document, 'accounts', account)['limits'] = value
        return document

    return apply


def put_policies(value: Plain) -> Change:
    """Replaces the policies."""

    def apply(document: Plain) -> Plain:
        document['policies'] = value
        return document

    return apply


def set_draining(upstream: str, draining: bool) -> Change:
    """Starts or ends the drain of one upstream; it must be there."""

    def apply(document: Plain) -> Plain:
        _entry(document, 'upstreams', upstream)['draining'] = draining
        return document

    return apply
