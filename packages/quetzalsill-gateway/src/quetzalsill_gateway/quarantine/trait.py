"""Traits of requests by which crashes of upstreams are explained.

A request that crashes an upstream does so by what it is as a whole, or by one
thing that it has in common with others, as a part of its prompt. Each is a
trait, and has a fingerprint.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Callable, Iterable
from typing import Protocol

from quetzalsill_gateway.quarantine import fingerprint as fingerprint_lib

__all__ = [
    'KIND_NAMES',
    'check',
    'describe',
    'identifies_request',
    'kind_of',
    'of',
    'shared',
    'value_of',
]

VALUE_BYTES = 20
LENGTH = 1 + VALUE_BYTES
# Set in the first byte of a fingerprint that holds a digest of the value.
DIGEST_FLAG = 0x80
# Traits of a kind that one request may have; the first ones count.
MAX_PER_KIND = 256
REQUEST = 'request'


class Request(Protocol):
    """What traits are read from.

    Attributes:
      fingerprint: Fingerprint of the request as a whole.
      shared_parts: Ids of the parts of its prompt that others may have too.
    """

    fingerprint: bytes
    shared_parts: tuple[bytes, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of trait that requests may share.

    Attributes:
      name: Name in logs, metrics and the operators' interface.
      code: First byte of its fingerprints, below `DIGEST_FLAG`.
      read: Returns the values that a request has.
    """

    name: str
    code: int
    read: Callable[[Request], Iterable[bytes]]


KINDS = (Kind('prompt_part', 1, lambda req: req.shared_parts),)
NAMES = {kind.code: kind.name for kind in KINDS}
KIND_NAMES = (REQUEST, *NAMES.values())


def of(req: Request) -> tuple[bytes, ...]:
    """Returns the fingerprints of a request's traits, its own first."""
    return (req.fingerprint, *shared(req))


def shared(req: Request) -> tuple[bytes, ...]:
    """Returns the fingerprints of the traits that other requests may have."""
    return tuple(
        _fingerprint(kind, value)
        for kind in KINDS
        for value in tuple(kind.read(req))[:MAX_PER_KIND]
    )


def identifies_request(fingerprint: bytes) -> bool:
    """Whether a fingerprint is that of a request as a whole."""
    return len(fingerprint) == fingerprint_lib.LENGTH


def kind_of(fingerprint: bytes) -> str:
    """Returns the kind of a trait; `unknown` if of another release."""
    if identifies_request(fingerprint):
        return REQUEST
    return NAMES.get(fingerprint[0] & ~DIGEST_FLAG, 'unknown')


def value_of(fingerprint: bytes) -> str:
    """Returns the value of a shared trait, or its digest if it is long."""
    if identifies_request(fingerprint):
        return ''
    if fingerprint[0] & DIGEST_FLAG:
        return f'digest {fingerprint[1:].hex()}'
    return fingerprint[1:].rstrip(b'\0').decode('latin-1')


def describe(fingerprints: Iterable[bytes]) -> str:
    """Returns traits as text, for operators."""
    return ','.join(
        f'{kind_of(one)}={value_of(one) or one.hex()}' for one in fingerprints
    )


def check(value: object) -> bytes:
    """Returns a received fingerprint.

    Raises:
      ValueError: It has no valid length, or is not bytes.
    """
    if not isinstance(value, bytes) or len(value) not in (
        fingerprint_lib.LENGTH,
        LENGTH,
    ):
        raise ValueError('invalid fingerprint')
    return value


def _fingerprint(kind: Kind, value: bytes) -> bytes:
    if len(value) <= VALUE_BYTES and not value.endswith(b'\0'):
        return bytes([kind.code]) + value.ljust(VALUE_BYTES, b'\0')
    digest = hashlib.blake2b(value, digest_size=VALUE_BYTES).digest()
    return bytes([kind.code | DIGEST_FLAG]) + digest
