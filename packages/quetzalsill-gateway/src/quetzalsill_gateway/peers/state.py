"""What one gateway tells the others of itself, and its form in a datagram."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import usage as usage_lib
from quetzalsill_gateway.peers import frame

if TYPE_CHECKING:
    from quetzalsill_gateway.stream import link_queue

__all__ = ['State', 'decode', 'encode']

# A greater figure is a fault of its sender's.
MAX_FAILURES = 1000.0
# Names in one datagram; more than a gateway works with.
MAX_NAMES = 4096


@dataclasses.dataclass(slots=True, frozen=True)
class State:
    """What a gateway tells: all of it, or what has changed.

    Attributes:
      node: Name of the gateway.
      incarnation: Drawn by each process anew.
      sequence: Grows with each datagram of a process.
      usage: By upstream id.
      leaving: Ids of upstreams that it knows to leave; if it is not whole,
      those
        that it did not tell of before.
      waiting: Tokens that wait there, by service and rank.
      moving: Runs of leaving engines that it has still to move.
      is_store_unavailable: Whether the store does not answer it.
      is_full: Whether an upstream that `usage` does not name holds nothing of
        it; else it holds what was told before. The rest is always whole.
    """

    node: str
    incarnation: int
    sequence: int
    usage: dict[str, usage_lib.Usage]
    leaving: tuple[str, ...] = ()
    waiting: usage_lib.WaitingTokens = dataclasses.field(default_factory=dict)
    moving: link_queue.PendingMoves = dataclasses.field(default_factory=dict)
    is_store_unavailable: bool = False
    is_full: bool = True


def encode(state: State) -> bytes:
    """Returns the datagram of a state."""
    usage = {
        upstream: (
            entry.memory_tokens,
            entry.prefill_tokens,
            entry.runs,
            entry.backup_tokens,
            entry.failures,
        )
        for upstream, entry in state.usage.items()
    }
    return frame.pack(
        frame.Kind.STATE,
        (
            state.node,
            state.incarnation,
            state.sequence,
            usage,
            state.leaving,
            state.waiting,
            state.moving,
            state.is_store_unavailable,
            state.is_full,
        ),
    )


def decode(fields: list[Any]) -> State:
    """Returns the state in the fields of a datagram.

    Raises:
      error.PeerError: They hold none.
    """
    try:
        node, incarnation, sequence, usage, leaving, waiting, *rest = fields
        moving, is_store_unavailable, is_full = rest
        if len(usage) + len(leaving) + len(moving) > MAX_NAMES:
            raise ValueError('too many names')
        return State(
            str(node),
            frame.bounded_count(incarnation),
            frame.bounded_count(sequence),
            {str(name): _usage(entry) for name, entry in usage.items()},
            tuple(str(name) for name in leaving),
            {str(name): _ranks(entry) for name, entry in waiting.items()},
            {str(name): _sizes(entry) for name, entry in moving.items()},
            bool(is_store_unavailable),
            bool(is_full),
        )
    except frame.DECODE_ERRORS as exc:
        raise error.PeerError(f'no state: {exc!r}') from exc


def _usage(entry: list[Any]) -> usage_lib.Usage:
    *counts, failures = entry
    memory, reading, runs, copied = (
        frame.bounded_count(figure) for figure in counts
    )
    failures = min(MAX_FAILURES, max(0.0, float(failures)))
    return usage_lib.Usage(memory, reading, runs, copied, failures)


def _sizes(entry: dict[str, Any]) -> dict[str, int]:
    return {
        str(name): frame.bounded_count(tokens) for name, tokens in entry.items()
    }


def _ranks(entry: dict[int, Any]) -> dict[int, int]:
    return {
        int(rank): frame.bounded_count(tokens) for rank, tokens in entry.items()
    }
