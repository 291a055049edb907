"""Encodes a document as a difference to another, small enough for a datagram.

An edit changes a few hundred bytes of a document that may have tens of
thousands. If each gateway read the document itself, every edit would cost the
source one call and one document per gateway.

Documents are split into pieces, one per object. A patch refers to runs of
pieces of the base and contains those that are new. The compressor alone would
only see the last 32 KB of a base.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgpack
import xxhash

from quetzalsill_gateway import error

__all__ = ['apply', 'digest', 'make']

# A patch goes to every other gateway, in a few packets each. For a larger edit
# each gateway reads the document from the source, whose link has a hundred
# times the bandwidth of that of a small gateway host.
MAX_PATCH_BYTES = 4096
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
DIGEST_BYTES = 8
# Separates the objects of a list, as the JSON encoder writes it.
SEPARATOR = b'}, '
# Raised when a damaged patch is decoded.
DECODE_ERRORS = (
    zlib.error,
    ValueError,
    TypeError,
    IndexError,
    msgpack.UnpackException,
)


def digest(document: bytes) -> bytes:
    """Returns a digest that distinguishes a document from others."""
    return xxhash.xxh64_digest(document)


def make(
    base: bytes, document: bytes, max_bytes: int = MAX_PATCH_BYTES
) -> bytes | None:
    """Returns a patch from `base` to `document`; None if it is too large."""
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
    """Returns the document that a patch produces from its base.

    Raises:
      error.PatchError: The patch is for another base, or is damaged.
    """
    if patch[:DIGEST_BYTES] != digest(base):
        raise error.PatchError('patch is for another base')
    try:
        return _rebuild(base.split(SEPARATOR), patch[DIGEST_BYTES:])
    except DECODE_ERRORS as exc:
        raise error.PatchError(f'patch is damaged: {exc!r}') from exc


def _end_of(step: bytes | list[int]) -> int | None:
    return None if isinstance(step, bytes) else step[0] + step[1]


def _rebuild(pieces: list[bytes], packed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(packed, MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise ValueError('compressed data is truncated or too large')
    built: list[bytes] = []
    for step in msgpack.unpackb(data):
        if isinstance(step, bytes):
            built.append(step)
            continue
        start, count = step
        if not 0 <= start <= start + count <= len(pieces):
            raise ValueError(
                f'pieces out of range: start {start}, count {count}'
            )
        built += pieces[start : start + count]
    return SEPARATOR.join(built)
