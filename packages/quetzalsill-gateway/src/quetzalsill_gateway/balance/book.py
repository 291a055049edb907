"""What a gateway has learned of each upstream by its own calls."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_gateway.balance import faults as faults_lib
from quetzalsill_gateway.fleet import usage as usage_lib

if TYPE_CHECKING:
    from collections.abc import ItemsView

    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['REPORT_AGE_S', 'Book', 'Page', 'Reservation']

# Weight of the newest time in the running mean: follows a server that turns
# slow within about ten calls.
NEWEST = 0.2
FIRST_GUESS_S = 0.02
# A report may be this old when it arrives; times in it count from then.
REPORT_AGE_S = 0.5
# How long memory is held before any generation has ended: a long
# one lasts some 8 s, a short one under one.
FIRST_HELD_S = 5.0
# Weight of the newest generation of usual size in the mean of that.
NEWEST_HELD = 0.05
USUAL_TOKENS = 4000
USUAL_OUTPUT = 800
# Time of a token before any generation has ended: a step of an engine with a
# few runs, some of which reads a prompt besides.
FIRST_TOKEN_S = 0.01
# Reading rate before any prompt was read: a chunk of 112 tokens in a step of
# 16 ms.
FIRST_READ_TOKENS_S = 7000.0
# A prompt that the engine has kept in part is not read at a rate.
MOST_READ_TOKENS_S = 50_000.0
NEWEST_READ = 0.03
# Pages kept, several times the upstreams of the largest fleet planned for:
# others may tell of names that no upstream has.
MOST_PAGES = 8192


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """What one request is expected to hold at an engine.

    Attributes:
      prompt_tokens: Tokens to read before the first event.
      memory_tokens: Memory that it is expected to need at its end.
      is_reading: No event has come yet.
    """

    prompt_tokens: int = 0
    memory_tokens: int = 0
    is_reading: bool = True

    @property
    def output_tokens(self) -> int:
        """Tokens that it is expected to make."""
        return self.memory_tokens - self.prompt_tokens


@dataclasses.dataclass(slots=True, eq=False)
class Page:
    """One upstream, as seen from here.

    Attributes:
      outstanding: Own calls that have not ended.
      mean_s: Running mean of the time of a call.
      faults: Failures of own calls, fading.
      hangs: Own calls that went unanswered for long, fading.
      answered_s: Loop time at which the newest call was sent that was
        answered.
      makes_streams: Own generations were sent there.
      reservations: What own generations hold there.
      copies: What backups of own generations hold there.
      others: What generations of all other gateways hold there.
      leaves_at_s: Loop time at which it goes; None if not known.
    """

    outstanding: int = 0
    mean_s: float = FIRST_GUESS_S
    faults: faults_lib.Faults = dataclasses.field(
        default_factory=faults_lib.Faults
    )
    hangs: faults_lib.Faults = dataclasses.field(
        default_factory=faults_lib.Faults
    )
    answered_s: float = 0.0
    makes_streams: bool = False
    reservations: set[Reservation] = dataclasses.field(default_factory=set)
    copies: set[Reservation] = dataclasses.field(default_factory=set)
    leaves_at_s: float | None = None
    others: usage_lib.Usage = usage_lib.NO_USAGE
    _told: dict[str, usage_lib.Usage] = dataclasses.field(default_factory=dict)

    @property
    def own_tokens(self) -> int:
        """Memory that own generations are expected to need."""
        return sum(held.memory_tokens for held in self.reservations)

    @property
    def own_copied(self) -> int:
        """Memory that backups of own generations are expected to need."""
        return sum(held.memory_tokens for held in self.copies)

    @property
    def own_reading(self) -> int:
        """Prompt tokens of own generations that wait to be read."""
        return sum(
            held.prompt_tokens for held in self.reservations if held.is_reading
        )

    @property
    def reserved_tokens(self) -> int:
        """Memory that all generations are expected to need."""
        return self.own_tokens + self.others.memory_tokens

    @property
    def copied_tokens(self) -> int:
        """Memory that all backups are expected to need."""
        return self.own_copied + self.others.backup_tokens

    @property
    def held_tokens(self) -> int:
        """Memory that all generations and backups are expected to need."""
        return self.reserved_tokens + self.copied_tokens

    @property
    def reading_tokens(self) -> int:
        """Prompt tokens of all gateways that wait to be read."""
        return self.own_reading + self.others.prefill_tokens

    @property
    def runs(self) -> int:
        """Generations of all gateways."""
        return len(self.reservations) + self.others.runs

    def recent_failures(self, now: float) -> float:
        """Returns the failures of own calls, faded to now."""
        return self.faults.recent(now)

    def told_failures(self, now: float) -> float:
        """Returns the failures that all gateways have seen of late."""
        return self.faults.recent(now) + self.others.failures

    def told_hangs(self, now: float) -> float:
        """Returns the calls of all gateways that went unanswered of late.

        Only meant for plain upstreams: of them gateways tell nothing else.
        """
        return self.hangs.recent(now) + self.others.failures

    def shown_failures(self, now: float) -> float:
        """Returns what to tell other gateways of failures here, in steps.

        Fading alone is then no news. A plain server's own failures go with the
        request; told, they would change with every other call.
        """
        faults = self.faults if self.makes_streams else self.hangs
        return round(faults.recent(now) * 2) / 2

    def hear(self, node: str, held: usage_lib.Usage) -> None:
        """Takes what another gateway holds here, in place of what it held.

        The sum is kept, since each choice asks for it for each candidate: at
        70 gateways and 30 engines some 10,000 additions.
        """
        if self._told.get(node, usage_lib.NO_USAGE) == held:
            return
        if held == usage_lib.NO_USAGE:
            del self._told[node]
        else:
            self._told[node] = held
        told = self._told.values()
        self.others = usage_lib.Usage(
            sum(one.memory_tokens for one in told),
            sum(one.prefill_tokens for one in told),
            sum(one.runs for one in told),
            sum(one.backup_tokens for one in told),
            sum(one.failures for one in told),
        )

    def note_failure(self, weight: float = 1.0) -> None:
        """Counts a failure of the upstream."""
        self.faults.fail(asyncio.get_running_loop().time(), weight)

    def note_hang(self, begun_s: float) -> None:
        """Counts a call that has gone unanswered for long.

        One that was overtaken is only slow: an upstream that hangs answers
        nothing that was sent later either.

        Args:
          begun_s: Loop time at which it was sent.
        """
        if self.answered_s < begun_s:
            self.hangs.fail(asyncio.get_running_loop().time())

    def note_leaving(self, leaves_s: float | None) -> None:
        """Takes the time that an engine says it has left, if it does."""
        if leaves_s is None:
            return
        now = asyncio.get_running_loop().time()
        self.leaves_at_s = now + leaves_s - REPORT_AGE_S

    def note_time(self, took_s: float) -> None:
        """Takes the time of a call that was answered."""
        self.hangs.succeed()
        begun_s = asyncio.get_running_loop().time() - took_s
        self.answered_s = max(self.answered_s, begun_s)
        self.mean_s += NEWEST * (took_s - self.mean_s)


class Book:
    """Pages by upstream.

    Attributes:
      mean_held_s: How long a token of memory is held, in the mean.
      read_tokens_s: Tokens of prompts that an engine reads in a second while it
        also generates, in the mean.
      mean_token_s: Time that a generation takes per token of output that was
        expected of it, in the mean.
    """

    def __init__(self) -> None:
        self._pages: dict[str, Page] = {}
        self._told_by: dict[str, set[str]] = {}
        self._waiting: dict[str, usage_lib.WaitingTokens] = {}
        self.mean_held_s = FIRST_HELD_S
        self.mean_token_s = FIRST_TOKEN_S
        self.read_tokens_s = FIRST_READ_TOKENS_S

    def page(self, upstream: upstream_lib.Upstream) -> Page:
        """Returns the page of an upstream, a new one at first."""
        return self._page(upstream.key)

    def items(self) -> ItemsView[str, Page]:
        """Returns all pages by the keys of their upstreams."""
        return self._pages.items()

    def hear(self, node: str, held: dict[str, usage_lib.Usage]) -> None:
        """Takes all that another gateway holds, in place of what it held."""
        for key in self._told_by.pop(node, set()) - held.keys():
            if key in self._pages:
                self._pages[key].hear(node, usage_lib.NO_USAGE)
        self.hear_changes(node, held)

    def hear_changes(self, node: str, held: dict[str, usage_lib.Usage]) -> None:
        """Takes what has changed in what another gateway holds."""
        for key, entry in held.items():
            if key in self._pages or len(self._pages) < MOST_PAGES:
                self._page(key).hear(node, entry)
                self._told_by.setdefault(node, set()).add(key)

    def note_run(self, reservation: Reservation, held_s: float) -> None:
        """Takes for how long a generation has held its memory."""
        weight = NEWEST_HELD * min(
            1.0, reservation.memory_tokens / USUAL_TOKENS
        )
        self.mean_held_s += weight * (held_s - self.mean_held_s)
        if reservation.output_tokens:
            token_s = held_s / reservation.output_tokens
            # One of a few tokens says more of its prompt than of its pace.
            weight = NEWEST_HELD * min(
                1.0, reservation.output_tokens / USUAL_OUTPUT
            )
            self.mean_token_s += weight * (token_s - self.mean_token_s)

    def note_read(self, tokens: int, took_s: float) -> None:
        """Takes how long an engine has read prompts one after another.

        Args:
          tokens: Those ahead when the prompt came, and its own.
          took_s: Time from the send to the first event.
        """
        if took_s > 0:
            weight = NEWEST_READ * min(1.0, tokens / USUAL_TOKENS)
            rate = min(tokens / took_s, MOST_READ_TOKENS_S)
            self.read_tokens_s += weight * (rate - self.read_tokens_s)

    def read_s(self, tokens: int) -> float:
        """Returns how long an engine is expected to read so many tokens."""
        return tokens / self.read_tokens_s

    def run_s(self, reservation: Reservation) -> float:
        """Returns how long a generation is expected to take."""
        return reservation.output_tokens * self.mean_token_s

    def hear_waiting(self, node: str, waiting: usage_lib.WaitingTokens) -> None:
        """Takes all that waits at another gateway."""
        if waiting:
            self._waiting[node] = waiting
        else:
            self._waiting.pop(node, None)

    def waiting_elsewhere(self, service: str, rank: int) -> int:
        """Returns the tokens that wait at others for engines of a service.

        Args:
          service: Name of the service.
          rank: Only what is ranked so or ahead of it counts.
        """
        return sum(
            tokens
            for waiting in self._waiting.values()
            for other_rank, tokens in waiting.get(service, {}).items()
            if other_rank <= rank
        )

    def forget(self, upstream: upstream_lib.Upstream) -> None:
        """Drops the page of an upstream that is gone."""
        self._pages.pop(upstream.key, None)

    def _page(self, key: str) -> Page:
        found = self._pages.get(key)
        if found is None:
            found = self._pages[key] = Page()
        return found
