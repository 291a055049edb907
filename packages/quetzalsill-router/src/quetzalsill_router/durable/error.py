"""Errors of the log that a router stores in the platform."""

from __future__ import annotations

from quetzalsill.error import base

__all__ = [
    'LogDamagedError',
    'MalformedRowError',
    'MalformedSegmentError',
    'UnstorableRecordError',
]


class MalformedRowError(base.QuetzalsillError):
    """A table row does not have the expected format."""

    code = 'malformed_row'


class MalformedSegmentError(base.QuetzalsillError):
    """An object in a log is not a segment of a known format."""

    code = 'malformed_segment'


class LogDamagedError(base.QuetzalsillError):
    """A segment that is still required is missing from the object store."""

    code = 'log_damaged'
    advice = 'Restore the named object; its requests cannot be recovered.'


class UnstorableRecordError(base.QuetzalsillError):
    """A record holds a value that cannot be serialized."""

    code = 'unstorable_record'
