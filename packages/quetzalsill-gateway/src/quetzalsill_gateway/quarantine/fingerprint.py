"""Identifies a request across repeats, which have different ids."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ['LENGTH', 'compute']

DIGEST_BYTES = 16
BODY_LENGTH_BYTES = 4
LENGTH = DIGEST_BYTES + BODY_LENGTH_BYTES
PART_LENGTH_BYTES = 4


def compute(
    method: bytes,
    host: bytes,
    target: bytes,
    account: bytes,
    body: Iterable[bytes | bytearray],
) -> bytes:
    """Returns the fingerprint of a request, `LENGTH` bytes.

    The hash is cryptographic: with another one, a caller could construct a
    request with the fingerprint of somebody else's, and have it refused.

    Args:
      method: HTTP method.
      host: Host header.
      target: Path and query.
      account: Name of the client account; empty if callers need no key.
      body: The complete body, in any parts.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host.lower(), target, account):
        # Prefixed lengths keep the boundaries between the parts apart.
        digest.update(len(part).to_bytes(PART_LENGTH_BYTES))
        digest.update(part)
    length = 0
    for part in body:
        digest.update(part)
        length += len(part)
    length = min(length, 2 ** (8 * BODY_LENGTH_BYTES) - 1)
    return digest.digest() + length.to_bytes(BODY_LENGTH_BYTES)
