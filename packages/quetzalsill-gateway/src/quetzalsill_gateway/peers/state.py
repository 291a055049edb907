"""What one gateway tells the others, and its form in a datagram."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgpack

from quetzalsill_gateway import error

if TYPE_CHECKING:
    from quetzalsill_gateway.stream import link_queue

__all__ = ['Held', 'State', 'Waiting', 'decode', 'encode']

# Tokens that wait for engines, by service and rank.
Waiting = dict[str, dict[int, int]]

VERSION = 6
# A greater figure is a fault of its sender's.
MOST_FAILURES = 1000.0
MALFORMED = (ValueError, TypeError, AttributeError, msgpack.UnpackException)


@dataclasses.dataclass(slots=True, frozen=True)
class Held:
    """What the generations of one gateway hold at one engine.

    Attributes:
      memory_tokens: Memory that they are expected to need at their ends.
      reading_tokens: Prompt tokens that are not read yet.
      runs: How many they are.
      copied_tokens: Memory that backups are expected to need.
      failures: Failures of its calls of late.
    """

    memory_tokens: int
    reading_tokens: int
    runs: int
    copied_tokens: int = 0
    failures: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class State:
    """Everything that a gateway tells; each datagram holds all of it.

    Attributes:
      node: Name of the gateway.
      incarnation: Drawn by each process anew.
      number: Grows with each datagram of a process.
      held: By upstream id.
      leaving: Ids of upstreams that it knows to leave.
      waiting: Tokens that wait there, by service and rank.
      moving: Runs of leaving engines that it has still to move.
      is_store_away: Whether the store does not answer it.
      membership: Version up to which it knows the upstreams.
    """

    node: str
    incarnation: int
    number: int
    held: dict[str, Held]
    leaving: tuple[str, ...] = ()
    waiting: Waiting = dataclasses.field(default_factory=dict)
    moving: link_queue.Moving = dataclasses.field(default_factory=dict)
    is_store_away: bool = False
    membership: int = 0


def encode(state: State) -> bytes:
    """Returns the datagram of a state."""
    held = {
        upstream: (
            entry.memory_tokens,
            entry.reading_tokens,
            entry.runs,
            entry.copied_tokens,
            entry.failures,
        )
        for upstream, entry in state.held.items()
    }
    head = (VERSION, state.node, state.incarnation, state.number)
    return msgpack.packb(
        (
            *head,
            held,
            state.leaving,
            state.waiting,
            state.moving,
            state.is_store_away,
            state.membership,
        )
    )


def decode(data: bytes) -> State:
    """Returns the state in a datagram.

    Raises:
      error.PeerError: It is none, or of another version.
    """
    try:
        fields = msgpack.unpackb(data, strict_map_key=False)
        version, node, incarnation, number, held, leaving, waiting, *rest = (
            fields
        )
        moving, is_store_away, membership = rest
        if version != VERSION:
            raise error.PeerError(f'version {version}, not {VERSION}')
        return State(
            str(node),
            int(incarnation),
            int(number),
            {str(name): _held(entry) for name, entry in held.items()},
            tuple(str(name) for name in leaving),
            {str(name): _ranks(entry) for name, entry in waiting.items()},
            {str(name): _sizes(entry) for name, entry in moving.items()},
            bool(is_store_away),
            int(membership),
        )
    except (
        ValueError,
        TypeError,
        AttributeError,
        msgpack.UnpackException,
    ) as exc:
        raise error.PeerError(f'no state: {exc!r}') from exc


def _held(entry: list[int]) -> Held:
    *counts, failures = entry
    memory, reading, runs, copied = (max(0, int(count)) for count in counts)
    failures = min(MOST_FAILURES, max(0.0, float(failures)))
    return Held(memory, reading, runs, copied, failures)


def _sizes(entry: dict[str, int]) -> dict[str, int]:
    return {str(name): max(0, int(tokens)) for name, tokens in entry.items()}


def _ranks(entry: dict[int, int]) -> dict[int, int]:
    return {int(rank): max(0, int(tokens)) for rank, tokens in entry.items()}
