"""Updates between gateways about requests that crash upstreams."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Any

from quetzalsill_gateway.quarantine import trait

if TYPE_CHECKING:
    from quetzalsill_gateway.quarantine import evidence, table

__all__ = ['QuarantineUpdate', 'split']

# Items of one datagram, so that it fits a packet.
MAX_SUSPECTS = 32
MAX_SHARED = 16
MAX_ITEMS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineUpdate:
    """Facts and decisions; their order doesn't matter, nor does repetition.

    Attributes:
      crashes: Crashes, each perhaps with some of its suspects only.
      alive: Upstreams that have answered after they seemed to have crashed, by
        key, with the loop time.
      completed: Traits whose requests were answered or outlived a crash, by
        fingerprint, with the loop time at which they began.
      entries: Traits whose requests are, or were, in quarantine.
      sender: Name of the sending gateway; set on receipt.
    """

    crashes: tuple[evidence.Crash, ...] = ()
    alive: tuple[tuple[str, float], ...] = ()
    completed: tuple[tuple[bytes, float], ...] = ()
    entries: tuple[table.Entry, ...] = ()
    sender: str = dataclasses.field(default='', compare=False)


def split(
    crashes: Iterable[evidence.Crash],
    alive: Iterable[tuple[str, float]],
    completed: Iterable[tuple[bytes, float]],
    entries: Iterable[table.Entry],
) -> Iterator[QuarantineUpdate]:
    """Yields updates that fit a datagram each; entries first.

    Gateways of the previous release know whole requests only, and reject a
    datagram with anything else. So the two come in separate ones.
    """
    for batch in _separately(entries, MAX_ITEMS, _is_legacy_entry):
        yield QuarantineUpdate(entries=batch)
    for batch in _batches(alive, MAX_ITEMS):
        yield QuarantineUpdate(alive=batch)
    for batch in _separately(
        completed, MAX_ITEMS, lambda one: trait.identifies_request(one[0])
    ):
        yield QuarantineUpdate(completed=batch)
    for crash in crashes:
        for batch in _separately(
            crash.suspects.values(), MAX_SUSPECTS, lambda one: not one.shared
        ):
            yield from _with_suspects(crash, batch)


def _is_legacy_entry(entry: table.Entry) -> bool:
    return trait.identifies_request(entry.fingerprint) and not entry.companions


def _with_suspects(
    crash: evidence.Crash, suspects: Iterable[evidence.Suspect]
) -> Iterator[QuarantineUpdate]:
    """Yields a crash with some of its suspects, by `MAX_SHARED` traits."""
    pieces = (
        dataclasses.replace(one, shared=frozenset(batch))
        for one in suspects
        for batch in _batches(sorted(one.shared), MAX_SHARED) or [()]
    )
    found: list[evidence.Suspect] = []
    for piece in pieces:
        shared = sum(len(one.shared) for one in found) + len(piece.shared)
        is_repeated = any(one.fingerprint == piece.fingerprint for one in found)
        if found and (shared > MAX_SHARED or is_repeated):
            yield _with_pieces(crash, found)
            found = []
        found.append(piece)
    yield _with_pieces(crash, found)


def _with_pieces(
    crash: evidence.Crash, found: list[evidence.Suspect]
) -> QuarantineUpdate:
    by_fingerprint = {one.fingerprint: one for one in found}
    part = dataclasses.replace(crash, suspects=by_fingerprint)
    return QuarantineUpdate(crashes=(part,))


def _separately(
    items: Iterable, size: int, is_legacy: Callable[[Any], bool]
) -> Iterator[tuple]:
    found = list(items)
    yield from _batches(filter(is_legacy, found), size)
    yield from _batches(itertools.filterfalse(is_legacy, found), size)


def _batches(items: Iterable, size: int) -> list[tuple]:
    iterator = iter(items)
    return list(iter(lambda: tuple(itertools.islice(iterator, size)), ()))
