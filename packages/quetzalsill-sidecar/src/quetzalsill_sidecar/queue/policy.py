"""Interfaces and data types of the queue's policy plug-ins."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

__all__ = ['Admit', 'Demand', 'EngineState', 'Order', 'RunningAttempt']


@dataclasses.dataclass(slots=True, eq=False)
class Demand:
    """Resources that an attempt requests, and its place in the order.

    Attributes:
      attempt: Id of the attempt.
      account: Client account.
      profile: Profile name.
      model: Model name.
      arrived: Time of arrival (monotonic seconds).
      weight: Weight of its account.
      priority: Priority of its profile; 0 is served first.
      ageing_s: Wait after which it is ordered as if of priority 0.
      uses_headroom: Whether it may use the memory kept free for
        latency-sensitive work.
      quantile: Quantile of the output length that memory is planned for.
      prompt_tokens: Number of tokens of its prompt.
      max_tokens: Limit on its generated tokens.
      cost: Tokens charged to its account; set when it is queued.
    """

    attempt: str
    account: str = ''
    profile: str = ''
    model: str = ''
    arrived: float = 0.0
    weight: float = 1.0
    priority: int = 5
    ageing_s: float = 60.0
    uses_headroom: bool = False
    quantile: float = 0.8
    prompt_tokens: int = 0
    max_tokens: int = 1
    cost: int = 1

    def rank(self, now: float) -> int:
        """Returns its priority after ageing."""
        aged = now - self.arrived >= self.ageing_s
        return 0 if aged else self.priority


@dataclasses.dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt that runs on the upstream.

    Attributes:
      demand: Its demand.
      started: Time at which it was admitted (monotonic seconds).
      produced: Tokens received so far.
    """

    demand: Demand
    started: float
    produced: int = 0

    @property
    def held_tokens(self) -> int:
        """KV cache that it currently holds, in tokens."""
        return self.demand.prompt_tokens + self.produced


@dataclasses.dataclass(slots=True)
class EngineState:
    """State of the upstream that is passed to an admission policy.

    Attributes:
      now: Current time (monotonic seconds).
      capacity_tokens: Total KV cache; 0 if unknown.
      foreign_tokens: KV cache in use that no attempt of this sidecar holds.
      reserved_tokens: KV cache to keep free for latency-sensitive work.
      max_running: Limit on concurrent attempts.
      running: Attempts on the upstream.
      remaining: Returns a quantile of the remaining tokens, given model,
        profile, tokens produced and quantile.
    """

    now: float
    capacity_tokens: int
    foreign_tokens: int
    reserved_tokens: float
    max_running: int
    running: Sequence[RunningAttempt]
    remaining: Callable[[str, str, int, float], int]


class Order(Protocol):
    """Order of a queue; a fairness plug-in is a function that returns one."""

    def push(self, demand: Demand) -> None:
        """Queues a demand."""

    def heads(self, now: float) -> Iterator[Demand]:
        """Yields the demands that may start next, in order of service."""

    def take(self, demand: Demand) -> None:
        """Removes a head that starts and charges its account."""

    def remove(self, demand: Demand) -> None:
        """Removes a withdrawn demand."""

    def __len__(self) -> int:
        """Returns the number of queued demands."""


if TYPE_CHECKING:
    # An admission plug-in returns whether the demand may start now.
    Admit = Callable[[EngineState, Demand], bool]
else:
    Admit = object
