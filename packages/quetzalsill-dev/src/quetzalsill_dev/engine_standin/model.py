"""Model of continuous batching in a limited key-value memory, without I/O.

Each step, every running sequence makes one token, which takes one token of
memory. Waiting sequences join the batch by priority, then arrival, while
memory for their prompt is there. When the memory is full in mid-decode, the
newest sequence of the lowest priority is preempted: its memory is freed, it
waits again, and what it had made is computed again when it returns.

The caller of `Batch.step` lets the returned time pass, so the same model runs
in real time and in virtual time.
"""

from __future__ import annotations

import bisect
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_dev.engine_standin import prefix_cache

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['Batch', 'Costs', 'MadeToken', 'PromptTooLongError', 'Sequence',
           'Step']  # fmt: skip

WATERMARK = 0.01


class PromptTooLongError(ValueError):
    """The prompt alone would fill the memory."""


@dataclasses.dataclass(slots=True, frozen=True)
class Costs:
    """Time of a step, in seconds.

    Attributes:
      base_s: Time of a step with one sequence and empty memory.
      batch_part: Part of `base_s` that each running sequence adds.
      memory_part: Part of `base_s` that full memory adds.
      prefill_part: Part of `base_s` that each prompt token adds, if not
        cached, to the step in which its sequence joins.
    """

    base_s: float = 0.02
    batch_part: float = 0.01
    memory_part: float = 0.5
    prefill_part: float = 0.002


@dataclasses.dataclass(slots=True, eq=False)
class Sequence:
    """One generation on its way through the engine.

    Attributes:
      priority: 0 is served first.
      arrival: Number in order of arrival.
      blocks: Names of the prompt's shared blocks.
      own_prompt_tokens: Prompt tokens beyond the shared blocks.
      target: Tokens after which the sequence ends.
      made: Tokens made so far; kept over preemptions.
      preemptions: How often it was preempted.
      started: It has been in the batch.
    """

    priority: int
    arrival: int
    blocks: tuple[str, ...]
    own_prompt_tokens: int
    target: int
    made: int = 0
    preemptions: int = 0
    started: bool = False

    @property
    def own_tokens(self) -> int:
        """Memory that the sequence shares with no other."""
        return self.own_prompt_tokens + self.made

    @property
    def rank(self) -> tuple[int, int]:
        """Order of service, the least first."""
        return (self.priority, self.arrival)


@dataclasses.dataclass(slots=True, frozen=True)
class MadeToken:
    """A token of a step: its sequence, its index, and if it is the last."""

    sequence: Sequence
    index: int
    last: bool


@dataclasses.dataclass(slots=True)
class Step:
    """What one step did, and how long it takes in seconds."""

    duration_s: float
    tokens: list[MadeToken]
    admitted: list[Sequence]
    preempted: list[Sequence]


