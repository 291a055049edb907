"""What one gateway tells the others of itself, and its form in a datagram."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import held as held_lib
from quetzalsill_gateway.peers import frame

if TYPE_CHECKING:
    from quetzalsill_gateway.stream import link_queue

__all__ = ['State', 'decode', 'encode']

# A greater figure is a fault of its sender's.
MOST_FAILURES = 1000.0
# Names in one datagram; more than a gateway works with.
MOST_NAMES = 4096


@dataclasses.dataclass(slots=True, frozen=True)
class State:
    """What a gateway tells: all of it, or what has changed.

    Attributes:
      node: Name of the gateway.
      incarnation: Drawn by each process anew.
      number: Grows with each datagram of a process.
      held: By upstream id.
      leaving: Ids of upstreams that it knows to leave; if it is not whole,
      those
        that it did not tell of before.
      waiting: Tokens that wait there, by service and rank.
      moving: Runs of leaving engines that it has still to move.
      is_store_away: Whether the store does not answer it.
      is_whole: Whether an upstream that `held` does not name holds nothing of
        it; else it holds what was told before. The rest is always whole.
    """

    node: str
    incarnation: int
    number: int
    held: dict[str, held_lib.Held]
    leaving: tuple[str, ...] = ()
    waiting: held_lib.Waiting = dataclasses.field(default_factory=dict)
    moving: link_queue.PendingMoves = dataclasses.field(default_factory=dict)
    is_store_away: bool = False
    is_whole: bool = True


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
    return frame.pack(
        frame.Kind.STATE,
        (
            state.node,
            state.incarnation,
            state.number,
            held,
            state.leaving,
            state.waiting,
            state.moving,
            state.is_store_away,
            state.is_whole,
        ),
    )


def decode(fields: list[Any]) -> State:
    """Returns the state in the fields of a datagram.

    Raises:
      error.PeerError: They hold none.
    """
    try:
        node, incarnation, number, held, leaving, waiting, *rest = fields
        moving, is_store_away, is_whole = rest
        if len(held) + len(leaving) + len(moving) > MOST_NAMES:
            raise ValueError('too many names')
        return State(
            str(node),
            frame.count(incarnation),
            frame.count(number),
            {str(name): _held(entry) for name, entry in held.items()},
            tuple(str(name) for name in leaving),
            {str(name): _ranks(entry) for name, entry in waiting.items()},
            {str(name): _sizes(entry) for name, entry in moving.items()},
            bool(is_store_away),
            bool(is_whole),
        )
    except frame.MALFORMED as exc:
        raise error.PeerError(f'no state: {exc!r}') from exc


def _held(entry: list[Any]) -> held_lib.Held:
    *counts, failures = entry
    memory, reading, runs, copied = (frame.count(figure) for figure in counts)
    failures = min(MOST_FAILURES, max(0.0, float(failures)))
    return held_lib.Held(memory, reading, runs, copied, failures)


def _sizes(entry: dict[str, Any]) -> dict[str, int]:
    return {str(name): frame.count(tokens) for name, tokens in entry.items()}


def _ranks(entry: dict[int, Any]) -> dict[int, int]:
    return {int(rank): frame.count(tokens) for rank, tokens in entry.items()}
