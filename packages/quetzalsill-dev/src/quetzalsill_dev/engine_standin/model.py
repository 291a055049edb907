"""Model of continuous batching with a limited KV cache, without I/O.

In each step, every running sequence generates one token, which occupies one
token of the KV cache. Waiting sequences join the batch by priority, then
arrival, as long as there is space for their prompt. When the cache is full
during decoding, the newest sequence of the lowest priority is preempted: its
space is freed, it waits again, and its tokens are recomputed when it rejoins.

The caller of `Batch.step` waits for the returned duration, so that the model
runs in real or virtual time.
"""

from __future__ import annotations

import bisect
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_dev.engine_standin import prefix_cache

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['Batch', 'Costs', 'GeneratedToken', 'PromptTooLongError', 'Sequence',
           'Step']  # fmt: skip

WATERMARK = 0.01


class PromptTooLongError(ValueError):
    """The prompt alone would fill the KV cache."""


@dataclasses.dataclass(slots=True, frozen=True)
class Costs:
    """Costs that make up the duration of a step.

    Attributes:
      base_s: Duration of a step with one sequence and an empty KV cache, in
        seconds.
      batch_part: Fraction of `base_s` added by each running sequence.
      memory_part: Fraction of `base_s` added by a full KV cache.
      prefill_part: Fraction of `base_s` added by each uncached prompt token to
        the step in which its sequence joins.
    """

    base_s: float = 0.02
    batch_part: float = 0.01
    memory_part: float = 0.5
    prefill_part: float = 0.002


@dataclasses.dataclass(slots=True, eq=False)
class Sequence:
    """A generation in the engine.

    Attributes:
      priority: 0 is the highest priority.
      arrival: Number in order of arrival.
      blocks: Names of the prompt's shared blocks.
      own_prompt_tokens: Prompt tokens after the shared blocks.
      target: Number of tokens after which the sequence ends.
      generated: Number of tokens generated so far, across preemptions.
      preemptions: Number of times that it was preempted.
      started: Whether it has been in the batch.
    """

    priority: int
    arrival: int
    blocks: tuple[str, ...]
    own_prompt_tokens: int
    target: int
    generated: int = 0
    preemptions: int = 0
    started: bool = False

    @property
    def own_tokens(self) -> int:
        """Tokens in the KV cache that it doesn't share with other sequences."""
        return self.own_prompt_tokens + self.generated

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key of the service order, lowest first."""
        return (self.priority, self.arrival)


@dataclasses.dataclass(slots=True, frozen=True)
class GeneratedToken:
    """A generated token: its sequence, its index, whether it is the last."""

    sequence: Sequence
    index: int
    last: bool


@dataclasses.dataclass(slots=True)
class Step:
    """Results of a step and its duration in seconds."""

    duration_s: float
    tokens: list[GeneratedToken]
    admitted: list[Sequence]
    preempted: list[Sequence]


class Batch:
    """Waiting and running sequences and their KV cache.

    Attributes:
      capacity_tokens: Size of the KV cache, in tokens.
      waiting: Sequences outside the batch, the next to join first.
      running: Sequences in the batch.
      preemptions: Number of preemptions since the start.
      costs: Costs of a step.
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
        """Tokens held by running sequences, without idle cached blocks."""
        return self._own_tokens + self._cache.held_tokens

    @property
    def cached_tokens(self) -> int:
        """Tokens of cached blocks that no running sequence holds."""
        return self._cache.idle_tokens

    def submit(self, prompt: str, target: int, priority: int) -> Sequence:
        """Queues a generation of `target` tokens.

        The target is reduced if the KV cache can't hold it even without other
        sequences.

        Raises:
          PromptTooLongError: The prompt leaves no space for a token.
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
        """Ends a sequence early; does nothing if it has ended."""
        if seq in self.running:
            self._remove(seq)
        elif seq in self.waiting:
            self.waiting.remove(seq)

    def step(self) -> Step | None:
        """Generates a token for each running sequence; None if none runs."""
        admitted, prefill_tokens = self._admit()
        if not self.running:
            return None
        preempted = self._preempt()
        duration_s = self._duration(prefill_tokens)
        tokens = [self._generate_token(seq) for seq in self.running]
        for token in tokens:
            if token.last:
                self._remove(token.sequence)
        return Step(duration_s, tokens, admitted, preempted)

    def _enqueue(self, seq: Sequence) -> None:
        bisect.insort(self.waiting, seq, key=lambda waiting: waiting.rank)

    def _admit(self) -> tuple[list[Sequence], int]:
        """Adds waiting sequences; also returns the tokens to prefill."""
        admitted = []
        prefill_tokens = 0
        while self.waiting and self._fits(self.waiting[0]):
            seq = self.waiting.pop(0)
            prefill_tokens += self._join(seq)
            admitted.append(seq)
        return admitted, prefill_tokens

    def _fits(self, seq: Sequence) -> bool:
        """Whether `seq` may join the batch.

        A small part of the KV cache stays free for the growth of the running
        sequences; otherwise each new one would be preempted immediately. An
        empty engine accepts any sequence, so that the queue can't block.
        """
        if not self.running:
            return True
        if len(self.running) >= self._max_batch:
            return False
        spare = int(self.capacity_tokens * WATERMARK) + len(self.running) + 1
        growth = self._cache.growth(seq.blocks) + seq.own_tokens
        return self.used_tokens + growth + spare <= self.capacity_tokens

    def _join(self, seq: Sequence) -> int:
        """Adds `seq` to the batch; returns the number of tokens to prefill."""
        hits = self._cache.hold(seq.blocks)
        self._own_tokens += seq.own_tokens
        self.running.append(seq)
        seq.started = True
        self._evict_for(0)
        missed = len(seq.blocks) - hits
        return missed * prefix_cache.BLOCK_TOKENS + seq.own_tokens

    def _preempt(self) -> list[Sequence]:
        """Preempts sequences until each remaining one can grow by a token."""
        preempted = []
        while self.used_tokens + len(self.running) > self.capacity_tokens:
            seq = max(self.running, key=lambda running: running.rank)
            self._remove(seq)
            self._enqueue(seq)
            seq.preemptions += 1
            self.preemptions += 1
            preempted.append(seq)
        self._evict_for(len(self.running))
        return preempted

    def _generate_token(self, seq: Sequence) -> GeneratedToken:
        index = seq.generated
        seq.generated += 1
        self._own_tokens += 1
        return GeneratedToken(seq, index, seq.generated == seq.target)

    def _remove(self, seq: Sequence) -> None:
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
