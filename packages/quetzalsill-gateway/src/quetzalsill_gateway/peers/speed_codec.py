"""Encodes and decodes estimated speeds of engines.

Loop times are sent as ages, since the clocks of two hosts differ.
"""

from __future__ import annotations

import asyncio
import math
from typing import Any

from quetzalsill_gateway.fleet import engine_speed
from quetzalsill_gateway.peers import frame

__all__ = ['decode', 'encode']

US_PER_S = 1_000_000
MS_PER_S = 1000
# Of sensible estimates, none is outside. Others are dropped rather than
# limited, since they would still distort the medians.
MIN_EVENT_US = 100
MAX_EVENT_US = int(engine_speed.MAX_EVENT_S * US_PER_S)
MAX_PREFILL_PER_S = int(engine_speed.MAX_PREFILL_PER_S)
MAX_AGE_MS = int(frame.MAX_AGE_S * MS_PER_S)


def encode(node: str, update: engine_speed.SpeedUpdate) -> bytes:
    """Returns the datagram for speeds that the gateway `node` estimated."""
    now = asyncio.get_running_loop().time()
    speeds = [
        (
            one.key,
            round(one.event_s * US_PER_S),
            math.ceil(one.prefill_per_s),
            one.samples,
            max(0, round((now - one.observed_s) * MS_PER_S)),
        )
        for one in update.speeds
    ]
    return frame.pack(frame.Kind.SPEEDS, (node, speeds))


def decode(fields: list[Any]) -> engine_speed.SpeedUpdate:
    """Returns the speeds in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    node, speeds = fields
    if not isinstance(node, str) or len(node) > frame.MAX_KEY_LENGTH:
        raise ValueError('invalid node')
    if not isinstance(speeds, list) or len(speeds) > engine_speed.MAX_ITEMS:
        raise ValueError('invalid list of speeds')
    return engine_speed.SpeedUpdate(tuple(_speed(*one) for one in speeds), node)


def _speed(
    key: Any, event_us: Any, prefill_per_s: Any, samples: Any, age_ms: Any
) -> engine_speed.Speed:
    now = asyncio.get_running_loop().time()
    event_us = _integer(event_us, MAX_EVENT_US)
    if 0 < event_us < MIN_EVENT_US:
        raise ValueError(f'invalid time between events {event_us}')
    return engine_speed.Speed(
        frame.bounded_key(key),
        event_us / US_PER_S,
        float(_integer(prefill_per_s, MAX_PREFILL_PER_S)),
        _integer(samples, engine_speed.MAX_SAMPLES),
        now - _integer(age_ms, MAX_AGE_MS) / MS_PER_S,
    )


def _integer(value: Any, limit: int) -> int:
    """Returns a received integer.

    Raises:
      ValueError: It is no integer from 0 to `limit`.
    """
    if type(value) is not int or not 0 <= value <= limit:
        raise ValueError(f'invalid number {str(value)[:20]}')
    return value
