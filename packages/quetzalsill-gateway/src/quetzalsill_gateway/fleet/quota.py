"""What this gateway may send to an upstream now.

An upstream takes so many connections from all gateways together, and resets
those beyond them with whatever was sent; while it is cold it takes so many
requests a second, and crashes well above that. Each gateway sees its own only,
so each keeps to a share.

Of the rate of a cold upstream some gateways have a share, and the others none:
drawn by rendezvous hashing, so that all who know the same gateways agree. They
are as many as may each send one request in the same moment without breaking
the bound, and each may send again at the rate divided by their number.
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

# Share of the connections to an upstream that gateways use, and the share that
# they keep idle of all. Hosts that lose power say nothing: what they had open
# stays with the upstream for seconds, and has to leave places for the same
# gateways when they are back. Their callers all come back at once then.
USED_SHARE = 0.7
IDLE_SHARE = 0.2
# Share of what a cold upstream stands in one second that is given out. The rest
# covers gateways that are new, lost or cut off, so that not all draw among the
# same for a while: then some four tenths more are sent at the worst.
SAFE_SHARE = 0.7
# Share of that which may be sent in the same moment, by as many gateways; an
# upstream that has just come is of use to few callers if few may send there.
BURST_SHARE = 0.5
# What goes on coming stays below the rate that the upstream names.
RATE_SHARE = 0.9
# Cold upstreams whose rate is kept; one that was not asked for longest makes
# way.
MAX_BUCKETS = 4096


@dataclasses.dataclass(slots=True, frozen=True)
class Warmup:
    """By how much the rate of a cold upstream may be exceeded.

    Attributes:
      overage: Multiple of its rate that it takes in one second.
      allowance: Requests besides.
    """

    overage: float = 1.0
    allowance: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Connections:
    """Connections of this gateway to one address.

    Attributes:
      count: All of them.
      idle: Those that carry no call.
    """

    count: int
    idle: int


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Requests that this gateway may send to one cold upstream.

    Attributes:
      names: Gateways for which the share was worked out.
      per_s: Rate at which they come.
      most: How many are kept.
      left: How many there are, as of `at_s`.
      at_s: Loop time.
    """

    names: tuple[str, ...]
    per_s: float
    most: float
    left: float
    at_s: float

    def refill(self, now: float) -> None:
        """Adds what has come since."""
        self.left += (now - self.at_s) * self.per_s
        self.left = min(self.most, self.left)
        self.at_s = now


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
        """Works out shares.

        Args:
          holder: Configuration, with the bounds of each service.
          members: Gateways that share.
          warmup: By how much cold upstreams may exceed their rate.
          connections: Returns those to an address.
          min_gateways: How many are taken to share while none is known.
        """
        self._holder = holder
        self._members = members
        self._warmup = warmup
        self._connections = connections
        self._min_gateways = min_gateways
        self._buckets: dict[str, _Bucket] = {}

    def allows(self, upstream: upstream_lib.Upstream) -> bool:
        """Whether a request may be sent to an upstream now."""
        return self._has_connection(upstream) and self._is_warm_enough(upstream)

    def consume(self, upstream: upstream_lib.Upstream) -> None:
        """Notes that a request goes to an upstream."""
        if self._is_cold(upstream):
            bucket = self._bucket(upstream)
            bucket.left -= 1.0

    def max_connections(self, upstream: upstream_lib.Upstream) -> int | None:
        """Returns the share of its connections; None for no bound."""
        return self._share_of(upstream, USED_SHARE)

    def max_idle(self, upstream: upstream_lib.Upstream) -> int | None:
        """Returns how many of them may be kept idle; None for no bound."""
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
        most = self.max_connections(upstream)
        if most is None:
            return True
        found = self._connections(upstream.address)
        return found.count < most or found.idle > 0

    def _is_warm_enough(self, upstream: upstream_lib.Upstream) -> bool:
        if not self._is_cold(upstream):
            return True
        if not self._members.is_directory_read:
            return False
        return self._bucket(upstream).left >= 1.0

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
            left = None if found is None else found.left
            found = self._share(upstream, names, now)
            if left is not None:
                # What was sent before the others changed has been sent.
                found.left = min(found.left, left)
            self._keep(upstream.key, found)
        found.refill(now)
        return found

    def _share(
        self,
        upstream: upstream_lib.Upstream,
        names: tuple[str, ...],
        now: float,
    ) -> _Bucket:
        per_s = self._service(upstream).warmup_per_s
        bound = self._warmup.overage * per_s + self._warmup.allowance
        burst = max(1, int(BURST_SHARE * SAFE_SHARE * bound))
        chosen = rate_owners(upstream.key, names, burst)
        if self._members.node not in chosen:
            return _Bucket(names, 0.0, 0.0, 0.0, now)
        most = max(1, burst // len(chosen))
        all_per_s = SAFE_SHARE * bound - most * len(chosen)
        all_per_s = max(0.0, min(RATE_SHARE * per_s, all_per_s))
        own_per_s = all_per_s / len(chosen)
        return _Bucket(names, own_per_s, most, most, now)

    def _keep(self, key: str, bucket: _Bucket) -> None:
        self._buckets.pop(key, None)
        if len(self._buckets) >= MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        self._buckets[key] = bucket


def rate_owners(key: str, names: tuple[str, ...], count: int) -> list[str]:
    """Returns the gateways that have a share of an upstream's rate.

    Args:
      key: Key of the upstream.
      names: Gateways known.
      count: How many of them have one at most.
    """
    return sorted(names, key=lambda name: _drawn(key, name))[:count]


def _drawn(key: str, name: str) -> int:
    return xxhash.xxh32_intdigest(f'{key}/{name}'.encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
