"""Splits the bytes of a stream into events."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from quetzalsill_gateway.http import error

__all__ = ['Event', 'Splitter']

SEPARATORS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'
COMMENT = b':'
# An incomplete event, and the comments before it. Events hold some tokens.
MAX_PENDING_BYTES = 262_144


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One event as the upstream sent it.

    Attributes:
      id: Its numeric id; None if it has none.
      raw: All of its bytes, including the blank line that ends it.
      is_comment: Whether these are comments, without an event.
    """

    id: int | None
    raw: bytes
    is_comment: bool = False


class Splitter:
    """Splits the bytes of one response into events.

    An upstream may fail in the middle of an event. The incomplete event is
    buffered here, so that the caller never receives part of an event that
    another upstream then sends again in full.
    """

    def __init__(self) -> None:
        self._remainder = b''
        self._comment_bytes = 0

    @property
    def remainder(self) -> bytes:
        """Bytes of an incomplete event."""
        return self._remainder

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yields the events that `data` completes.

        Raises:
          error.MalformedResponseError: An event, or comments without one, do
            not end.
        """
        self._remainder += data
        while True:
            ends = [
                found + len(separator)
                for separator in SEPARATORS
                if (found := self._remainder.find(separator)) >= 0
            ]
            if not ends:
                break
            end = min(ends)
            raw, self._remainder = self._remainder[:end], self._remainder[end:]
            is_comment = raw.startswith(COMMENT) and _is_comment(raw)
            self._comment_bytes = (
                self._comment_bytes + len(raw) if is_comment else 0
            )
            yield Event(_parse_id(raw), raw, is_comment)
        if self._comment_bytes + len(self._remainder) > MAX_PENDING_BYTES:
            raise error.MalformedResponseError(
                f'more than {MAX_PENDING_BYTES} bytes without an event'
            )


def _is_comment(raw: bytes) -> bool:
    return all(
        not line or line.startswith(COMMENT) for line in raw.splitlines()
    )


def _parse_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
