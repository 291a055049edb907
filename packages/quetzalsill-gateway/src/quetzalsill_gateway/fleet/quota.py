"""Limits what this gateway may send to an upstream now.

An upstream accepts a limited number of connections from all gateways together;
it resets further ones, and whatever was sent on them is lost. While it is cold
it also accepts a limited number of requests a second, and crashes well above
that. A gateway counts only its own connections and requests, so each keeps to a
share of both limits.

The rate of a cold upstream is shared by some of the gateways only. They are
chosen by rendezvous hashing, so gateways that know the same members choose the
same ones. Their number is such that all of them may send a request at the same
moment without exceeding the limit, and the rate at which each may send again
is divided by it.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from quetzalsill_gateway import routing_table, source
    from quetzalsill_gateway.fleet import members as members_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['Connections', 'Quota', 'Warmup', 'rate_owners']

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
# Cold upstreams whose rate is tracked; the least recently renewed is evicted.
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
    """Token bucket for the requests to one cold upstream.

    Attributes:
      names: Gateways for which the share was computed.
      rate_per_s: Rate at which tokens are added.
      capacity: Maximum number of tokens.
      tokens: Number of tokens as of `updated_s`.
      updated_s: Loop time.
    """

    names: tuple[str, ...]
    rate_per_s: float
    capacity: float
    tokens: float
    updated_s: float

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
    ) -> None:
        """Creates the quota of one gateway.

        Args:
          holder: Configuration, which has the limits of each service.
          members: Gateways among which the limits are divided.
          warmup: By how much cold upstreams may exceed their rate.
          connections: Returns the connections to an address.
          min_gateways: Number of gateways assumed at least, until the
            directory has been read.
        """
        self._holder = holder
        self._members = members
        self._warmup = warmup
        self._connections = connections
        self._min_gateways = min_gateways
        self._buckets: dict[str, _Bucket] = {}

    def allows(self, upstream: upstream_lib.Upstream) -> bool:
        """Whether a request may be sent to an upstream now."""
        return self._has_connection(upstream) and self._has_rate(upstream)

    def consume(self, upstream: upstream_lib.Upstream) -> None:
        """Counts a request that is sent to an upstream."""
        if self._is_cold(upstream):
            bucket = self._bucket(upstream)
            bucket.tokens -= 1.0

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
        if not self._is_cold(upstream):
            return True
        if not self._members.is_directory_read:
            return False
        return self._bucket(upstream).tokens >= 1.0

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

    def _bucket(self, upstream: upstream_lib.Upstream) -> _Bucket:
        now = _now()
        names = self._members.names(now)
        found = self._buckets.get(upstream.key)
        if found is None or found.names is not names:
            tokens = None if found is None else found.tokens
            found = self._new_bucket(upstream, names, now)
            if tokens is not None:
                # Requests sent under the previous membership still count.
                found.tokens = min(found.tokens, tokens)
            self._store(upstream.key, found)
        found.refill(now)
        return found

    def _new_bucket(
        self,
        upstream: upstream_lib.Upstream,
        names: tuple[str, ...],
        now: float,
    ) -> _Bucket:
        per_s = self._service(upstream).warmup_per_s
        limit = self._warmup.overage * per_s + self._warmup.allowance
        burst = max(1, int(BURST_SHARE * SAFE_SHARE * limit))
        owners = rate_owners(upstream.key, names, burst)
        if self._members.node not in owners:
            return _Bucket(names, 0.0, 0.0, 0.0, now)
        capacity = max(1, burst // len(owners))
        total_per_s = SAFE_SHARE * limit - capacity * len(owners)
        total_per_s = max(0.0, min(RATE_SHARE * per_s, total_per_s))
        own_per_s = total_per_s / len(owners)
        return _Bucket(names, own_per_s, capacity, capacity, now)

    def _store(self, key: str, bucket: _Bucket) -> None:
        self._buckets.pop(key, None)
        if len(self._buckets) >= MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        self._buckets[key] = bucket


def rate_owners(key: str, names: tuple[str, ...], count: int) -> list[str]:
    """Returns the gateways that share the rate of a cold upstream.

    Args:
      key: Key of the upstream.
      names: Known gateways.
      count: Maximum number of owners.
    """
    return sorted(names, key=lambda name: _weight(key, name))[:count]


def _weight(key: str, name: str) -> int:
    return xxhash.xxh32_intdigest(f'{key}/{name}'.encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
