"""Limits of client accounts, divided evenly among the live routers.

Routers do not exchange usage. Each of N live routers grants 1/N of every
limit, with N taken from the registration rows in the platform's table.

Error bounds, for all routers together and while their views of N agree:

* Concurrency: at most N - 1 over the limit, because each router rounds its
  share up so that it admits at least one request.
* Requests: over any T seconds at most `limit * T / 60` plus one burst of
  `max(limit * 10 / 60, N)`.
* Tokens: as for requests, plus the tokens that running answers generate
  beyond their estimates. That debt is repaid before new requests are
  admitted.

While views of N differ (a router joined or left within the last registration
interval), the bound grows by the factor N_real / N_seen. Uneven load
balancing has the opposite effect: a router may refuse requests while another
has capacity left.
"""

from __future__ import annotations

import dataclasses
import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill_router.limit import bucket as bucket_module

if TYPE_CHECKING:
    from quetzalsill.config import model

__all__ = ['BURST_S', 'Grant', 'Limiter', 'make_limiter']

BURST_S = 10.0
MINUTE_S = 60.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 600.0
INITIAL_DURATION_S = 1.0
DURATION_SMOOTHING = 0.1


@dataclasses.dataclass(slots=True)
class _Usage:
    """Usage of this router by one account.

    Attributes:
      running: Number of grants that are not released.
      duration_s: Moving average of how long a grant is held.
      requests: Bucket of requests; None without a limit.
      tokens: Bucket of generated tokens; None without a limit.
    """

    running: int = 0
    duration_s: float = INITIAL_DURATION_S
    requests: bucket_module.Bucket | None = None
    tokens: bucket_module.Bucket | None = None


class Grant:
    """Permission to run one request; charges tokens until released."""

    def __init__(
        self, usage: _Usage, reserved: int, clock: Callable[[], float]
    ) -> None:
        self._usage = usage
        self._reserved = reserved
        self._clock = clock
        self._granted = clock()
        self._released = False

    def charge(self, tokens: int) -> None:
        """Charges generated tokens, first against the reservation."""
        covered = min(tokens, self._reserved)
        self._reserved -= covered
        if self._usage.tokens is not None:
            self._usage.tokens.consume(tokens - covered)

    def release(self) -> None:
        """Ends the grant and refunds the unused part of the reservation."""
        if self._released:
            return
        self._released = True
        usage = self._usage
        usage.running -= 1
        held_s = self._clock() - self._granted
        usage.duration_s += DURATION_SMOOTHING * (held_s - usage.duration_s)
        if usage.tokens is not None:
            usage.tokens.consume(-self._reserved)


class Limiter:
    """Admits requests of accounts within this router's share of limits."""

    def __init__(
        self,
        live_routers: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._live_routers = live_routers
        self._clock = clock
        self._usages: dict[str, _Usage] = {}

    def admit(self, account: str, limits: model.Limits, estimate: int) -> Grant:
        """Admits one request.

        Args:
          account: Client account.
          limits: Limits of the account over all routers.
          estimate: Expected length of the answer in tokens.

        Raises:
          LimitError: The account is over a limit; not run.
        """
        usage = self._usages.setdefault(account, _Usage())
        routers = max(1, self._live_routers())
        self._resize_buckets(usage, limits, routers)
        self._check_concurrency(usage, limits.concurrency, routers)
        _check_rate(usage.requests, 1, 'requests a minute')
        _check_rate(usage.tokens, estimate, 'tokens a minute')
        if usage.requests is not None:
            usage.requests.consume(1)
        if usage.tokens is not None:
            usage.tokens.consume(estimate)
        usage.running += 1
        return Grant(usage, estimate, self._clock)

    def retain(self, accounts: set[str]) -> None:
        """Removes the usage of accounts not in `accounts`, unless in use."""
        for name in list(self._usages):
            if name not in accounts and self._usages[name].running == 0:
                del self._usages[name]

    def _resize_buckets(
        self, usage: _Usage, limits: model.Limits, routers: int
    ) -> None:
        """Adapts the buckets to the limits and the number of routers."""
        usage.requests = self._make_or_resize(
            usage.requests, limits.requests_per_minute, routers
        )
        usage.tokens = self._make_or_resize(
            usage.tokens, limits.tokens_per_minute, routers
        )

    def _make_or_resize(
        self, old: bucket_module.Bucket | None, limit: int, routers: int
    ) -> bucket_module.Bucket | None:
        """Returns the bucket of this router's share; None without a limit."""
        if limit == 0:
            return None
        rate = limit / MINUTE_S / routers
        capacity = max(1.0, rate * BURST_S)
        if old is None:
            return bucket_module.Bucket(rate, capacity, self._clock)
        if (old.rate, old.capacity) != (rate, capacity):
            old.resize(rate, capacity)
        return old

    def _check_concurrency(
        self, usage: _Usage, limit: int, routers: int
    ) -> None:
        """Raises `LimitError` if this router's concurrency is exhausted."""
        if limit == 0:
            return
        share = math.ceil(limit / routers)
        if usage.running < share:
            return
        raise _limit_error(
            f'{usage.running} requests at once; this router grants {share}',
            usage.duration_s / share,
        )


def make_limiter(live_routers: Callable[[], int]) -> Limiter:
    """Makes the limiter registered as policy `shares`."""
    return Limiter(live_routers)


def _check_rate(
    bucket: bucket_module.Bucket | None, units: float, what: str
) -> None:
    """Raises `LimitError` if the bucket holds fewer than `units`."""
    if bucket is None:
        return
    wait_s = bucket.wait_s(units)
    if wait_s > 0:
        raise _limit_error(f'the account is over its {what}', wait_s)


def _limit_error(detail: str, wait_s: float) -> request_error.LimitError:
    """Builds the error, with a bounded `Retry-After`."""
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return request_error.LimitError(
        detail,
        retry_after_s=retry_after_s,
        advice='Come back after Retry-After, or ask for a higher limit.',
    )
