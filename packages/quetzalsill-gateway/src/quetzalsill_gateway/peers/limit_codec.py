"""Encodes and decodes limits that upstreams name.

Loop times are sent as ages, since the clocks of two hosts differ.
"""

from __future__ import annotations

import asyncio
import math
from typing import Any

from quetzalsill_gateway.fleet import server_limits
from quetzalsill_gateway.peers import frame

__all__ = ['decode', 'encode']

# A longer time comes from a faulty sender.
MAX_AGE_S = 1e7
MAX_KEY_LENGTH = 200


def encode(node: str, update: server_limits.LimitUpdate) -> bytes:
    """Returns the datagram for limits that the gateway `node` knows."""
    now = asyncio.get_running_loop().time()
    limits = [
        (
            one.key,
            one.per_s,
            now - one.named_s,
            None if math.isinf(one.lifted_s) else now - one.lifted_s,
        )
        for one in update.limits
    ]
    return frame.pack(frame.Kind.LIMITS, (node, limits))


def decode(fields: list[Any]) -> server_limits.LimitUpdate:
    """Returns the limits in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    node, limits = fields
    if len(limits) > server_limits.MAX_ITEMS:
        raise ValueError('too many limits')
    return server_limits.LimitUpdate(
        tuple(_limit(*one) for one in limits), str(node)
    )


def _limit(
    key: Any, per_s: Any, named_age_s: Any, lifted_age_s: Any
) -> server_limits.Limit:
    if not isinstance(key, str) or len(key) > MAX_KEY_LENGTH:
        raise ValueError('invalid key')
    now = asyncio.get_running_loop().time()
    return server_limits.Limit(
        key,
        _bounded(per_s, server_limits.MAX_PER_S),
        now - _bounded(named_age_s, MAX_AGE_S),
        -math.inf
        if lifted_age_s is None
        else now - _bounded(lifted_age_s, MAX_AGE_S),
    )


def _bounded(value: Any, limit: float) -> float:
    number = float(value)
    if math.isnan(number):
        raise ValueError('not a number')
    return min(limit, max(0.0, number))
