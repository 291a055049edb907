"""Splits the bytes of a stream into events."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

__all__ = ['Event', 'Splitter']

SEPARATORS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One event as the upstream sent it.

    Attributes:
      id: Its numeric id; None if it has none.
      raw: All of its bytes, including the blank line that ends it.
    """

    id: int | None
    raw: bytes


class Splitter:
    """Splits the bytes of one response into events.

    An upstream may fail in the middle of an event. The incomplete event is
    buffered here, so that the caller never receives part of an event that
    another upstream then sends again in full.
    """

    def __init__(self) -> None:
        self._remainder = b''

    @property
    def remainder(self) -> bytes:
        """Bytes of an incomplete event."""
        return self._remainder

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yields the events that `data` completes."""
        self._remainder += data
        while True:
            ends = [
                found + len(separator)
                for separator in SEPARATORS
                if (found := self._remainder.find(separator)) >= 0
            ]
            if not ends:
                return
            end = min(ends)
            raw, self._remainder = self._remainder[:end], self._remainder[end:]
            yield Event(_parse_id(raw), raw)


def _parse_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
