"""Answers that never end, of a faulty server."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['BODIES', 'HEADS', 'SHAPES', 'write']

OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = (
    OK
    + b'content-type: text/event-stream\r\n%stransfer-encoding: chunked\r\n\r\n'
)
FILLER = b'v' * 1000
# What comes first, and what follows without end; `%s` stands for the headers of
# the answer.
HEADS = {
    'first line': (b'HTTP/1.1 200 ', FILLER),
    'header lines': (OK, b'x-more: ' + FILLER + b'\r\n'),
    'header line': (OK + b'x-more: ', FILLER),
    'interim heads': (b'', b'HTTP/1.1 102 Processing\r\nx-a: b\r\n\r\n'),
    'size line': (CHUNKED + b'5;x=', FILLER),
    'trailers': (CHUNKED + b'0\r\n', b'x-more: ' + FILLER + b'\r\n'),
}
BODIES = {
    'event': (CHUNKED, b'3e8\r\n' + FILLER + b'\r\n'),
    'event without length': (OK + b'%s\r\ndata: ', FILLER),
    'comments': (CHUNKED, b'5\r\n: a\n\n\r\n'),
}
SHAPES = HEADS | BODIES
# Bytes of a fast server that it writes at once.
BATCH_BYTES = 65_536


async def write(
    writer: asyncio.StreamWriter,
    shape: str,
    headers: bytes = b'',
    interval_s: float = 0.0,
) -> None:
    """Writes an answer without end, until the peer closes the connection.

    Args:
      writer: Writer of the connection.
      shape: Key in `SHAPES`.
      headers: Header lines of the answer, for shapes that have a head.
      interval_s: Time between two of the repeated parts, in seconds; 0 for as
        many as the peer reads.

    Raises:
      ConnectionError: The peer has closed the connection.
    """
    first, _ = SHAPES[shape]
    writer.write(first % headers if b'%s' in first else first)
    for part in _parts(shape, interval_s):
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(interval_s)


def _parts(shape: str, interval_s: float) -> Iterator[bytes]:
    part = SHAPES[shape][1]
    if interval_s:
        # A slow server makes no more bytes than it has to.
        part = part.replace(FILLER, b'v')
        if shape == 'event':
            part = b'1\r\nv\r\n'
    else:
        part *= max(1, BATCH_BYTES // len(part))
    return itertools.repeat(part)
