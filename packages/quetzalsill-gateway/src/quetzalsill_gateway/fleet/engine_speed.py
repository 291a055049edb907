"""Estimated speed of each engine, from its events and prefills.

The speed of an engine is the median time between two events of a run, reduced
to a light load, and the median prefill rate. A short slowdown affects fewer
than half of the samples, and therefore hardly changes the estimate.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import math
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import (
    engine_load,
    incarnation_table,
    speed_estimate,
    upstream,
)

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['EngineSpeeds', 'Estimate', 'Noise', 'Speed', 'SpeedUpdate']

Noise = engine_load.Noise
Speed = speed_estimate.Speed
Estimate = speed_estimate.Estimate

MAX_SAMPLES = speed_estimate.MAX_SAMPLES
HALF_LIFE_S = speed_estimate.HALF_LIFE_S

# Speeds in one datagram.
MAX_ITEMS = 32
# A longer gap is a preemption or a fault, and a faster rate a cached prompt.
MAX_EVENT_S = 10.0
MAX_PREFILL_PER_S = 1e6
# The first event of a short prompt is mostly the time of a step and of the
# network.
MIN_PREFILL_TOKENS = 500
# An estimate of another gateway that is older has no weight left.
MAX_AGE_S = 300.0
# Estimates of engines that are gone are kept for this long: their entries may
# have lapsed in an outage, or arrive later than the estimate.
RETENTION_S = 10.0
# Engines whose key a peer announced and that no membership entry has.
MAX_UNKNOWN = 256
# Other gateways whose estimates of one engine are kept. Their median error is
# well below that of one.
MAX_SENDERS = 8
# Other gateways whose slowdowns of a service are kept, and services in one
# datagram.
MAX_LOAD_SENDERS = 32
MAX_SERVICES = 8
# Ratio of the slowest to the fastest engine above which engines count as
# different; about the error of the estimates.
MIN_SPREAD = 1.6
# An estimate is announced again once it has changed by a fifth, and not sooner
# than this after the last time.
ANNOUNCED_CHANGE = math.log(1.2)
ANNOUNCE_INTERVAL_S = 1.0
# Estimates are repeated to other gateways while they are this recent.
REPEAT_AGE_S = 10.0
# Medians of a service and estimates of its engines are computed at most this
# often, as each choice of an engine needs them for each candidate.
SUMMARY_INTERVAL_S = 0.25


@dataclasses.dataclass(slots=True, frozen=True)
class SpeedUpdate:
    """Speeds that a gateway announces.

    Attributes:
      speeds: The speeds.
      sender: Name of the sending gateway; set on receipt.
      interferences: What delays events, by service.
    """

    speeds: tuple[Speed, ...]
    sender: str = dataclasses.field(default='', compare=False)
    interferences: dict[str, engine_load.Interference] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, eq=False)
class _Engine:
    """What is known of one incarnation of an engine.

    Attributes:
      key: Key of the upstream.
      service: Its service; empty until its membership entry is known.
      event: Median of the logarithm of the time between events, from own
        samples.
      prefill: The same for the prefill rate.
      observed_s: Loop time of the newest sample, of any gateway.
      own_observed_s: Loop time of the newest own sample.
      own_event_s: Loop time of the newest own event.
      peers: Estimates of other gateways, by sender.
      announced: What this gateway announced last.
      check_s: Loop time from which it may announce the estimate again.
      combined: Own and received estimates; None if it has to be computed.
      estimate: What it was expected to do when the medians of its service were
        computed last.
      estimated_s: Loop time of that computation.
      recent: Recent samples, for the ratios by load.
      is_logged: Whether its first estimate was logged.
    """

    key: str
    service: str = ''
    event: engine_load.LightLoadMedian = dataclasses.field(
        default_factory=engine_load.LightLoadMedian
    )
    prefill: engine_load.Median = dataclasses.field(
        default_factory=engine_load.Median
    )
    observed_s: float = -math.inf
    own_observed_s: float = -math.inf
    own_event_s: float = -math.inf
    peers: dict[str, Speed] = dataclasses.field(default_factory=dict)
    announced: Speed | None = None
    check_s: float = -math.inf
    combined: Speed | None = None
    estimate: Estimate = Estimate()
    estimated_s: float = -math.inf
    recent: engine_load.Recent = dataclasses.field(
        default_factory=engine_load.Recent
    )
    is_logged: bool = False

    @property
    def own(self) -> Speed:
        """Estimate from the samples of this gateway."""
        count = self.event.count or self.prefill.count
        return Speed(
            self.key,
            math.exp(self.event.value) if self.event.count else 0.0,
            math.exp(self.prefill.value) if self.prefill.count else 0.0,
            min(MAX_SAMPLES, count),
            self.own_observed_s,
        )


class EngineSpeeds:
    """Speeds of engines that are known to a gateway."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        """Starts without estimates.

        Args:
          clock: Returns the loop time; that of the running loop if None.
        """
        self._clock = clock or _loop_time
        self._engines: incarnation_table.IncarnationTable[_Engine] = (
            incarnation_table.IncarnationTable(
                lambda engine: engine.observed_s, RETENTION_S, RETENTION_S
            )
        )
        self._loads: dict[str, engine_load.ServiceLoad] = {}
        self._peer_loads: dict[
            str, dict[str, tuple[float, engine_load.Interference]]
        ] = {}
        self._interferences: dict[
            str, tuple[float, engine_load.Interference]
        ] = {}
        self._summaries: dict[str, speed_estimate.Summary] = {}
        self._summarized_s = -math.inf
        self._announce: Callable[[SpeedUpdate], None] = lambda _: None

    def set_announcer(self, announce: Callable[[SpeedUpdate], None]) -> None:
        """Sets the function that sends updates to the other gateways."""
        self._announce = announce

    @property
    def services(self) -> list[str]:
        """Services of which a sample was taken."""
        return list(self._loads)

    def record_event(
        self,
        upstream: upstream_lib.Upstream,
        gap_s: float,
        runs: int,
        *,
        is_prefilling: bool,
    ) -> None:
        """Records the time between two events of a run.

        Args:
          upstream: The engine.
          gap_s: Time between the events, in seconds.
          runs: Number of other runs at the engine.
          is_prefilling: Whether it prefilled a prompt in the meantime.
        """
        if not 0.0 < gap_s <= MAX_EVENT_S:
            return
        now = self._clock()
        engine = self._get_or_create(upstream)
        load = self._loads.get(engine.service)
        if load is None:
            load = self._loads[engine.service] = engine_load.ServiceLoad()
        log_gap = math.log(gap_s)
        bucket = engine_load.bucket(runs, is_prefilling=is_prefilling)
        load.learn_ratio(engine.recent, log_gap, bucket, now)
        median = engine.event
        excess = None
        if median.count >= speed_estimate.MIN_SAMPLES:
            excess = log_gap - load.log_factor(bucket) - median.value
        load.record(engine.recent, excess, now, is_prefilling=is_prefilling)
        engine.recent.add(log_gap, bucket, now)
        median.age(now - engine.own_event_s, HALF_LIFE_S)
        engine.own_event_s = now
        median.record(log_gap, bucket, load)
        self._note_sample(engine, now)

    def record_prefill(
        self, upstream: upstream_lib.Upstream, tokens: int, took_s: float
    ) -> None:
        """Records a prefill; an engine prefills prompts sequentially.

        Args:
          upstream: The engine.
          tokens: Prompt tokens of the request and of those queued ahead of it.
          took_s: Time from the send to the first event.
        """
        if tokens < MIN_PREFILL_TOKENS or not took_s > 0.0:
            return
        now = self._clock()
        engine = self._get_or_create(upstream)
        engine.prefill.age(now - engine.own_observed_s, HALF_LIFE_S)
        rate = min(MAX_PREFILL_PER_S, max(1.0, tokens / took_s))
        engine.prefill.record(math.log(rate))
        self._note_sample(engine, now)

    def event_s(self, upstream: upstream_lib.Upstream) -> float | None:
        """Returns the time between two events of a run at a light load.

        Returns:
          The median of the service if the engine is unknown; None if nothing is
          known of the service.
        """
        return self.estimate(upstream).event_s

    def prefill_per_s(self, upstream: upstream_lib.Upstream) -> float | None:
        """Returns the prompt tokens that an engine prefills per second.

        Returns:
          The slower quartile of the service if the engine is unknown; None if
          nothing is known of the service.
        """
        return self.estimate(upstream).prefill_per_s

    def slowness(self, upstream: upstream_lib.Upstream) -> float:
        """Returns the time between events relative to the service's median."""
        return self.estimate(upstream).slowness

    def is_known(self, upstream: upstream_lib.Upstream) -> bool:
        """Whether the engine itself was measured, here or by a peer."""
        return self._engines.get(upstream.key) is not None

    def estimate(self, upstream: upstream_lib.Upstream) -> Estimate:
        """Returns the speed that is expected of an engine.

        It is up to SUMMARY_INTERVAL_S old, except the first one.
        """
        engine = self._engines.get(upstream.key)
        if engine is None:
            return self._summary(upstream.service).unknown
        if not engine.service:
            self._assign(engine, upstream.service)
        summary = self._summary(upstream.service)
        if engine.estimated_s != self._summarized_s:
            engine.estimated_s = self._summarized_s
            engine.estimate = speed_estimate.estimate(
                self._combined(engine, self._summarized_s),
                _weight(engine, self._summarized_s),
                summary,
            )
        return engine.estimate

    def pause_s(
        self, upstream: upstream_lib.Upstream, runs: int, *, is_prefilling: bool
    ) -> float | None:
        """Returns the median time between events at a load.

        Args:
          upstream: The engine.
          runs: Number of other runs.
          is_prefilling: Whether it prefills a prompt in the meantime.
        """
        event_s = self.event_s(upstream)
        if event_s is None:
            return None
        load = self._load(upstream.service)
        bucket = engine_load.bucket(runs, is_prefilling=is_prefilling)
        return event_s * math.exp(load.log_factor(bucket))

    def median_event_s(self, service: str) -> float | None:
        """Returns the median of `event_s` over the known engines."""
        return self._summary(service).event_s

    def log_factor(self, service: str, found: engine_load.Bucket) -> float:
        """Returns the logarithm of a gap's ratio to one at a light load."""
        return self._load(service).log_factor(found)

    def known_slowness(self, service: str) -> tuple[float, ...]:
        """Returns the slowness of each known engine of a service."""
        return self._summary(service).slowness

    def longest_gap_s(self, service: str) -> float:
        """Returns the time between events beside a prefill at the slowest."""
        summary = self._summary(service)
        if summary.event_s is None:
            return 0.0
        factor = self._load(service).log_factor((True, 0))
        slowest = max(summary.slowness, default=1.0)
        return summary.event_s * slowest * math.exp(factor)

    def noise(self, service: str) -> Noise:
        """Returns how the engines of a service slow down for a short time."""
        return self._interference(service).noise

    def prefill_share(self, service: str) -> float:
        """Returns the share of samples that had a prefill beside them."""
        return self._interference(service).prefill_share

    def spread(self, service: str) -> float:
        """Returns slowest / fastest known engine; 1.0 if fewer than two."""
        return self._summary(service).spread

    def differ(self, service: str) -> bool:
        """Whether the engines of a service differ in speed."""
        return self._summary(service).spread >= MIN_SPREAD

    def updates(self) -> list[SpeedUpdate]:
        """Returns all own estimates, for a gateway that has just started."""
        speeds = [engine.own for engine in self._engines.values()]
        speeds = [speed for speed in speeds if speed.samples]
        return [
            self._update(speeds[first : first + MAX_ITEMS])
            for first in range(0, len(speeds), MAX_ITEMS)
        ]

    def recent(self) -> list[SpeedUpdate]:
        """Returns the newest own estimates, at most one update."""
        since_s = self._clock() - REPEAT_AGE_S
        engines = [
            engine
            for engine in self._engines.values()
            if engine.own_observed_s >= since_s
        ]
        engines.sort(key=lambda engine: -engine.own_observed_s)
        speeds = [engine.own for engine in engines[:MAX_ITEMS]]
        return [self._update(speeds)] if speeds else []

    def receive(self, update: SpeedUpdate) -> None:
        """Stores the estimates of another gateway."""
        now = self._clock()
        for speed in update.speeds:
            is_empty = not speed.samples or not (
                speed.event_s or speed.prefill_per_s
            )
            if is_empty or now - speed.observed_s > MAX_AGE_S:
                continue
            engine = self._engines.get(speed.key)
            if engine is None:
                if self._unknown_count() >= MAX_UNKNOWN:
                    continue
                engine = _Engine(speed.key, observed_s=speed.observed_s)
                self._engines.put(speed.key, engine)
            peers = engine.peers
            if update.sender not in peers and len(peers) >= MAX_SENDERS:
                oldest = min(peers, key=lambda node: peers[node].observed_s)
                del peers[oldest]
            peers[update.sender] = speed
            engine.observed_s = max(engine.observed_s, speed.observed_s)
            engine.combined = None
            self._log_first(engine, update.sender)
        for service, found in update.interferences.items():
            if service not in self._loads:
                # Not a service of which this gateway relays streams.
                continue
            peers = self._peer_loads.setdefault(service, {})
            if update.sender not in peers and len(peers) >= MAX_LOAD_SENDERS:
                del peers[min(peers, key=lambda node: peers[node][0])]
            peers[update.sender] = now, found

    def identify(self, known: Iterable[upstream_lib.Upstream]) -> None:
        """Assigns received estimates to the services of their engines.

        Args:
          known: Upstreams in the membership.
        """
        for one in known:
            engine = self._engines.get(one.key)
            if engine is not None and not engine.service:
                self._assign(engine, one.service)

    def expire(self, known: Iterable[upstream_lib.Upstream]) -> None:
        """Drops the estimates of engines that are gone.

        Args:
          known: Upstreams in the membership.
        """
        known = list(known)
        self.identify(known)
        self._engines.expire(known)
        services = {one.service for one in known}
        for table in (self._loads, self._peer_loads, self._interferences):
            for service in table.keys() - services:
                del table[service]

    def _interference(self, service: str) -> engine_load.Interference:
        """Returns the mean of all gateways that sent theirs recently."""
        now = self._clock()
        found = self._interferences.get(service)
        if found is None or not 0.0 <= now - found[0] < SUMMARY_INTERVAL_S:
            peers = [
                one
                for at_s, one in self._peer_loads.get(service, {}).values()
                if now - at_s <= HALF_LIFE_S
            ]
            own = self._load(service).interference
            found = now, engine_load.combine([own, *peers])
            self._interferences[service] = found
        return found[1]

    def _update(self, speeds: Iterable[Speed]) -> SpeedUpdate:
        """Returns an update with speeds and with what delays events."""
        found = {
            service: load.interference for service, load in self._loads.items()
        }
        sampled = [item for item in found.items() if item[1].samples]
        return SpeedUpdate(
            tuple(speeds), interferences=dict(sampled[:MAX_SERVICES])
        )

    def _load(self, service: str) -> engine_load.ServiceLoad:
        return self._loads.get(service, engine_load.PRIOR)

    def _get_or_create(self, upstream: upstream_lib.Upstream) -> _Engine:
        engine = self._engines.get(upstream.key)
        if engine is None:
            engine = _Engine(upstream.key, upstream.service)
            self._engines.put(upstream.key, engine)
        elif not engine.service:
            self._assign(engine, upstream.service)
        return engine

    def _assign(self, engine: _Engine, service: str) -> None:
        engine.service = service
        self._summarized_s = -math.inf
        self._log_first(engine, next(iter(engine.peers), ''))

    def _unknown_count(self) -> int:
        return sum(not engine.service for engine in self._engines.values())

    def _note_sample(self, engine: _Engine, now: float) -> None:
        engine.observed_s = engine.own_observed_s = now
        engine.combined = None
        self._log_first(engine, '')
        if now < engine.check_s:
            return
        engine.check_s = now + ANNOUNCE_INTERVAL_S
        reference = engine.announced or speed_estimate.combine(
            engine.key, engine.peers.values(), now
        )
        if _has_changed(engine.event, reference.event_s) or _has_changed(
            engine.prefill, reference.prefill_per_s
        ):
            engine.announced = engine.own
            self._announce(self._update([engine.announced]))

    def _log_first(self, engine: _Engine, sender: str) -> None:
        """Logs the first estimate of an engine once its service is known."""
        if engine.is_logged or not engine.service:
            return
        engine.is_logged = True
        speed = self._combined(engine, self._clock())
        summary = self._summaries.get(engine.service, speed_estimate.NO_SUMMARY)
        slowness = 1.0
        if speed.event_s and summary.event_s:
            slowness = speed.event_s / summary.event_s
        elif speed.prefill_per_s and summary.prefill_per_s:
            slowness = summary.prefill_per_s / speed.prefill_per_s
        event.note(
            event.EngineSpeedKnown(
                upstream=engine.key.partition(upstream.KEY_SEPARATOR)[0],
                event_ms=round(speed.event_s * 1000, 1),
                prefill_per_s=round(speed.prefill_per_s),
                slowness=round(slowness, 2),
                source=sender,
            )
        )

    def _combined(self, engine: _Engine, now: float) -> Speed:
        if engine.combined is None:
            engine.combined = speed_estimate.combine(
                engine.key, (engine.own, *engine.peers.values()), now
            )
        return engine.combined

    def _summary(self, service: str) -> speed_estimate.Summary:
        now = self._clock()
        if not 0.0 <= now - self._summarized_s < SUMMARY_INTERVAL_S:
            if not self._engines:
                # The first estimate has effect at once.
                return speed_estimate.NO_SUMMARY
            self._summarized_s = now
            by_service = collections.defaultdict(list)
            for engine in self._engines.values():
                by_service[engine.service].append(
                    (self._combined(engine, now), _weight(engine, now))
                )
            self._summaries = {
                name: speed_estimate.summarize(speeds)
                for name, speeds in by_service.items()
            }
        return self._summaries.get(service, speed_estimate.NO_SUMMARY)


def _weight(engine: _Engine, now: float) -> float:
    """Returns the weight that is left of an estimate at its age."""
    return 0.5 ** (max(0.0, now - engine.observed_s) / HALF_LIFE_S)


def _has_changed(
    median: engine_load.Median | engine_load.LightLoadMedian, reference: float
) -> bool:
    if not median.count:
        return False
    if not reference:
        return True
    return abs(median.value - math.log(reference)) > ANNOUNCED_CHANGE


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
