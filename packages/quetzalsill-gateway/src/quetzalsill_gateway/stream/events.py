"""Whole events out of the bytes of a stream."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

__all__ = ['Event', 'Splitter']

SEPARATORS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One event as the upstream wrote it.

    Attributes:
      id: Its number; None if it has none.
      raw: All of its bytes, with the empty line behind it.
    """

    id: int | None
    raw: bytes


class Splitter:
    """Cuts the bytes of one answer into events.

    A server may stop in the middle of an event. What has come of it stays
    here, so that a caller never gets half an event which another server would
    then send whole.
    """

    def __init__(self) -> None:
        self._remainder = b''

    @property
    def remainder(self) -> bytes:
        """Bytes of an event that is not whole."""
        return self._remainder

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yields the events that are whole now."""
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
