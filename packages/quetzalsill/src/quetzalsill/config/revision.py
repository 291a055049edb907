"""Rows of the platform's table that describe configuration revisions."""

from __future__ import annotations

import dataclasses
import datetime
import hashlib
from typing import Any

from quetzalsill.platform import error

__all__ = [
    'HEAD_KEY',
    'REVISION_PREFIX',
    'TABLE',
    'Head',
    'Revision',
    'describe',
    'digest',
    'edit_key',
    'parse_head',
    'parse_revision',
    'revision_key',
]

TABLE = 'config'
HEAD_KEY = 'head'
REVISION_PREFIX = 'revision/'


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """The newest accepted revision; revision 0 before the first edit.

    Attributes:
      revision: Revision number.
      edit: Id of the edit that created it.
      author: Operator who made the edit.
      at: UTC time on the editing host in ISO format; informational only.
    """

    revision: int = 0
    edit: str = ''
    author: str = ''
    at: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Revision:
    """One accepted edit.

    Attributes:
      revision: Revision number.
      edit: Id of the edit.
      author: Operator who made the edit.
      note: Comment of the author.
      at: UTC time on the editing host in ISO format; informational only.
      document: Key of the document in the object store.
      sha256: SHA-256 digest of the document.
    """

    revision: int
    edit: str
    author: str
    note: str
    at: str
    document: str
    sha256: str


def describe(
    document: bytes, number: int, edit: str, author: str, note: str
) -> Revision:
    """Builds the record of an edit that is about to become a revision."""
    sha256 = digest(document)
    now = datetime.datetime.now(datetime.UTC)
    return Revision(
        revision=number,
        edit=edit,
        author=author,
        note=note,
        at=now.isoformat(timespec='milliseconds'),
        document=f'config/{number:012d}-{edit}-{sha256[:16]}',
        sha256=sha256,
    )


def digest(document: bytes) -> str:
    """Returns the SHA-256 digest of a document in hexadecimal."""
    return hashlib.sha256(document).hexdigest()


def revision_key(number: int) -> str:
    """Returns the key of a revision's row; keys sort in revision order."""
    return f'{REVISION_PREFIX}{number:012d}'


def edit_key(edit: str) -> str:
    """Returns the key of the row of an accepted edit."""
    return f'edit/{edit}'


def parse_head(value: Any) -> Head:
    """Parses the value of the head row.

    Raises:
      PlatformProtocolError: The fields are not those of a head.
    """
    return _parse(Head, value)


def parse_revision(value: Any) -> Revision:
    """Parses the value of the row of a revision or an edit.

    Raises:
      PlatformProtocolError: The fields are not those of a revision.
    """
    return _parse(Revision, value)


def _parse(cls: type, value: Any) -> Any:
    try:
        return cls(**value)
    except TypeError as exc:
        raise error.PlatformProtocolError(f'{cls.__name__}: {exc}') from exc
