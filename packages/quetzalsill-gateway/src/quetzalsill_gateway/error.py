"""Errors in what a gateway receives from the store and from its peers."""

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
    """The store of configuration and membership gave no valid response."""

    code = 'source_failed'


class MalformedSourceError(SourceError):
    """A response of the store has a missing or invalid field; it is ignored."""

    code = 'source_malformed'
    advice = (
        'Check which proxy or release of the store responds; the known state '
        'stays in use until a valid response arrives.'
    )


class StaleResponseError(SourceError):
    """A response is of an epoch of the store that has ended; it is ignored."""

    code = 'source_stale'


class ConfigurationError(base.QuetzalsillError):
    """A configuration is invalid; the previous one stays active."""

    code = 'configuration_invalid'


class PeerError(base.QuetzalsillError):
    """A datagram of another gateway is malformed; it is ignored."""

    code = 'peer_malformed'


class PatchError(base.QuetzalsillError):
    """A patch cannot be applied; the document is requested from the source."""

    code = 'patch_unfit'
