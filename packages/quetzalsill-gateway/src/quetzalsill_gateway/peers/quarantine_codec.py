"""Encodes and decodes updates about requests that crash upstreams.

Loop times are sent as ages, since the clocks of two hosts differ.
"""

from __future__ import annotations

import asyncio
import math
from typing import Any

from quetzalsill_gateway.peers import frame
from quetzalsill_gateway.quarantine import evidence, table, trait
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
            [_suspect_fields(one) for one in crash.suspects.values()],
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
        tuple((trait.check(one), now - _time_s(age)) for one, age in completed),
        tuple(_entry(now, *one) for one in entries),
        str(node),
    )


def _suspect_fields(suspect: evidence.Suspect) -> tuple[Any, ...]:
    """Returns its fields; without shared traits, those of older releases."""
    fields = (suspect.fingerprint, suspect.exposure_s)
    return (*fields, sorted(suspect.shared)) if suspect.shared else fields


def _suspect(
    fingerprint: Any, exposure_s: Any, shared: Any = ()
) -> evidence.Suspect:
    if len(shared) > evidence.MAX_SHARED:
        raise ValueError('too many traits')
    return evidence.Suspect(
        trait.check(fingerprint),
        _time_s(exposure_s),
        shared=frozenset(map(trait.check, shared)),
    )


def _crash(
    now: float, key: Any, service: Any, age_s: Any, suspects: Any
) -> evidence.Crash:
    if len(suspects) > evidence.MAX_SUSPECTS:
        raise ValueError('too many suspects')
    found = [_suspect(*fields) for fields in suspects]
    return evidence.Crash(
        _text(key),
        _text(service),
        now - _time_s(age_s),
        {one.fingerprint: one for one in found},
    )


def _entry_fields(entry: table.Entry, now: float) -> tuple[Any, ...]:
    fields = (
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
    return (*fields, entry.companions) if entry.companions else fields


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
    companions: Any = (),
) -> table.Entry:
    if max(len(upstreams), len(companions)) > MAX_ITEMS:
        raise ValueError('too many upstreams or traits')
    return table.Entry(
        trait.check(found),
        frame.bounded_count(version),
        bool(is_active),
        now - _time_s(age_s),
        now + _time_s(left_s),
        frame.bounded_count(failed_probes),
        None if probe_age_s is None else now - _time_s(probe_age_s),
        _text(label),
        tuple(_text(one) for one in upstreams),
        _text(reason),
        tuple(map(trait.check, companions)),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT:
        raise ValueError('invalid text')
    return value


def _time_s(value: Any) -> float:
    number = float(value)
    if math.isnan(number):
        raise ValueError('time is not a number')
    return min(MAX_TIME_S, max(0.0, number))
