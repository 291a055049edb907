"""What a gateway has learned of each upstream by its own calls."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_gateway.balance import failure_score
from quetzalsill_gateway.fleet import usage as usage_lib

if TYPE_CHECKING:
    from collections.abc import ItemsView

    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = [
    'MAX_REPORT_AGE_S',
    'Reservation',
    'StatsTable',
    'UpstreamStats',
]

# Weight of the newest time in the running mean: follows a server that turns
# slow within about ten calls.
LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.02
# A report may be this old when it arrives; times in it count from then.
MAX_REPORT_AGE_S = 0.5
# How long memory is held before any generation has ended: a long
# one lasts some 8 s, a short one under one.
INITIAL_HELD_S = 5.0
# Weight of the newest generation of usual size in the mean of that.
GENERATION_WEIGHT = 0.05
TYPICAL_TOKENS = 4000
TYPICAL_OUTPUT_TOKENS = 800
# Time of a token before any generation has ended: a step of an engine with a
# few runs, some of which reads a prompt besides.
INITIAL_TOKEN_S = 0.01
# Reading rate before any prompt was read: a chunk of 112 tokens in a step of
# 16 ms.
INITIAL_PREFILL_TOKENS_PER_S = 7000.0
# A prompt that the engine has kept in part is not read at a rate.
MAX_PREFILL_TOKENS_PER_S = 50_000.0
PREFILL_WEIGHT = 0.03
# Pages kept, several times the upstreams of the largest fleet planned for:
# others may tell of names that no upstream has.
MAX_UPSTREAMS = 8192


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """What one request is expected to hold at an engine.

    Attributes:
      prompt_tokens: Tokens to read before the first event.
      memory_tokens: Memory that it is expected to need at its end.
      is_prefilling: No event has come yet.
    """

    prompt_tokens: int = 0
    memory_tokens: int = 0
    is_prefilling: bool = True

    @property
    def output_tokens(self) -> int:
        """Tokens that it is expected to make."""
        return self.memory_tokens - self.prompt_tokens


@dataclasses.dataclass(slots=True, eq=False)
class UpstreamStats:
    """One upstream, as seen from here.

    Attributes:
      outstanding: Own calls that have not ended.
      mean_latency_s: Running mean of the time of a call.
      failures: Failures of own calls, fading.
      hangs: Own calls that went unanswered for long, fading.
      last_answered_sent_s: Loop time at which the newest call was sent that was
        answered.
      serves_streams: Own generations were sent there.
      reservations: What own generations hold there.
      backup_reservations: What backups of own generations hold there.
      peer_load: What generations of all other gateways hold there.
      leaves_at_s: Loop time at which it goes; None if not known.
    """

    outstanding: int = 0
    mean_latency_s: float = INITIAL_LATENCY_S
    failures: failure_score.FailureScore = dataclasses.field(
        default_factory=failure_score.FailureScore
    )
    hangs: failure_score.FailureScore = dataclasses.field(
        default_factory=failure_score.FailureScore
    )
    last_answered_sent_s: float = 0.0
    serves_streams: bool = False
    reservations: set[Reservation] = dataclasses.field(default_factory=set)
    backup_reservations: set[Reservation] = dataclasses.field(
        default_factory=set
    )
    leaves_at_s: float | None = None
    peer_load: usage_lib.Usage = usage_lib.NO_USAGE
    _load_by_peer: dict[str, usage_lib.Usage] = dataclasses.field(
        default_factory=dict
    )

    @property
    def own_tokens(self) -> int:
        """Memory that own generations are expected to need."""
        return sum(held.memory_tokens for held in self.reservations)

    @property
    def own_backup_tokens(self) -> int:
        """Memory that backups of own generations are expected to need."""
        return sum(held.memory_tokens for held in self.backup_reservations)

    @property
    def own_prefill_tokens(self) -> int:
        """Prompt tokens of own generations that wait to be read."""
        return sum(
            held.prompt_tokens
            for held in self.reservations
            if held.is_prefilling
        )

    @property
    def reserved_tokens(self) -> int:
        """Memory that all generations are expected to need."""
        return self.own_tokens + self.peer_load.memory_tokens

    @property
    def backup_tokens(self) -> int:
        """Memory that all backups are expected to need."""
        return self.own_backup_tokens + self.peer_load.backup_tokens

    @property
    def held_tokens(self) -> int:
        """Memory that all generations and backups are expected to need."""
        return self.reserved_tokens + self.backup_tokens

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens of all gateways that wait to be read."""
        return self.own_prefill_tokens + self.peer_load.prefill_tokens

    @property
    def runs(self) -> int:
        """Generations of all gateways."""
        return len(self.reservations) + self.peer_load.runs

    def recent_failures(self, now: float) -> float:
        """Returns the failures of own calls, faded to now."""
        return self.failures.decayed(now)

    def fleet_failures(self, now: float) -> float:
        """Returns the failures that all gateways have seen of late."""
        return self.failures.decayed(now) + self.peer_load.failures

    def fleet_hangs(self, now: float) -> float:
        """Returns the calls of all gateways that went unanswered of late.

        Only meant for plain upstreams: of them gateways tell nothing else.
        """
        return self.hangs.decayed(now) + self.peer_load.failures

    def published_failures(self, now: float) -> float:
        """Returns what to tell other gateways of failures here, in steps.

        Fading alone is then no news. A plain server's own failures go with the
        request; told, they would change with every other call.
        """
        score = self.failures if self.serves_streams else self.hangs
        return round(score.decayed(now) * 2) / 2

    def set_peer_load(self, node: str, held: usage_lib.Usage) -> None:
        """Takes what another gateway holds here, in place of what it held.

        The sum is kept, since each choice asks for it for each candidate: at
        70 gateways and 30 engines some 10,000 additions.
        """
        if self._load_by_peer.get(node, usage_lib.NO_USAGE) == held:
            return
        if held == usage_lib.NO_USAGE:
            del self._load_by_peer[node]
        else:
            self._load_by_peer[node] = held
        loads = self._load_by_peer.values()
        self.peer_load = usage_lib.Usage(
            sum(one.memory_tokens for one in loads),
            sum(one.prefill_tokens for one in loads),
            sum(one.runs for one in loads),
            sum(one.backup_tokens for one in loads),
            sum(one.failures for one in loads),
        )

    def record_failure(self, weight: float = 1.0) -> None:
        """Counts a failure of the upstream."""
        self.failures.record_failure(asyncio.get_running_loop().time(), weight)

    def record_hang(self, begun_s: float) -> None:
        """Counts a call that has gone unanswered for long.

        One that was overtaken is only slow: an upstream that hangs answers
        nothing that was sent later either.

        Args:
          begun_s: Loop time at which it was sent.
        """
        if self.last_answered_sent_s < begun_s:
            self.hangs.record_failure(asyncio.get_running_loop().time())

    def record_time_left(self, leaves_s: float | None) -> None:
        """Takes the time that an engine says it has left, if it does."""
        if leaves_s is None:
            return
        now = asyncio.get_running_loop().time()
        self.leaves_at_s = now + leaves_s - MAX_REPORT_AGE_S

    def record_latency(self, took_s: float) -> None:
        """Takes the time of a call that was answered."""
        self.hangs.record_success()
        begun_s = asyncio.get_running_loop().time() - took_s
        self.last_answered_sent_s = max(self.last_answered_sent_s, begun_s)
        self.mean_latency_s += LATENCY_WEIGHT * (took_s - self.mean_latency_s)


