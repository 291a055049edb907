"""Queued and running attempts of the upstream."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from quetzalsill_sidecar.queue import headroom as headroom_lib
from quetzalsill_sidecar.queue import lengths as lengths_lib
from quetzalsill_sidecar.queue import policy

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ['Schedule']

SMOOTHING_FACTOR = 0.1
MEDIAN = 0.5


class Schedule:
    """Queue and running attempts of one upstream.

    The attempts that this sidecar started and ended are authoritative. The
    engine's report lags, so it only adds the memory that others hold there.

    Attributes:
      capacity_tokens: Total KV cache; 0 if unknown.
      foreign_tokens: KV cache in use that no attempt of this sidecar holds.
      headroom: Minimum fraction of the memory that is kept free for
        latency-sensitive work.
      lengths: Observed output lengths.
    """

    def __init__(
        self,
        order: policy.Order,
        admit: policy.Admit,
        max_running: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.capacity_tokens = 0
        self.foreign_tokens = 0
        self.headroom = 0.0
        self.lengths = lengths_lib.Lengths()
        self._order = order
        self._admit = admit
        self._max_running = max_running
        self._clock = clock
        self._waiting: dict[str, policy.Demand] = {}
        self._running: dict[str, policy.RunningAttempt] = {}
        self._service_s = 0.0
        self._blocked = False
        self._prompt_headroom = headroom_lib.Headroom()

    @property
    def queued(self) -> int:
        """Number of queued demands."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of running attempts."""
        return len(self._running)

    @property
    def used_tokens(self) -> int:
        """KV cache in use on the engine, in tokens."""
        own = sum(o.held_tokens for o in self._running.values())
        return own + self.foreign_tokens

    def set_policies(
        self,
        order: policy.Order,
        admit: policy.Admit,
        demand_of: Callable[[str], policy.Demand | None],
    ) -> None:
        """Replaces the policies, and the demand of each attempt.

        Args:
          order: An empty order, to which all queued demands are added.
          admit: Admission policy.
          demand_of: Returns the demand of an attempt under the active
            configuration, or None if the attempt is no longer known.
        """
        self._order = order
        self._admit = admit
        for attempt, demand in self._waiting.items():
            self._waiting[attempt] = demand_of(attempt) or demand
            order.push(self._waiting[attempt])
        for attempt, running_attempt in self._running.items():
            running_attempt.demand = (
                demand_of(attempt) or running_attempt.demand
            )

    def push(self, demand: policy.Demand) -> None:
        """Queues a demand."""
        demand.cost = self._cost(demand)
        self._waiting[demand.attempt] = demand
        self._order.push(demand)

    def remove(self, attempt: str) -> bool:
        """Removes a queued demand; False if it is not queued."""
        demand = self._waiting.pop(attempt, None)
        if demand is None:
            return False
        self._order.remove(demand)
        return True

    def start_admitted(self) -> Iterator[str]:
        """Yields the attempts that may start now, and marks each as running."""
        while (demand := self._next_admissible()) is not None:
            self._order.take(demand)
            del self._waiting[demand.attempt]
            self.mark_running(demand)
            yield demand.attempt

    def mark_running(self, demand: policy.Demand) -> None:
        """Records an attempt as running."""
        running_attempt = policy.RunningAttempt(demand, self._clock())
        self._running[demand.attempt] = running_attempt

    def produce(self, attempt: str, tokens: int) -> None:
        """Adds to the tokens produced by an attempt."""
        running_attempt = self._running.get(attempt)
        if running_attempt is not None:
            running_attempt.produced += tokens

    def release(self, attempt: str, *, whole: bool) -> None:
        """Records that an attempt has left the upstream.

        Args:
          attempt: Its id; an attempt that is not running is ignored.
          whole: Whether its response is complete, so that the length counts.
        """
        running_attempt = self._running.pop(attempt, None)
        if running_attempt is None:
            return
        now = self._clock()
        service_s = now - running_attempt.started
        self._service_s += (service_s - self._service_s) * (
            SMOOTHING_FACTOR if self._service_s else 1.0
        )
        if whole:
            demand = running_attempt.demand
            self.lengths.record(
                demand.model, demand.profile, running_attempt.produced, now
            )

    def expected_wait_s(self, rank: int) -> float:
        """Returns the expected wait of a demand arriving now at this rank.

        By Little's law, attempts end at a rate of running / service time.
        That doesn't hold for a burst that hasn't been offered to the engine
        yet: with a single attempt running, it would predict a long wait where
        there is none. So the wait is 0 unless admission held something back.
        """
        if not self._blocked:
            return 0.0
        now = self._clock()
        ahead = sum(d.rank(now) <= rank for d in self._waiting.values())
        if not ahead:
            return 0.0
        return ahead * self._service_s / max(1, len(self._running))

    def _next_admissible(self) -> policy.Demand | None:
        now = self._clock()
        engine_state = self._engine_state(now)
        self._blocked = False
        blocked = False
        for demand in self._order.heads(now):
            # A head that doesn't fit blocks those behind it, so that small
            # demands can't starve it; only demands that may use the headroom
            # can pass.
            if blocked and not demand.uses_headroom:
                continue
            if self._admit(engine_state, demand):
                return demand
            blocked = True
        self._blocked = blocked
        return None

    def _cost(self, demand: policy.Demand) -> int:
        """Returns the tokens that the demand is expected to hold at its end."""
        expected = self.lengths.remaining(
            demand.model, demand.profile, 0, MEDIAN
        )
        return demand.prompt_tokens + min(expected, demand.max_tokens)

    def _engine_state(self, now: float) -> policy.EngineState:
        held = sum(
            o.held_tokens
            for o in self._running.values()
            if o.demand.uses_headroom
        )
        self._prompt_headroom.note(held, now)
        minimum = self.headroom * self.capacity_tokens
        return policy.EngineState(
            now=now,
            capacity_tokens=self.capacity_tokens,
            foreign_tokens=self.foreign_tokens,
            reserved_tokens=max(
                minimum, self._prompt_headroom.reserve() - held
            ),
            max_running=self._max_running,
            running=list(self._running.values()),
            remaining=self.lengths.remaining,
        )
