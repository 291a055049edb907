"""Errors between a router and one of its peers."""

from __future__ import annotations

from quetzalsill.error import base

__all__ = ['ConfigFetchError']


class ConfigFetchError(base.QuetzalsillError):
    """A peer did not return a newer configuration in time."""

    code = 'config_fetch_failed'