class Batch:
    """Waiting and running sequences and the memory they share.

    Attributes:
      capacity_tokens: Key-value memory in all.
      waiting: Sequences outside the batch, the next to join first.
      running: Sequences in the batch.
      preemptions: Preemptions since the start.
      costs: Time of a step.
    """

    def __init__(
        self,
        capacity_tokens: int,
        max_batch: int,
        costs: Costs,
        on_cache_event: Callable[[prefix_cache.CacheEvent], None] | None = None,
    ) -> None:
        self.capacity_tokens = capacity_tokens
        self.costs = costs
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.preemptions = 0
        self._max_batch = max_batch
        self._arrivals = 0
        self._own_tokens = 0
        self._cache = prefix_cache.PrefixCache(
            on_cache_event or (lambda event: None)
        )

    @property
    def used_tokens(self) -> int:
        """Memory of the running sequences, without what is only cached."""
        return self._own_tokens + self._cache.held_tokens

    @property
    def cached_tokens(self) -> int:
        """Memory of blocks that no running sequence holds."""
        return self._cache.idle_tokens

    def submit(self, prompt: str, target: int, priority: int) -> Sequence:
        """Queues a generation of `target` tokens.

        Its target is cut to what memory can hold with this sequence alone.

        Raises:
          PromptTooLongError: The prompt leaves no room for a token.
        """
        prompt_tokens = prefix_cache.count_tokens(prompt)
        room = self.capacity_tokens - prompt_tokens
        if room < 1:
            raise PromptTooLongError(f'{prompt_tokens} prompt tokens')
        blocks = tuple(prefix_cache.block_names(prompt))
        shared = len(blocks) * prefix_cache.BLOCK_TOKENS
        self._arrivals += 1
        seq = Sequence(
            priority=priority,
            arrival=self._arrivals,
            blocks=blocks,
            own_prompt_tokens=prompt_tokens - shared,
            target=max(min(target, room), 1),
        )
        self._enqueue(seq)
        return seq

    def cancel(self, seq: Sequence) -> None:
        """Ends a sequence early; nothing happens if it has ended."""
        if seq in self.running:
            self._leave(seq)
        elif seq in self.waiting:
            self.waiting.remove(seq)

    def step(self) -> Step | None:
        """Makes one token of each running sequence; None if there is none."""
        admitted, prefill_tokens = self._admit()
        if not self.running:
            return None
        preempted = self._make_room()
        duration_s = self._duration(prefill_tokens)
        tokens = [self._make_token(seq) for seq in self.running]
        for token in tokens:
            if token.last:
                self._leave(token.sequence)
        return Step(duration_s, tokens, admitted, preempted)

    def _enqueue(self, seq: Sequence) -> None:
        bisect.insort(self.waiting, seq, key=lambda waiting: waiting.rank)

    def _admit(self) -> tuple[list[Sequence], int]:
        """Lets waiting sequences join; also gives their prefill tokens."""
        admitted = []
        prefill_tokens = 0
        while self.waiting and self._fits(self.waiting[0]):
            seq = self.waiting.pop(0)
            prefill_tokens += self._join(seq)
            admitted.append(seq)
        return admitted, prefill_tokens

    def _fits(self, seq: Sequence) -> bool:
        """Whether `seq` may join.

        A small part of the memory stays free for the growth of those that
        run, or each newcomer would be preempted right away. An empty engine
        takes any sequence, so the queue always moves.
        """
        if not self.running:
            return True
        if len(self.running) >= self._max_batch:
            return False
        spare = int(self.capacity_tokens * WATERMARK) + len(self.running) + 1
        growth = self._cache.growth(seq.blocks) + seq.own_tokens
        return self.used_tokens + growth + spare <= self.capacity_tokens

    def _join(self, seq: Sequence) -> int:
        """Puts `seq` into the batch; gives the tokens to be computed."""
        hits = self._cache.hold(seq.blocks)
        self._own_tokens += seq.own_tokens
        self.running.append(seq)
        seq.started = True
        self._evict_for(0)
        missed = len(seq.blocks) - hits
        return missed * prefix_cache.BLOCK_TOKENS + seq.own_tokens

    def _make_room(self) -> list[Sequence]:
        """Preempts until each sequence that still runs can grow by one."""
        preempted = []
        while self.used_tokens + len(self.running) > self.capacity_tokens:
            seq = max(self.running, key=lambda running: running.rank)
            self._leave(seq)
            self._enqueue(seq)
            seq.preemptions += 1
            self.preemptions += 1
            preempted.append(seq)
        self._evict_for(len(self.running))
        return preempted

    def _make_token(self, seq: Sequence) -> MadeToken:
        index = seq.made
        seq.made += 1
        self._own_tokens += 1
        return MadeToken(seq, index, seq.made == seq.target)

    def _leave(self, seq: Sequence) -> None:
        self.running.remove(seq)
        self._own_tokens -= seq.own_tokens
        self._cache.release(seq.blocks)

    def _evict_for(self, tokens: int) -> None:
        free = self.capacity_tokens - self.used_tokens - tokens
        self._cache.shrink_idle(free)

    def _duration(self, prefill_tokens: int) -> float:
        costs = self.costs
        memory = self.used_tokens / self.capacity_tokens
        parts = (
            1
            + costs.batch_part * len(self.running)
            + costs.memory_part * memory
            + costs.prefill_part * prefill_tokens
        )
        return costs.base_s * parts
