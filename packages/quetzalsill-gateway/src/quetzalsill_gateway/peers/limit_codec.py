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
    now = asyncio.get_running_loop().time()
    return server_limits.Limit(
        frame.bounded_key(key),
        frame.bounded_number(per_s, server_limits.MAX_PER_S),
        now - frame.bounded_age_s(named_age_s),
        -math.inf
        if lifted_age_s is None
        else now - frame.bounded_age_s(lifted_age_s),
    )
