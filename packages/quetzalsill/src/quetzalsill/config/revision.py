"""What the platform's table keeps of the revisions of the configuration."""

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
      revision: Its number.
      edit: Id of the edit that made it.
      author: Operator who made the edit.
      at: UTC time of day at the editor, in ISO form; for readers only.
    """

    revision: int = 0
    edit: str = ''
    author: str = ''
    at: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Revision:
    """One accepted edit.

    Attributes:
      revision: Its number.
      edit: Id of the edit.
      author: Operator who made it.
      note: Their note.
      at: UTC time of day at the editor, in ISO form; for readers only.
      document: Key of its document in the object store.
      sha256: Digest of its document.
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
    """Describes an edit that would become a revision."""
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
    """Gives the digest by which a document is known."""
    return hashlib.sha256(document).hexdigest()


def revision_key(number: int) -> str:
    """Gives the key of a revision's row; keys sort as their numbers."""
    return f'{REVISION_PREFIX}{number:012d}'


def edit_key(edit: str) -> str:
    """Gives the key of the row that an accepted edit has."""
    return f'edit/{edit}'


def parse_head(value: Any) -> Head:
    """Checks the value of the head row.

    Raises:
      PlatformProtocolError: It is not one.
    """
    return _parse(Head, value)


def parse_revision(value: Any) -> Revision:
    """Checks the value of a revision's or an edit's row.

    Raises:
      PlatformProtocolError: It is not one.
    """
    return _parse(Revision, value)


def _parse(cls: type, value: Any) -> Any:
    try:
        return cls(**value)
    except TypeError as exc:
        raise error.PlatformProtocolError(f'{cls.__name__}: {exc}') from exc
