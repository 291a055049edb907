"""Generations by request id, kept for resumed streams, and their audit."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from quetzalsill_dev.engine_standin import model

__all__ = ['Generation', 'Generations', 'State']

MAX_ENDED = 2000
MAX_FORBIDDEN = 20_000


class State(enum.StrEnum):
    """State of a generation."""

    LIVE = 'live'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(slots=True, eq=False)
class Generation:
    """A generation and its events.

    Attributes:
      request_id: Id from the caller.
      number: Number of the generation, which is part of each token.
      prompt_digest: Digest of the prompt, for the audit.
      sequence: Its sequence in the batch.
      finish_reason: Reason for its end: `stop` or `length`.
      write_event: Encodes the event of a token, given its index and whether it
        is the last one.
      events: Server-sent events so far, one for each token.
      state: Its current state.
      times: Wall-clock times of `accepted`, `started` and `ended`.
    """

    request_id: str
    number: int
    prompt_digest: str
    sequence: model.Sequence
    finish_reason: str
    write_event: Callable[[int, bool], bytes]
    events: list[bytes] = dataclasses.field(default_factory=list)
    state: State = State.LIVE
    times: dict[str, float] = dataclasses.field(default_factory=dict)
    _changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def mark(self, what: str) -> None:
        """Records the current time for `what`, unless it has one."""
        self.times.setdefault(what, time.time())

    def add(self, index: int, last: bool) -> None:
        """Adds the event of a token and notifies the readers."""
        self.events.append(self.write_event(index, last))
        if last:
            self.end(State.FINISHED)
        else:
            self._notify_readers()

    def end(self, state: State) -> None:
        """Ends the generation and its readers."""
        self.state = state
        self.mark('ended')
        self._notify_readers()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def read(self, start: int) -> AsyncIterator[bytes]:
        """Yields the events from `start` on, joining all that are available."""
        position = start
        while True:
            ready = self.events[position:]
            if ready:
                position += len(ready)
                yield b''.join(ready)
            elif self.state is State.LIVE:
                await self._changed.wait()
            else:
                return

    def audit(self) -> dict[str, Any]:
        """Returns its audit entry; times that were not reached are None."""
        cancelled = self.state is State.CANCELLED
        return {
            'request_id': self.request_id,
            'generation': self.number,
            'prompt_digest': self.prompt_digest,
            'accepted': self.times.get('accepted'),
            'started': self.times.get('started'),
            'finished': None if cancelled else self.times.get('ended'),
            'cancelled': self.times.get('ended') if cancelled else None,
            'tokens': len(self.events),
            'preemptions': self.sequence.preemptions,
        }


class Generations:
    """All generations of an engine; of old ones only the audit entry."""

    def __init__(self) -> None:
        self._by_request: dict[str, Generation] = {}
        self._by_sequence: dict[model.Sequence, Generation] = {}
        self._ended: collections.deque[Generation] = collections.deque()
        self._forbidden: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._audit: dict[str, dict[str, Any]] = {}

    def get(self, request_id: str) -> Generation | None:
        """Returns a generation, or None if its events aren't kept."""
        return self._by_request.get(request_id)

    def of(self, seq: model.Sequence) -> Generation | None:
        """Returns the live generation of a sequence; None once it has ended."""
        return self._by_sequence.get(seq)

    def was_seen(self, request_id: str) -> bool:
        """Whether a generation was ever started with this id."""
        return request_id in self._by_request or request_id in self._audit

    def is_forbidden(self, request_id: str) -> bool:
        """Whether the id was cancelled before its request was received."""
        return request_id in self._forbidden

    def forbid(self, request_id: str) -> None:
        """Forbids the id from now on."""
        self._forbidden[request_id] = None
        if len(self._forbidden) > MAX_FORBIDDEN:
            self._forbidden.popitem(last=False)

    def add(self, generation: Generation) -> None:
        """Adds a new generation."""
        generation.mark('accepted')
        self._by_request[generation.request_id] = generation
        self._by_sequence[generation.sequence] = generation

    def retire(self, generation: Generation) -> None:
        """Keeps an ended generation until `MAX_ENDED`, then its audit entry."""
        del self._by_sequence[generation.sequence]
        self._ended.append(generation)
        if len(self._ended) > MAX_ENDED:
            oldest = self._ended.popleft()
            self._audit[oldest.request_id] = oldest.audit()
            del self._by_request[oldest.request_id]

    def audit(self) -> list[dict[str, Any]]:
        """Returns the audit entries of all generations, the oldest first."""
        kept = [generation.audit() for generation in self._by_request.values()]
        return [*self._audit.values(), *kept]
