"""The engine: a batch driven by a clock, and a record of its runs."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import itertools
import secrets
import time
from typing import TYPE_CHECKING, Any

from quetzalsill_dev.engine_standin import (
    completion,
    generation,
    model,
    orders,
    report,
    switches,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = [
    'DuplicateRequestError',
    'Engine',
    'EngineOptions',
    'ForbiddenRequestError',
    'ModelNotLoadedError',
]

DIGEST_LENGTH = 16
NUMBERS_PER_ENGINE = 10**6
SMOOTHING_FACTOR = 0.1


class ModelNotLoadedError(Exception):
    """The model or adapter is not loaded."""


class DuplicateRequestError(Exception):
    """A generation was already started with this id."""


class ForbiddenRequestError(Exception):
    """The id was cancelled before the request was received."""


@dataclasses.dataclass(slots=True)
class EngineOptions:
    """Options of an engine.

    Attributes:
      capacity_tokens: Size of the KV cache, in tokens.
      max_batch: Maximum number of sequences in a batch.
      costs: Costs of a step.
      models: Models that are loaded at the start.
      checks_fence: Whether orders with a stale fencing token are refused.
      seed: Seed of the lengths of responses.
    """

    capacity_tokens: int = 20_000
    max_batch: int = 64
    costs: model.Costs = dataclasses.field(default_factory=model.Costs)
    models: list[str] = dataclasses.field(default_factory=list)
    checks_fence: bool = False
    seed: int = 0


class Engine:
    """A model engine.

    Attributes:
      incarnation: Id of this run of the engine.
      switch: Switches for its faults.
      orders: Executes orders and stores their results.
      cache_log: Cache events, which are published with a lag.
      refusals: Request ids that were refused as duplicate or forbidden.
    """

    def __init__(
        self,
        options: EngineOptions,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.incarnation = time.time_ns() // 1_000_000
        self.switch = switches.Switches()
        self.orders = orders.Orders(
            options.models, options.checks_fence, self.switch
        )
        self.cache_log = report.CacheLog(self.switch, clock)
        self.refusals: list[str] = []
        self._options = options
        self._clock = clock
        self._sleep = sleep
        self._load_log = report.LoadLog(self.switch, clock)
        self._generations = generation.Generations()
        # Numbers must differ between engines, or a response assembled from two
        # engines could look like a single generation.
        first = secrets.randbits(28) * NUMBERS_PER_ENGINE
        self._numbers = itertools.count(first + 1)
        self._token_s = options.costs.base_s
        self._work_available = asyncio.Event()
        self._batch = model.Batch(
            options.capacity_tokens,
            options.max_batch,
            options.costs,
            self.cache_log.add,
        )
        self._record_load()

    def start(self, req: completion.CompletionRequest) -> generation.Generation:
        """Queues a generation.

        Raises:
          ModelNotLoadedError: Its model or adapter is not loaded.
          DuplicateRequestError: The id was already used.
          ForbiddenRequestError: The id was cancelled before.
          model.PromptTooLongError: The prompt doesn't fit into the KV cache.
        """
        self._check(req)
        length = req.length(self._options.seed)
        limit = req.max_tokens or length
        seq = self._batch.submit(req.prompt, min(length, limit), req.priority)
        is_complete = seq.target == length
        number = next(self._numbers)
        digest = hashlib.sha256(req.prompt.encode(errors='surrogatepass'))
        started = generation.Generation(
            request_id=req.request_id,
            number=number,
            prompt_digest=digest.hexdigest()[:DIGEST_LENGTH],
            sequence=seq,
            finish_reason='stop' if is_complete else 'length',
            write_event=completion.event_writer(
                req, number, 'stop' if is_complete else 'length'
            ),
        )
        self._generations.add(started)
        self._record_load()
        self._work_available.set()
        return started

    def _check(self, req: completion.CompletionRequest) -> None:
        request_id = req.request_id
        if self._generations.is_forbidden(request_id):
            self.refusals.append(request_id)
            raise ForbiddenRequestError(request_id)
        if self._generations.was_seen(request_id):
            self.refusals.append(request_id)
            raise DuplicateRequestError(request_id)
        if req.model not in self.orders.models:
            raise ModelNotLoadedError(req.model)
        if req.adapter and req.adapter not in self.orders.adapters:
            raise ModelNotLoadedError(req.adapter)

    def get(self, request_id: str) -> generation.Generation | None:
        """Returns the generation of a request, or None if it isn't kept."""
        return self._generations.get(request_id)

    def cancel(self, request_id: str) -> str:
        """Cancels a generation, or forbids its start; returns its state."""
        found = self._generations.get(request_id)
        if found is None:
            if self._generations.was_seen(request_id):
                return generation.State.FINISHED
            self._generations.forbid(request_id)
            return 'forbidden'
        if found.state is generation.State.LIVE:
            self._batch.cancel(found.sequence)
            found.end(generation.State.CANCELLED)
            self._generations.retire(found)
            self._record_load()
        return found.state

    async def run(self) -> None:
        """Executes steps until it is cancelled."""
        due = self._clock()
        while True:
            step = None if self.switch.stall else self._batch.step()
            if step is None:
                self._work_available.clear()
                await self._work_available.wait()
                due = self._clock()
                continue
            self._mark_started(step)
            duration_s = step.duration_s * self.switch.slow
            due = max(due, self._clock() - duration_s) + duration_s
            await self._sleep(due - self._clock())
            self._publish(step, duration_s)

    def _mark_started(self, step: model.Step) -> None:
        for seq in step.admitted:
            if found := self._generations.of(seq):
                found.mark('started')

    def _publish(self, step: model.Step, duration_s: float) -> None:
        """Publishes the tokens of a step once its time has elapsed."""
        for token in step.tokens:
            found = self._generations.of(token.sequence)
            # A sequence that was cancelled during the step has no generation.
            if found is None:
                continue
            found.add(token.index, token.last)
            if token.last:
                self._generations.retire(found)
        self._token_s += SMOOTHING_FACTOR * (duration_s - self._token_s)
        self._record_load()

    def set_switches(self, values: dict[str, Any]) -> None:
        """Sets switches by name; raises `switches.UnknownSwitchError`."""
        self.switch.update(values)
        self._work_available.set()

    def load(self) -> dict[str, Any]:
        """Returns the load report; only its load figures have a lag."""
        return self._load_log.read() | {
            'incarnation': self.incarnation,
            'capacity_tokens': self._batch.capacity_tokens,
            'leaving': self.switch.leaving,
            'models': sorted(self.orders.models),
            'adapters': sorted(self.orders.adapters),
            'role': self.orders.role,
            'fence': self.orders.fence,
        }

    def _record_load(self) -> None:
        self._load_log.add(
            {
                'running': len(self._batch.running),
                'waiting': len(self._batch.waiting),
                'used_tokens': self._batch.used_tokens,
                'preemptions': self._batch.preemptions,
                'token_ms': 1000 * self._token_s,
            }
        )

    def audit(self) -> dict[str, Any]:
        """Returns a record of all runs and orders."""
        return {
            'incarnation': self.incarnation,
            'runs': self._generations.audit(),
            'refusals': self.refusals,
            'orders': self.orders.history,
            'preemptions': self._batch.preemptions,
        }
