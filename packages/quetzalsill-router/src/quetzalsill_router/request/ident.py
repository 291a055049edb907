"""Request ids that are unique across restarts."""

from __future__ import annotations

import itertools
import re
import secrets
import time

__all__ = [
    'RequestIds',
    'is_request_id',
    'new_incarnation',
    'was_accepted_by',
]

RANDOM_BITS = 12
REQUEST_ID = re.compile(r'[a-z0-9][a-z0-9._-]{0,127}')


def new_incarnation() -> int:
    """Returns a number that no earlier start of this node used.

    The wall clock may have been set back since the last start, so random
    bits follow the milliseconds. The result stays below 2**53.
    """
    millis = time.time_ns() // 1_000_000
    return (millis << RANDOM_BITS) | secrets.randbits(RANDOM_BITS)


def is_request_id(text: str) -> bool:
    """Whether `text` is a well-formed request id."""
    return REQUEST_ID.fullmatch(text) is not None


def was_accepted_by(request: str, node: str, incarnation: int) -> bool:
    """Whether that incarnation of that router assigned the request id."""
    journalled = f'{node}.{incarnation}.'
    return request.startswith((journalled, _prefix(node, incarnation)))


def _prefix(node: str, incarnation: int) -> str:
    return f'req-{node}-{incarnation}-'


class RequestIds:
    """Generates ids for requests that are not journalled."""

    def __init__(self, node: str, incarnation: int) -> None:
        self._prefix = _prefix(node, incarnation)
        self._requests = itertools.count(1)

    def next(self) -> str:
        """Returns a new request id that is safe in a URL path."""
        return f'{self._prefix}{next(self._requests)}'
