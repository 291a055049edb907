"""Failures of what a gateway learns from outside."""

from __future__ import annotations

from quetzalsill.error import base

__all__ = [
    'ConfigurationError',
    'MalformedSourceError',
    'PatchError',
    'PeerError',
    'SourceError',
    'StaleResponseError',
]


class SourceError(base.QuetzalsillError):
    """The store of configuration and membership did not tell."""

    code = 'source_failed'


class MalformedSourceError(SourceError):
    """An answer of the store lacks a field or holds none; it is left out."""

    code = 'source_malformed'
    advice = (
        'See which proxy or release of the store answers; what is known stays '
        'in use until it tells again.'
    )


class StaleResponseError(SourceError):
    """An answer is of an epoch of the store that has ended; it is left out."""

    code = 'source_stale'


class ConfigurationError(base.QuetzalsillError):
    """A configuration cannot be held; the one before stays in force."""

    code = 'configuration_invalid'


class PeerError(base.QuetzalsillError):
    """A datagram holds no state of another gateway; it is left out."""

    code = 'peer_malformed'


class PatchError(base.QuetzalsillError):
    """A patch does not make a document; the source is asked for it."""

    code = 'patch_unfit'
