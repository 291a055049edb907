"""Parser of server-sent events: from bytes to payloads of `data` fields."""

from __future__ import annotations

from quetzalsill_sidecar import error

__all__ = ['DONE', 'EventParser']

DONE = b'[DONE]'
MAX_EVENT_BYTES = 1_048_576


class EventParser:
    """Splits a byte stream into events, however the reads divide it."""

    def __init__(self) -> None:
        self._buffer = b''

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the payloads of all events that are now complete.

        Raises:
          ResponseLostError: an event is larger than `MAX_EVENT_BYTES`.
        """
        text = (self._buffer + data).replace(b'\r\n', b'\n')
        *blocks, self._buffer = text.split(b'\n\n')
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise error.ResponseLostError('event too large')
        payloads = (_payload(block) for block in blocks)
        return [payload for payload in payloads if payload]


def _payload(block: bytes) -> bytes:
    lines = (
        line[5:].removeprefix(b' ')
        for line in block.split(b'\n')
        if line.startswith(b'data:')
    )
    return b'\n'.join(lines)
