"""The state that a gateway publishes, and its encoding in a datagram."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import usage as usage_lib
from quetzalsill_gateway.peers import frame

if TYPE_CHECKING:
    from quetzalsill_gateway.stream import link_queue

__all__ = ['State', 'decode', 'encode']

# A larger value comes from a faulty sender.
MAX_FAILURES = 1000.0
# Names in one datagram; more than one gateway works with.
MAX_NAMES = 4096


@dataclasses.dataclass(slots=True, frozen=True)
class State:
    """The state of a gateway: in full, or what has changed.

    Attributes:
      node: Name of the gateway.
      incarnation: Drawn at random by each process.
      sequence: Grows with each datagram of a process.
      usage: Usage of engines by this gateway, by key of the upstream.
      leaving: Keys of upstreams that it knows to be leaving; in a delta, those
        that it has not sent before.
      waiting: Tokens that wait at this gateway, by service and rank.
      moving: Runs that it still has to move away from leaving engines.
      is_store_unavailable: Whether the store doesn't respond to it.
      is_full: Whether upstreams missing from `usage` are unused. In a delta,
        their usage is unchanged instead; all other attributes but `leaving`
        are always complete.
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
    """Returns the datagram for a state."""
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
      error.PeerError: The fields are malformed.
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
        raise error.PeerError(f'malformed state: {exc!r}') from exc


def _usage(entry: list[Any]) -> usage_lib.Usage:
    *counts, failures = entry
    memory, prefill, runs, backup = (
        frame.bounded_count(count) for count in counts
    )
    failures = min(MAX_FAILURES, max(0.0, float(failures)))
    return usage_lib.Usage(memory, prefill, runs, backup, failures)


def _sizes(entry: dict[str, Any]) -> dict[str, int]:
    return {
        str(name): frame.bounded_count(tokens) for name, tokens in entry.items()
    }


def _ranks(entry: dict[int, Any]) -> dict[int, int]:
    return {
        int(rank): frame.bounded_count(tokens) for rank, tokens in entry.items()
    }
