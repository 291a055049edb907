"""Limits what this gateway may send to an upstream now.

An upstream accepts a limited number of connections from all gateways together;
it resets further ones, and whatever was sent on them is lost. While it is cold
it also accepts a limited number of requests a second, and crashes well above
that; an upstream in need names such a limit in its responses
(`fleet.server_limits`), or asks for a pause (`fleet.backoff`). A gateway counts
only its own connections and requests, so each keeps to a share of these limits.

A rate is shared by some of the gateways only. They are
chosen by rendezvous hashing, so gateways that know the same members choose the
same ones. Their number is such that all of them may send a request at the same
moment without exceeding the limit, and the rate at which each may send again
is divided by it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

import xxhash

from quetzalsill_gateway.fleet import backoff, server_limits

if TYPE_CHECKING:
    from quetzalsill_gateway import routing_table, source
    from quetzalsill_gateway.fleet import members as members_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['Connections', 'Quota', 'Tolerance', 'Warmup', 'rate_owners']

# Shares of an upstream's connections that all gateways may use and keep idle. A
# host that loses power closes nothing: its connections stay open at the
# upstream for seconds. The rest leaves room for the same gateways to reconnect
# meanwhile, when all of their callers come back at once.
USED_SHARE = 0.7
IDLE_SHARE = 0.2
# Share of a cold upstream's limit for one second that is given out. The rest
# covers gateways that start, are lost or are partitioned: for a while, not all
# choose from the same members, and at worst four tenths more is sent.
SAFE_SHARE = 0.7
# Share of that which may be sent at the same moment, and so the number of
# gateways that have a share. Few callers could use an upstream that has just
# started if only a few gateways could send to it.
BURST_SHARE = 0.5
# Keeps the sustained rate below the rate that the upstream announces.
RATE_SHARE = 0.9
# The same for a limit that an upstream names. It lasts longer than a warm-up,
# so little of it should stay unused.
NAMED_SAFE_SHARE = 0.8
NAMED_RATE_SHARE = 0.95
# Time within which the requests that may be sent at the same moment are spread
# by an upstream's own limit.
NAMED_BURST_S = 2.0
# At a limit of zero too, a request now and then shows whether it was lifted.
MIN_NAMED_PER_S = 0.25
# If nobody had a response from a limited upstream for this long, other gateways
# get their turn: those that may send to it perhaps have no callers.
NAMED_TURN_S = 10.0
# Upstreams whose rate is tracked; the least recently renewed is evicted.
MAX_BUCKETS = 4096


@dataclasses.dataclass(slots=True, frozen=True)
class Warmup:
    """By how much the rate of a cold upstream may be exceeded.

    Attributes:
      overage: Multiple of its rate that it accepts within one second.
      allowance: Number of requests that it accepts in addition.
    """

    overage: float = 1.0
    allowance: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Tolerance:
    """By how much a limit that an upstream names may be exceeded.

    Attributes:
      overage: Multiple of the limit that it accepts within the window.
      allowance: Number of requests that it accepts in addition.
      window_s: Length of the window, in seconds.
    """

    overage: float = 1.5
    allowance: float = 5.0
    window_s: float = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Rate:
    """A limited rate of requests, of all gateways together.

    Attributes:
      key: Determines which gateways share it.
      per_s: Sustained rate.
      burst: Number of requests that may be sent at the same moment.
      accepted: Number of requests that may be sent within the window.
      window_s: Length of the window, in seconds.
    """

    key: str
    per_s: float
    burst: int
    accepted: float
    window_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Connections:
    """Connections of this gateway to one address.

    Attributes:
      count: All of them.
      idle: Those without a call in progress.
    """

    count: int
    idle: int


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket for this gateway's share of a rate.

    Attributes:
      rate: The rate.
      names: Gateways for which the share was computed.
      rate_per_s: Rate at which tokens are added.
      capacity: Maximum number of tokens.
      tokens: Number of tokens as of `updated_s`.
      updated_s: Loop time.
    """

    rate: _Rate
    names: tuple[str, ...]
    rate_per_s: float
    capacity: float
    tokens: float
    updated_s: float

    def waits_s(self, count: int) -> list[float]:
        """Returns the times until each of the next requests may be sent."""
        if not self.rate_per_s:
            return [0.0] * min(count, int(self.tokens))
        return [
            max(0.0, (number - self.tokens) / self.rate_per_s)
            for number in range(1, count + 1)
        ]

    def refill(self, now: float) -> None:
        """Adds the tokens since the last update."""
        self.tokens += (now - self.updated_s) * self.rate_per_s
        self.tokens = min(self.capacity, self.tokens)
        self.updated_s = now


