"""Failures of what a gateway learns from outside."""

from __future__ import annotations

from quetzalsill.error import base

__all__ = ['ConfigurationError', 'PatchError', 'PeerError', 'SourceError']


class SourceError(base.QuetzalsillError):
    """The store of configuration and membership did not tell."""

    code = 'source_failed'


class ConfigurationError(base.QuetzalsillError):
    """A configuration cannot be held; the one before stays in force."""

    code = 'configuration_invalid'


class PeerError(base.QuetzalsillError):
    """A datagram holds no state of another gateway; it is left out."""

    code = 'peer_malformed'


class PatchError(base.QuetzalsillError):
    """A patch does not make a document; the source is asked for it."""

    code = 'patch_unfit'
