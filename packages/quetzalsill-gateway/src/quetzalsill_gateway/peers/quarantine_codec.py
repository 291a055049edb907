"""Encodes and decodes updates about requests that crash upstreams.

Loop times are sent as ages, since the clocks of two hosts differ.
"""

from __future__ import annotations

import asyncio
import math
from typing import Any

from quetzalsill_gateway.peers import frame
from quetzalsill_gateway.quarantine import evidence, fingerprint, table
from quetzalsill_gateway.quarantine import update as update_lib

__all__ = ['decode', 'encode']

# A longer time comes from a faulty sender.
MAX_TIME_S = 1e7
MAX_ITEMS = 64
MAX_TEXT = 200


def encode(node: str, update: update_lib.QuarantineUpdate) -> bytes:
    """Returns the datagram for an update of the gateway `node`."""
    now = asyncio.get_running_loop().time()
    crashes = [
        (
            crash.key,
            crash.service,
            now - crash.at_s,
            [
                (suspect.fingerprint, suspect.exposure_s)
                for suspect in crash.suspects.values()
            ],
        )
        for crash in update.crashes
    ]
    fields = (
        node,
        crashes,
        [(key, now - at_s) for key, at_s in update.alive],
        [(found, now - at_s) for found, at_s in update.completed],
        [_entry_fields(entry, now) for entry in update.entries],
    )
    return frame.pack(frame.Kind.QUARANTINE, fields)


def decode(fields: list[Any]) -> update_lib.QuarantineUpdate:
    """Returns the update in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    node, crashes, alive, completed, entries = fields
    if max(map(len, (crashes, alive, completed, entries))) > MAX_ITEMS:
        raise ValueError('too many items')
    now = asyncio.get_running_loop().time()
    return update_lib.QuarantineUpdate(
        tuple(_crash(now, *one) for one in crashes),
        tuple((_text(key), now - _time_s(age)) for key, age in alive),
        tuple(
            (_fingerprint(one), now - _time_s(age)) for one, age in completed
        ),
        tuple(_entry(now, *one) for one in entries),
        str(node),
    )


def _crash(
    now: float, key: Any, service: Any, age_s: Any, suspects: Any
) -> evidence.Crash:
    if len(suspects) > evidence.MAX_SUSPECTS:
        raise ValueError('too many suspects')
    found = [
        evidence.Suspect(_fingerprint(one), _time_s(exposure_s))
        for one, exposure_s in suspects
    ]
    return evidence.Crash(
        _text(key),
        _text(service),
        now - _time_s(age_s),
        {one.fingerprint: one for one in found},
    )


def _entry_fields(entry: table.Entry, now: float) -> tuple[Any, ...]:
    return (
        entry.fingerprint,
        entry.version,
        entry.is_active,
        now - entry.since_s,
        max(0.0, entry.until_s - now),
        entry.failed_probes,
        None if entry.probe_s is None else now - entry.probe_s,
        entry.label,
        entry.upstreams,
        entry.reason,
    )


def _entry(
    now: float,
    found: Any,
    version: Any,
    is_active: Any,
    age_s: Any,
    left_s: Any,
    failed_probes: Any,
    probe_age_s: Any,
    label: Any,
    upstreams: Any,
    reason: Any,
) -> table.Entry:
    if len(upstreams) > MAX_ITEMS:
        raise ValueError('too many upstreams')
    return table.Entry(
        _fingerprint(found),
        frame.bounded_count(version),
        bool(is_active),
        now - _time_s(age_s),
        now + _time_s(left_s),
        frame.bounded_count(failed_probes),
        None if probe_age_s is None else now - _time_s(probe_age_s),
        _text(label),
        tuple(_text(one) for one in upstreams),
        _text(reason),
    )


def _fingerprint(value: Any) -> bytes:
    if not isinstance(value, bytes) or len(value) != fingerprint.LENGTH:
        raise ValueError('invalid fingerprint')
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT:
        raise ValueError('invalid text')
    return value


def _time_s(value: Any) -> float:
    number = float(value)
    if math.isnan(number):
        raise ValueError('time is not a number')
    return min(MAX_TIME_S, max(0.0, number))