class StatsTable:
    """Pages by upstream.

    Attributes:
      mean_held_s: How long a token of memory is held, in the mean.
      prefill_tokens_per_s: Tokens of prompts that an engine reads in a second
        while it also generates, in the mean.
      mean_token_s: Time that a generation takes per token of output that was
        expected of it, in the mean.
    """

    def __init__(self) -> None:
        self._stats: dict[str, UpstreamStats] = {}
        self._keys_by_peer: dict[str, set[str]] = {}
        self._waiting_by_peer: dict[str, usage_lib.WaitingTokens] = {}
        self.mean_held_s = INITIAL_HELD_S
        self.mean_token_s = INITIAL_TOKEN_S
        self.prefill_tokens_per_s = INITIAL_PREFILL_TOKENS_PER_S

    def of(self, upstream: upstream_lib.Upstream) -> UpstreamStats:
        """Returns the page of an upstream, a new one at first."""
        return self._get_or_create(upstream.key)

    def items(self) -> ItemsView[str, UpstreamStats]:
        """Returns all pages by the keys of their upstreams."""
        return self._stats.items()

    def replace_peer_loads(
        self, node: str, held: dict[str, usage_lib.Usage]
    ) -> None:
        """Takes all that another gateway holds, in place of what it held."""
        for key in self._keys_by_peer.pop(node, set()) - held.keys():
            if key in self._stats:
                self._stats[key].set_peer_load(node, usage_lib.NO_USAGE)
        self.update_peer_loads(node, held)

    def update_peer_loads(
        self, node: str, held: dict[str, usage_lib.Usage]
    ) -> None:
        """Takes what has changed in what another gateway holds."""
        for key, entry in held.items():
            if key in self._stats or len(self._stats) < MAX_UPSTREAMS:
                self._get_or_create(key).set_peer_load(node, entry)
                self._keys_by_peer.setdefault(node, set()).add(key)

    def record_generation(
        self, reservation: Reservation, held_s: float
    ) -> None:
        """Takes for how long a generation has held its memory."""
        weight = GENERATION_WEIGHT * min(
            1.0, reservation.memory_tokens / TYPICAL_TOKENS
        )
        self.mean_held_s += weight * (held_s - self.mean_held_s)
        if reservation.output_tokens:
            token_s = held_s / reservation.output_tokens
            # One of a few tokens says more of its prompt than of its pace.
            weight = GENERATION_WEIGHT * min(
                1.0, reservation.output_tokens / TYPICAL_OUTPUT_TOKENS
            )
            self.mean_token_s += weight * (token_s - self.mean_token_s)

    def record_prefill(self, tokens: int, took_s: float) -> None:
        """Takes how long an engine has read prompts one after another.

        Args:
          tokens: Those ahead when the prompt came, and its own.
          took_s: Time from the send to the first event.
        """
        if took_s > 0:
            weight = PREFILL_WEIGHT * min(1.0, tokens / TYPICAL_TOKENS)
            rate = min(tokens / took_s, MAX_PREFILL_TOKENS_PER_S)
            self.prefill_tokens_per_s += weight * (
                rate - self.prefill_tokens_per_s
            )

    def prefill_s(self, tokens: int) -> float:
        """Returns how long an engine is expected to read so many tokens."""
        return tokens / self.prefill_tokens_per_s

    def generation_s(self, reservation: Reservation) -> float:
        """Returns how long a generation is expected to take."""
        return reservation.output_tokens * self.mean_token_s

    def set_peer_waiting(
        self, node: str, waiting: usage_lib.WaitingTokens
    ) -> None:
        """Takes all that waits at another gateway."""
        if waiting:
            self._waiting_by_peer[node] = waiting
        else:
            self._waiting_by_peer.pop(node, None)

    def waiting_at_peers(self, service: str, rank: int) -> int:
        """Returns the tokens that wait at others for engines of a service.

        Args:
          service: Name of the service.
          rank: Only what is ranked so or ahead of it counts.
        """
        return sum(
            tokens
            for waiting in self._waiting_by_peer.values()
            for other_rank, tokens in waiting.get(service, {}).items()
            if other_rank <= rank
        )

    def remove(self, upstream: upstream_lib.Upstream) -> None:
        """Drops the page of an upstream that is gone."""
        self._stats.pop(upstream.key, None)

    def _get_or_create(self, key: str) -> UpstreamStats:
        found = self._stats.get(key)
        if found is None:
            found = self._stats[key] = UpstreamStats()
        return found
