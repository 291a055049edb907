"""Failures of the plug-in registry."""

from __future__ import annotations

from quetzalsill.error import base

__all__ = [
    'DuplicatePluginError',
    'PluginError',
    'PluginLoadError',
    'UnknownPluginError',
]


class PluginError(base.QuetzalsillError):
    """A plug-in cannot be used."""

    code = 'plugin_failed'


class UnknownPluginError(PluginError):
    """No plug-in with this kind and name is registered."""

    code = 'unknown_plugin'


class DuplicatePluginError(PluginError):
    """Another plug-in with this kind and name is already registered."""

    code = 'duplicate_plugin'


class PluginLoadError(PluginError):
    """An installed plug-in cannot be imported or has no `register`."""

    code = 'plugin_load_failed'
    advice = 'Install the package that brings it again, or remove it.'
