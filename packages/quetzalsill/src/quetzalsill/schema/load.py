"""Parsing of JSON documents with or without comments."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Callable
from typing import Any, TypeVar

from quetzalsill.schema import check
from quetzalsill.schema import error as schema_error

__all__ = ['MAX_FILE_BYTES', 'load_file', 'parse_strict', 'parse_text']

T = TypeVar('T')
Pairs = list[tuple[str, Any]]

MAX_FILE_BYTES = 16 * 1024 * 1024


class _DuplicateKeyError(ValueError):
    """An object has a duplicate key, so one of its values would be lost."""


def load_file(cls: type[T], path: str) -> T:
    """Reads and validates a JSON file with comments.

    Args:
      cls: Dataclass that declares the document.
      path: File to read.

    Raises:
      InvalidDocumentError: If the file cannot be read, is not JSON, or is
        not valid for `cls`.
    """
    return check.check(cls, parse_text(_read_file(path), path), path)


def parse_text(text: str, where: str) -> Any:
    """Parses JSON with comments.

    Raises:
      InvalidDocumentError: If the text is not JSON.
    """
    # The parser that accepts comments takes some seconds per megabyte, so it
    # is used only for documents that are not plain JSON.
    try:
        return json.loads(text, object_pairs_hook=_reject_duplicates)
    except (ValueError, RecursionError):
        return _parse_with(_loads_commented, text, where)


def parse_strict(text: str, where: str) -> Any:
    """Parses JSON without comments.

    Raises:
      InvalidDocumentError: If the text is not JSON.
    """
    return _parse_with(_loads_strict, text, where)


def _loads_commented(text: str) -> Any:
    # Imported only when needed: few documents of a process have comments.
    import json5

    return json5.loads(text, object_pairs_hook=_reject_duplicates)


def _loads_strict(text: str) -> Any:
    return json.loads(text, object_pairs_hook=_reject_duplicates)


def _parse_with(loads: Callable[[str], Any], text: str, where: str) -> Any:
    try:
        return loads(text)
    except RecursionError:
        raise _invalid(where, 'values nested too deep', 'JSON') from None
    except ValueError as exc:
        raise _invalid(where, ' '.join(str(exc).split()), 'JSON') from exc


def _reject_duplicates(pairs: Pairs) -> dict[str, Any]:
    built = dict(pairs)
    if len(built) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise _DuplicateKeyError(f'the key {duplicate!r} twice in one object')
    return built


def _read_file(path: str) -> str:
    try:
        size = pathlib.Path(path).stat().st_size
        if size > MAX_FILE_BYTES:
            allowed = f'at most {MAX_FILE_BYTES} bytes'
            raise _invalid(path, f'{size} bytes', allowed)
        return pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as exc:
        reason = exc.strerror or str(exc)
        raise _invalid(path, reason, 'a readable file') from exc
    except UnicodeDecodeError as exc:
        raise _invalid(path, str(exc), 'UTF-8') from exc


def _invalid(
    where: str, found: str, allowed: str
) -> schema_error.InvalidDocumentError:
    invalid_key = schema_error.InvalidKeyError(where, '', found, allowed)
    return schema_error.InvalidDocumentError(where, [invalid_key])
