"""Updates between gateways about requests that crash upstreams."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway.quarantine import evidence, table

__all__ = ['QuarantineUpdate', 'split']

# Items of one datagram, so that it fits a packet or two.
MAX_SUSPECTS = 32
MAX_ITEMS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineUpdate:
    """Facts and decisions; their order doesn't matter, nor does repetition.

    Attributes:
      crashes: Crashes, each perhaps with some of its suspects only.
      alive: Upstreams that have answered after they seemed to have crashed, by
        key, with the loop time.
      completed: Requests that were answered, by fingerprint, with the loop
        time.
      entries: Requests that are, or were, in quarantine.
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
    """Yields updates that fit a datagram each; entries first."""
    for batch in _batches(entries, MAX_ITEMS):
        yield QuarantineUpdate(entries=batch)
    for batch in _batches(alive, MAX_ITEMS):
        yield QuarantineUpdate(alive=batch)
    for batch in _batches(completed, MAX_ITEMS):
        yield QuarantineUpdate(completed=batch)
    for crash in crashes:
        for batch in _batches(crash.suspects.items(), MAX_SUSPECTS):
            part = dataclasses.replace(crash, suspects=dict(batch))
            yield QuarantineUpdate(crashes=(part,))


def _batches(items: Iterable, size: int) -> Iterator[tuple]:
    iterator = iter(items)
    while batch := tuple(itertools.islice(iterator, size)):
        yield batch
