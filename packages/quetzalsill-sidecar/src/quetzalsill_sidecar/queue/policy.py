"""What the policy plug-ins of the queue are given and give back."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

__all__ = ['Admit', 'Demand', 'EngineState', 'Order', 'RunningAttempt']


@dataclasses.dataclass(slots=True, eq=False)
class Demand:
    """What a waiting attempt asks of the upstream.

    Attributes:
      attempt: Id of the attempt.
      account: Client account.
      profile: Profile name.
      model: Model name.
      arrived: When it came (monotonic seconds).
      weight: Share of its account.
      priority: Priority of its profile; 0 is served first.
      ageing_s: Wait after which it is ordered as if of priority 0.
      uses_headroom: It may use the memory kept free for prompt work.
      quantile: Quantile of the length that memory is planned for.
      prompt_tokens: Tokens of its prompt.
      max_tokens: Bound on its generated tokens.
      cost: Tokens that its account is charged; set when it is queued.
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
        """Priority once ageing is counted in."""
        aged = now - self.arrived >= self.ageing_s
        return 0 if aged else self.priority


@dataclasses.dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt on the upstream.

    Attributes:
      demand: What it asked.
      started: When it was handed over (monotonic seconds).
      produced: Tokens received so far.
    """

    demand: Demand
    started: float
    produced: int = 0

    @property
    def held_tokens(self) -> int:
        """Key-value memory that it holds now, in tokens."""
        return self.demand.prompt_tokens + self.produced


@dataclasses.dataclass(slots=True)
class EngineState:
    """What an admission policy may look at.

    Attributes:
      now: Monotonic seconds.
      capacity_tokens: Key-value memory in all; 0 if unknown.
      foreign_tokens: Memory in use that the sidecar can't account for.
      kept_tokens: Memory to be left free for prompt work.
      max_running: Bound on attempts at once.
      running: What is on the upstream.
      remaining: Quantile of the tokens still to come, given model, profile,
        tokens produced and quantile.
    """

    now: float
    capacity_tokens: int
    foreign_tokens: int
    reserved_tokens: float
    max_running: int
    running: Sequence[RunningAttempt]
    remaining: Callable[[str, str, int, float], int]


class Order(Protocol):
    """Order of a queue; a fairness plug-in is a function that makes one."""

    def push(self, demand: Demand) -> None:
        """Takes a demand."""

    def heads(self, now: float) -> Iterator[Demand]:
        """Yields the demands that may be next, the first in turn first."""

    def take(self, demand: Demand) -> None:
        """Removes a head that starts, and charges its account."""

    def remove(self, demand: Demand) -> None:
        """Removes a demand that was withdrawn."""

    def __len__(self) -> int:
        """Number of waiting demands."""


if TYPE_CHECKING:
    # An admission plug-in: whether the demand may start now.
    Admit = Callable[[EngineState, Demand], bool]
else:
    Admit = object
