"""Limits of client accounts, divided evenly among the live routers.

Routers do not talk to each other about usage: each of N live routers
grants its N-th part, from what the platform's registration rows say of N.

Error bounds, for all routers together and while their views of N agree:

* Concurrency: at most N - 1 over the limit, since each rounds its part up
  so that no caller is locked out of a router.
* Requests: over any T seconds at most `limit * T / 60` plus one burst of
  `max(limit * 10 / 60, N)`.
* Tokens: as requests, with what the running answers generate beyond their
  estimates on top; that debt is paid off before anything new is admitted.

While views of N differ (a router came or went within the last registration
interval), the bound grows by the factor N_real / N_seen. Uneven balancing
errs the other way: a router may refuse while another has room.
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
    """What one account uses of this router.

    Attributes:
      running: Requests granted and not released.
      duration_s: Moving mean of how long a grant is held.
      requests: Bucket of requests; None without a limit.
      tokens: Bucket of generated tokens; None without a limit.
    """

    running: int = 0
    duration_s: float = INITIAL_DURATION_S
    requests: bucket_module.Bucket | None = None
    tokens: bucket_module.Bucket | None = None


class Grant:
    """Leave for one request; charges its tokens until released."""

    def __init__(
        self, usage: _Usage, reserved: int, clock: Callable[[], float]
    ) -> None:
        self._usage = usage
        self._reserved = reserved
        self._clock = clock
        self._granted = clock()
        self._released = False

    def charge(self, tokens: int) -> None:
        """Counts generated tokens, first against what was reserved."""
        covered = min(tokens, self._reserved)
        self._reserved -= covered
        if self._usage.tokens is not None:
            self._usage.tokens.consume(tokens - covered)

    def release(self) -> None:
        """Ends the request; gives back what it reserved and did not use."""
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
    """Grants requests of accounts within this router's shares."""

    def __init__(
        self,
        live_routers: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._live_routers = live_routers
        self._clock = clock
        self._usages: dict[str, _Usage] = {}

    def admit(self, account: str, limits: model.Limits, estimate: int) -> Grant:
        """Grants one request.

        Args:
          account: Client account.
          limits: Its limits over all routers.
          estimate: Tokens that the answer will probably have.

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
        """Drops idle usage of accounts that are not among `accounts`."""
        for name in list(self._usages):
            if name not in accounts and self._usages[name].running == 0:
                del self._usages[name]

    def _resize_buckets(
        self, usage: _Usage, limits: model.Limits, routers: int
    ) -> None:
        """Fits the buckets to the limits and the number of routers."""
        usage.requests = self._make_or_resize(
            usage.requests, limits.requests_per_minute, routers
        )
        usage.tokens = self._make_or_resize(
            usage.tokens, limits.tokens_per_minute, routers
        )

    def _make_or_resize(
        self, old: bucket_module.Bucket | None, limit: int, routers: int
    ) -> bucket_module.Bucket | None:
        """Returns this router's share of a limit as a bucket."""
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
        """Raises `LimitError` if the share of concurrency is used up."""
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
    """Makes the limiter that the configuration names `shares`."""
    return Limiter(live_routers)


def _check_rate(
    bucket: bucket_module.Bucket | None, units: float, what: str
) -> None:
    """Raises `LimitError` if `units` are not in the bucket."""
    if bucket is None:
        return
    wait_s = bucket.wait_s(units)
    if wait_s > 0:
        raise _limit_error(f'the account is over its {what}', wait_s)


def _limit_error(detail: str, wait_s: float) -> request_error.LimitError:
    """Builds the refusal with a time to come back that helps."""
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return request_error.LimitError(
        detail,
        retry_after_s=retry_after_s,
        advice='Come back after Retry-After, or ask for a higher limit.',
    )
