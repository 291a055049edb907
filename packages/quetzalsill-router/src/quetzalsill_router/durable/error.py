"""Failures of the log that a router keeps in the platform."""

from __future__ import annotations

from quetzalsill.error import base

__all__ = [
    'LogDamagedError',
    'MalformedRowError',
    'MalformedSegmentError',
    'UnstorableRecordError',
]


class MalformedRowError(base.QuetzalsillError):
    """A row in the table is not of the known form."""

    code = 'malformed_row'


class MalformedSegmentError(base.QuetzalsillError):
    """An object in a log is not a segment of the known form."""

    code = 'malformed_segment'


class LogDamagedError(base.QuetzalsillError):
    """A segment that a log still needs is missing from the object store."""

    code = 'log_damaged'
    advice = 'Restore the named object; its requests cannot be recovered.'


class UnstorableRecordError(base.QuetzalsillError):
    """A record holds a value that has no form as bytes."""

    code = 'unstorable_record'
