"""Encodes and decodes estimated speeds of engines.

Loop times are sent as ages, since the clocks of two hosts differ.
"""

from __future__ import annotations

import asyncio
import math
from typing import Any

from quetzalsill_gateway.fleet import engine_load, engine_speed
from quetzalsill_gateway.peers import frame

__all__ = ['decode', 'encode']

US_PER_S = 1_000_000
MS_PER_S = 1000
PER_MILLE = 1000
MAX_FACTOR = 100
# Slowdowns that begin more often are the normal course of events.
MAX_ONSETS_PER_S = 100
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
    interferences = [
        (
            service,
            round(one.noise.share * PER_MILLE),
            round(one.noise.factor * PER_MILLE),
            round(one.noise.onsets_per_s * PER_MILLE),
            round(one.prefill_share * PER_MILLE),
            one.samples,
        )
        for service, one in update.interferences.items()
    ]
    return frame.pack(frame.Kind.SPEEDS, (node, speeds, interferences))


def decode(fields: list[Any]) -> engine_speed.SpeedUpdate:
    """Returns the speeds in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    node, speeds, interferences = fields
    if not isinstance(node, str) or len(node) > frame.MAX_KEY_LENGTH:
        raise ValueError('invalid node')
    if not isinstance(speeds, list) or len(speeds) > engine_speed.MAX_ITEMS:
        raise ValueError('invalid list of speeds')
    if len(interferences) > engine_speed.MAX_SERVICES:
        raise ValueError('too many services')
    return engine_speed.SpeedUpdate(
        tuple(_speed(*one) for one in speeds),
        node,
        dict(_interference(*one) for one in interferences),
    )


def _interference(
    service: Any,
    share: Any,
    factor: Any,
    onsets: Any,
    prefill_share: Any,
    samples: Any,
) -> tuple[str, engine_load.Interference]:
    noise = engine_load.Noise(
        _integer(share, PER_MILLE) / PER_MILLE,
        max(1.0, _integer(factor, MAX_FACTOR * PER_MILLE) / PER_MILLE),
        _integer(onsets, MAX_ONSETS_PER_S * PER_MILLE) / PER_MILLE,
    )
    return frame.bounded_key(service), engine_load.Interference(
        noise,
        _integer(prefill_share, PER_MILLE) / PER_MILLE,
        _integer(samples, engine_load.MAX_INTERFERENCE_SAMPLES),
    )


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
