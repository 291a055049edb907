"""Load and health of each upstream, from own calls and from peers' reports."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_gateway.balance import engine_averages, faults
from quetzalsill_gateway.fleet import usage as usage_lib

if TYPE_CHECKING:
    from collections.abc import ItemsView, Iterable

    from quetzalsill_gateway.fleet import engine_speed
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = [
    'MAX_REPORT_AGE_S',
    'Reservation',
    'StatsTable',
    'UpstreamStats',
]

# Weight of the newest latency in the moving average, which follows a server
# that becomes slow within about ten calls.
LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.02
# Without calls, a high latency loses half of its excess in this time, so that
# the upstream gets a call again. The slower it was, the longer this takes.
LATENCY_HALF_LIFE_S = 5.0
# Maximum age of an engine's report on arrival; the times in it are relative to
# the moment at which it was made.
MAX_REPORT_AGE_S = 0.5
# Bounds the table, since peers may announce keys that no upstream has. Several
# times the upstreams of the largest planned fleet.
MAX_UPSTREAMS = 8192

Reservation = engine_averages.Reservation


@dataclasses.dataclass(slots=True, eq=False)
class UpstreamStats:
    """Load and health of one upstream, as known to this gateway.

    Attributes:
      outstanding: Number of own calls in flight.
      mean_latency_s: Moving average of the latency of own calls.
      measured_s: Loop time of the latest of them.
      failures: Decaying score of own calls that failed.
      hangs: Decaying score of own calls that hung.
      last_answered_sent_s: Loop time at which the newest answered call was
        sent.
      serves_streams: Whether own generations were sent to it.
      reservations: Reservations of own generations at it.
      backup_reservations: Reservations of backups of own generations at it.
      peer_load: Sum of what all other gateways announced for it.
      leaves_at_s: Loop time at which it stops; None if unknown.
    """

    outstanding: int = 0
    mean_latency_s: float = INITIAL_LATENCY_S
    measured_s: float = 0.0
    failures: faults.FailureScore = dataclasses.field(
        default_factory=faults.FailureScore
    )
    hangs: faults.FailureScore = dataclasses.field(
        default_factory=faults.FailureScore
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
        """Memory that own generations are expected to need, in tokens."""
        return sum(held.memory_tokens for held in self.reservations)

    @property
    def own_backup_tokens(self) -> int:
        """Memory that backups of own generations are expected to need."""
        return sum(held.memory_tokens for held in self.backup_reservations)

    @property
    def own_prefill_tokens(self) -> int:
        """Prompt tokens of own generations that are not prefilled yet."""
        return sum(
            held.prompt_tokens
            for held in self.reservations
            if held.is_prefilling
        )

    @property
    def reserved_tokens(self) -> int:
        """Memory that generations of all gateways are expected to need."""
        return self.own_tokens + self.peer_load.memory_tokens

    @property
    def backup_tokens(self) -> int:
        """Memory that backups of all gateways are expected to need."""
        return self.own_backup_tokens + self.peer_load.backup_tokens

    @property
    def held_tokens(self) -> int:
        """Memory that all generations and backups are expected to need."""
        return self.reserved_tokens + self.backup_tokens

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens of all gateways that are not prefilled yet."""
        return self.own_prefill_tokens + self.peer_load.prefill_tokens

    @property
    def is_in_use(self) -> bool:
        """Whether calls, generations or backups of any gateway are here."""
        return bool(
            self.outstanding
            or self.reservations
            or self.backup_reservations
            or self._load_by_peer
        )

    @property
    def runs(self) -> int:
        """Number of generations of all gateways."""
        return len(self.reservations) + self.peer_load.runs

    def gateways_with_runs(self, node: str) -> list[str]:
        """Returns the names of the gateways that have generations here.

        Args:
          node: Name of this gateway.
        """
        names = [name for name, one in self._load_by_peer.items() if one.runs]
        return [*names, node] if self.reservations else names

    def expected_latency_s(self, now: float) -> float:
        """Returns the mean latency, with less weight the older it is."""
        excess_s = self.mean_latency_s - INITIAL_LATENCY_S
        if excess_s <= 0.0:
            return self.mean_latency_s
        half_lives = (now - self.measured_s) / LATENCY_HALF_LIFE_S
        return INITIAL_LATENCY_S + excess_s * 0.5**half_lives

    def recent_failures(self, now: float) -> float:
        """Returns the failure score of own calls, decayed to `now`."""
        return self.failures.decayed(now)

    def fleet_failures(self, now: float) -> float:
        """Returns the recent failures that all gateways have seen."""
        return self.failures.decayed(now) + self.peer_load.failures

    def fleet_hangs(self, now: float) -> float:
        """Returns the recent hangs that all gateways have seen.

        Valid only for upstreams of unary calls: for those, the failures that
        peers announce are hangs only.
        """
        return self.hangs.decayed(now) + self.peer_load.failures

    def published_failures(self, now: float) -> float:
        """Returns the failures to announce to peers, rounded to steps of 0.5.

        The steps keep decay alone from causing an announcement. For upstreams
        of unary calls only hangs are announced: failures there depend on the
        request, and would change the value with every other call.
        """
        score = self.failures if self.serves_streams else self.hangs
        return round(score.decayed(now) * 2) / 2

    def set_peer_load(self, node: str, held: usage_lib.Usage) -> None:
        """Replaces what one peer holds here, and updates the sum of all peers.

        The sum is cached because each choice needs it for each candidate:
        computed on demand, that is about 10,000 additions per choice with 70
        gateways and 30 engines.
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
        """Adds a failed call to the failure score."""
        self.failures.record_failure(asyncio.get_running_loop().time(), weight)

    def record_hang(self, begun_s: float) -> None:
        """Counts a call that has gone unanswered for a long time as a hang.

        Does nothing if a call that was sent later has been answered: then the
        call is only slow, as an upstream that hangs answers none.

        Args:
          begun_s: Loop time at which the call was sent.
        """
        if self.last_answered_sent_s < begun_s:
            self.hangs.record_failure(asyncio.get_running_loop().time())

    def record_time_left(self, leaves_s: float | None) -> None:
        """Records when an engine stops, from the time left that it reported.

        Args:
          leaves_s: Time left in seconds; None if the engine reported none.
        """
        if leaves_s is None:
            return
        now = asyncio.get_running_loop().time()
        self.leaves_at_s = now + leaves_s - MAX_REPORT_AGE_S

    def reset_latency(self) -> None:
        """Forgets the latency, after a time without load."""
        self.mean_latency_s = INITIAL_LATENCY_S

    def record_answer(self, begun_s: float) -> None:
        """Records that a call was answered, which was sent at `begun_s`."""
        self.hangs.record_success()
        self.last_answered_sent_s = max(self.last_answered_sent_s, begun_s)

    def record_latency(self, took_s: float) -> None:
        """Records the latency of a call that was processed."""
        now = asyncio.get_running_loop().time()
        self.record_answer(now - took_s)
        self.measured_s = now
        self.mean_latency_s += LATENCY_WEIGHT * (took_s - self.mean_latency_s)


class StatsTable(engine_averages.EngineAverages):
    """Statistics of all upstreams, with averages over all engines."""

    def __init__(self, speeds: engine_speed.EngineSpeeds | None = None) -> None:
        """Creates an empty table.

        Args:
          speeds: Estimated speed of each engine.
        """
        super().__init__(speeds)
        self._stats: dict[str, UpstreamStats] = {}
        self._keys_by_peer: dict[str, set[str]] = {}
        self._waiting_by_peer: dict[str, usage_lib.WaitingTokens] = {}

    def of(self, upstream: upstream_lib.Upstream) -> UpstreamStats:
        """Returns the statistics of an upstream, creating them if needed."""
        return self._get_or_create(upstream.key)

    def reserved_tokens(self, upstream: upstream_lib.Upstream) -> int:
        """Returns what generations are expected to need, also if removed."""
        found = self._stats.get(upstream.key)
        return found.reserved_tokens if found is not None else 0

    def items(self) -> ItemsView[str, UpstreamStats]:
        """Returns all statistics with the keys of their upstreams."""
        return self._stats.items()

    def replace_peer_loads(
        self, node: str, held: dict[str, usage_lib.Usage]
    ) -> None:
        """Replaces everything that a peer holds, by upstream key."""
        for key in self._keys_by_peer.pop(node, set()) - held.keys():
            if key in self._stats:
                self._stats[key].set_peer_load(node, usage_lib.NO_USAGE)
        self.update_peer_loads(node, held)

    def update_peer_loads(
        self, node: str, held: dict[str, usage_lib.Usage]
    ) -> None:
        """Applies changes to what a peer holds, by upstream key."""
        keys = self._keys_by_peer.setdefault(node, set())
        for key, entry in held.items():
            if entry == usage_lib.NO_USAGE:
                keys.discard(key)
                if key in self._stats:
                    self._stats[key].set_peer_load(node, entry)
            elif key in self._stats or len(self._stats) < MAX_UPSTREAMS:
                keys.add(key)
                self._get_or_create(key).set_peer_load(node, entry)
        if not keys:
            del self._keys_by_peer[node]

    def set_peer_waiting(
        self, node: str, waiting: usage_lib.WaitingTokens
    ) -> None:
        """Replaces the tokens that are queued at a peer."""
        if waiting:
            self._waiting_by_peer[node] = waiting
        else:
            self._waiting_by_peer.pop(node, None)

    @property
    def is_waiting_at_peers(self) -> bool:
        """Whether any generation is queued at a peer."""
        return bool(self._waiting_by_peer)

    def waiting_at_peers(self, service: str, rank: int) -> int:
        """Returns the tokens queued at all peers for engines of a service.

        Args:
          service: Name of the service.
          rank: Only entries of this rank or a lower one are counted.
        """
        return sum(
            tokens
            for waiting in self._waiting_by_peer.values()
            for other_rank, tokens in waiting.get(service, {}).items()
            if other_rank <= rank
        )

    def remove(self, upstream: upstream_lib.Upstream) -> None:
        """Removes the statistics of an upstream that is gone."""
        self._stats.pop(upstream.key, None)

    def expire(self, known: Iterable[upstream_lib.Upstream]) -> None:
        """Removes the statistics of unknown upstreams that nothing uses."""
        keys = {one.key for one in known}
        self._stats = {
            key: stats
            for key, stats in self._stats.items()
            if key in keys or stats.is_in_use
        }

    def _get_or_create(self, key: str) -> UpstreamStats:
        found = self._stats.get(key)
        if found is None:
            found = self._stats[key] = UpstreamStats()
        return found
