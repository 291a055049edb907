"""A document as its difference to another, small enough for a datagram.

Edits change a few hundred bytes of a document that may have tens of thousands.
Read by each gateway itself, every edit would cost the source a call and a
document for each of them.

Documents are taken in pieces, one for each object in them. A patch names runs
of pieces of the base and brings those that are new. The compressor alone sees
only the last 32 KB of a base.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgpack
import xxhash

from quetzalsill_gateway import error

__all__ = ['apply', 'digest', 'make']

# Sent to every other gateway: some packets each. A larger edit is read from
# the source by each, whose link is a hundred times that of a small entry host.
MAX_PATCH_BYTES = 4096
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
DIGEST_BYTES = 8
# Between the objects of a list, as the JSON encoder writes it.
SEPARATOR = b'}, '
# What opening a damaged patch raises.
DECODE_ERRORS = (
    zlib.error,
    ValueError,
    TypeError,
    IndexError,
    msgpack.UnpackException,
)


def digest(document: bytes) -> bytes:
    """Returns what tells a document from others."""
    return xxhash.xxh64_digest(document)


def make(
    base: bytes, document: bytes, max_bytes: int = MAX_PATCH_BYTES
) -> bytes | None:
    """Returns what makes a document of its base; None if that is larger."""
    index = {piece: n for n, piece in enumerate(base.split(SEPARATOR))}
    steps: list[Any] = []
    for piece in document.split(SEPARATOR):
        position = index.get(piece)
        if position is None:
            steps.append(piece)
        elif steps and _end_of(steps[-1]) == position:
            steps[-1][1] += 1
        else:
            steps.append([position, 1])
    patch = digest(base) + zlib.compress(msgpack.packb(steps))
    return patch if len(patch) <= max_bytes else None


def apply(base: bytes, patch: bytes) -> bytes:
    """Returns the document that a patch makes of its base.

    Raises:
      error.PatchError: It belongs to another base, or is damaged.
    """
    if patch[:DIGEST_BYTES] != digest(base):
        raise error.PatchError('it belongs to another base')
    try:
        return _rebuild(base.split(SEPARATOR), patch[DIGEST_BYTES:])
    except DECODE_ERRORS as exc:
        raise error.PatchError(f'it is damaged: {exc!r}') from exc


def _end_of(step: bytes | list[int]) -> int | None:
    return None if isinstance(step, bytes) else step[0] + step[1]


def _rebuild(pieces: list[bytes], packed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(packed, MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise ValueError('it ends early, or is too large')
    built: list[bytes] = []
    for step in msgpack.unpackb(data):
        if isinstance(step, bytes):
            built.append(step)
            continue
        start, count = step
        if not 0 <= start <= start + count <= len(pieces):
            raise ValueError(f'no pieces {start} and {count} behind')
        built += pieces[start : start + count]
    return SEPARATOR.join(built)