class Quota:
    """Shares of one gateway."""

    def __init__(
        self,
        holder: source.RoutingTableHolder,
        members: members_lib.Members,
        warmup: Warmup,
        connections: Callable[[tuple[str, int]], Connections],
        min_gateways: int = 1,
        limits: server_limits.ServerLimits | None = None,
        tolerance: Tolerance | None = None,
        backoffs: backoff.Backoffs | None = None,
    ) -> None:
        """Creates the quota of one gateway.

        Args:
          holder: Configuration, which has the limits of each service.
          members: Gateways among which the limits are divided.
          warmup: By how much cold upstreams may exceed their rate.
          connections: Returns the connections to an address.
          min_gateways: Number of gateways assumed at least, until the
            directory has been read.
          limits: Limits that upstreams name.
          tolerance: By how much these may be exceeded.
          backoffs: Pauses that upstreams have asked for.
        """
        self._backoffs = (
            backoff.Backoffs(members) if backoffs is None else backoffs
        )
        self._limits = (
            server_limits.ServerLimits() if limits is None else limits
        )
        self._tolerance = tolerance or Tolerance()
        self._holder = holder
        self._members = members
        self._warmup = warmup
        self._connections = connections
        self._min_gateways = min_gateways
        self._buckets: dict[tuple[str, str], _Bucket] = {}

    def allows(self, upstream: upstream_lib.Upstream) -> bool:
        """Whether a request may be sent to an upstream now."""
        return (
            self._backoffs.allows(upstream)
            and self._has_connection(upstream)
            and self._has_rate(upstream)
        )

    def consume(self, upstream: upstream_lib.Upstream) -> None:
        """Counts a request that is sent to an upstream."""
        self._backoffs.consume(upstream)
        for kind, rate in self._rates(upstream):
            self._bucket(upstream, kind, rate).tokens -= 1.0

    @property
    def has_limits(self) -> bool:
        """Whether any upstream may limit what it gets."""
        return bool(self._limits) or bool(self._backoffs)

    def is_limited(self, upstreams: Iterable[upstream_lib.Upstream]) -> bool:
        """Whether all of some upstreams limit what they get.

        They have named a limit, or have asked for a pause, from which this
        gateway has not quite returned.
        """
        found = list(upstreams)
        return bool(found) and all(
            self._limits.in_force(one) is not None
            or self._backoffs.is_active(one)
            for one in found
        )

    def pause_s(self, upstreams: Iterable[upstream_lib.Upstream]) -> float:
        """Returns for how long all of some upstreams are pausing.

        Returns:
          The time in seconds until the first pause ends; 0 if there are
          upstreams without one, or none at all.
        """
        return min(map(self._backoffs.left_s, upstreams), default=0.0)

    def wait_s(
        self, upstreams: Iterable[upstream_lib.Upstream], ahead: int = 0
    ) -> float:
        """Returns the time until a request may be sent to some upstreams.

        Args:
          upstreams: The upstreams, of which any will do.
          ahead: Number of requests that go first.

        Returns:
          The time in seconds; infinite if this gateway has no share.
        """
        waits: list[float] = []
        for upstream in upstreams:
            times = [
                self._bucket(upstream, kind, rate).waits_s(ahead + 1)
                for kind, rate in self._rates(upstream)
            ]
            knows_share = not times or self._members.is_directory_read
            pauses = self._backoffs.waits_s(upstream, ahead + 1)
            if pauses is not None:
                times.append(pauses)
            if not times:
                return 0.0
            if knows_share:
                # All of its limits must have room.
                waits += map(max, zip(*times, strict=False))
        waits.sort()
        return waits[ahead] if len(waits) > ahead else math.inf

    def total_per_s(self, upstreams: Iterable[upstream_lib.Upstream]) -> float:
        """Returns the limited rate of upstreams, of all gateways together."""
        return sum(
            min((rate.per_s for _, rate in self._rates(one)), default=math.inf)
            for one in upstreams
        )

    def max_connections(self, upstream: upstream_lib.Upstream) -> int | None:
        """Returns this gateway's share of connections; None for no limit."""
        return self._share_of(upstream, USED_SHARE)

    def max_idle(self, upstream: upstream_lib.Upstream) -> int | None:
        """Returns how many of them may be kept idle; None for no limit."""
        return self._share_of(upstream, IDLE_SHARE)

    def _share_of(
        self, upstream: upstream_lib.Upstream, share: float
    ) -> int | None:
        service = self._service(upstream)
        if service is None or not service.max_connections:
            return None
        gateways = len(self._members.names(_now()))
        if not self._members.is_directory_read:
            gateways = max(gateways, self._min_gateways)
        return max(1, int(share * service.max_connections / gateways))

    def _has_connection(self, upstream: upstream_lib.Upstream) -> bool:
        limit = self.max_connections(upstream)
        if limit is None:
            return True
        found = self._connections(upstream.address)
        return found.count < limit or found.idle > 0

    def _has_rate(self, upstream: upstream_lib.Upstream) -> bool:
        return all(
            self._members.is_directory_read
            and self._bucket(upstream, kind, rate).tokens >= 1.0
            for kind, rate in self._rates(upstream)
        )

    def _rates(
        self, upstream: upstream_lib.Upstream
    ) -> Iterator[tuple[str, _Rate]]:
        """Yields the rates that apply to an upstream, each with its kind."""
        if self._is_cold(upstream):
            yield 'cold', self._cold_rate(upstream)
        limit = self._limits.in_force(upstream)
        if limit is not None:
            yield 'named', self._named_rate(limit)

    def _cold_rate(self, upstream: upstream_lib.Upstream) -> _Rate:
        per_s = self._service(upstream).warmup_per_s
        accepted = self._warmup.overage * per_s + self._warmup.allowance
        accepted *= SAFE_SHARE
        burst = max(1, int(BURST_SHARE * accepted))
        return _Rate(upstream.key, RATE_SHARE * per_s, burst, accepted, 1.0)

    def _named_rate(self, limit: server_limits.Limit) -> _Rate:
        found = self._tolerance
        accepted = limit.per_s * found.overage * found.window_s
        accepted = NAMED_SAFE_SHARE * (accepted + found.allowance)
        per_s = max(MIN_NAMED_PER_S, NAMED_RATE_SHARE * limit.per_s)
        burst = min(
            NAMED_BURST_S * limit.per_s, accepted - per_s * found.window_s
        )
        turn = int(max(0.0, _now() - limit.named_s) / NAMED_TURN_S)
        key = f'{limit.key}/{turn}' if turn else limit.key
        return _Rate(key, per_s, max(1, int(burst)), accepted, found.window_s)

    def _is_cold(self, upstream: upstream_lib.Upstream) -> bool:
        if upstream.cold_until_s <= _now():
            return False
        service = self._service(upstream)
        return service is not None and service.warmup_per_s > 0

    def _service(
        self, upstream: upstream_lib.Upstream
    ) -> routing_table.Service | None:
        table = self._holder.current
        return table.services.get(upstream.service) if table else None

    def _bucket(
        self, upstream: upstream_lib.Upstream, kind: str, rate: _Rate
    ) -> _Bucket:
        now = _now()
        names = self._members.names(now)
        key = (upstream.key, kind)
        found = self._buckets.get(key)
        if found is None or found.names is not names or found.rate != rate:
            tokens = None if found is None else found.tokens
            found = self._new_bucket(rate, names, now)
            if tokens is not None:
                # Requests sent under the previous membership still count.
                found.tokens = min(found.tokens, tokens)
            self._store(key, found)
        found.refill(now)
        return found

    def _new_bucket(
        self, rate: _Rate, names: tuple[str, ...], now: float
    ) -> _Bucket:
        owners = rate_owners(rate.key, names, rate.burst)
        if self._members.node not in owners:
            return _Bucket(rate, names, 0.0, 0.0, 0.0, now)
        capacity = max(1, rate.burst // len(owners))
        left = rate.accepted - capacity * len(owners)
        total_per_s = max(0.0, min(rate.per_s, left / rate.window_s))
        own_per_s = total_per_s / len(owners)
        return _Bucket(rate, names, own_per_s, capacity, capacity, now)

    def _store(self, key: tuple[str, str], bucket: _Bucket) -> None:
        self._buckets.pop(key, None)
        if len(self._buckets) >= MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        self._buckets[key] = bucket


def rate_owners(key: str, names: tuple[str, ...], count: int) -> list[str]:
    """Returns the gateways that share something.

    Args:
      key: Key of what is shared.
      names: Known gateways.
      count: Maximum number of owners.
    """
    return sorted(names, key=lambda name: _weight(key, name))[:count]


def _weight(key: str, name: str) -> int:
    return xxhash.xxh32_intdigest(f'{key}/{name}'.encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
