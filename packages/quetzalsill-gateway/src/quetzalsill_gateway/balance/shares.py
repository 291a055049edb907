"""Weighted shares of client accounts when engines are short.

Each account has a virtual time: the tokens that it was served lately at all
gateways, divided by its weight. Among queued requests of equal rank, that of
the account with the lowest virtual time goes first (virtual token counters:
Sheng et al., Fairness in Serving Large Language Models, 2024; start-time fair
queueing: Goyal et al., 1996). The result is a weighted max-min fair share.

An account without queued requests is lifted to slightly below the lowest
virtual time of the queued ones when one of its requests is queued. So it gets
its share from then on, and those that have used what it left are not held back
for it.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterable

from quetzalsill_gateway.fleet import account_usage

__all__ = ['Shares', 'Weights']

DEFAULT_WEIGHT = 1.0
# How long a request counts as queued at a peer that said so. Announcements are
# up to 1 s apart.
PEER_WAITING_S = 1.6
ANNOUNCE_INTERVAL_S = 0.5
# While the same accounts wait, a gateway announces less often. So the first
# request of another account is announced at once.
REPEAT_INTERVAL_S = 1.0
# Interval at which outdated reports of peers are left out.
SUM_INTERVAL_S = 0.1
# Counts of other gateways are as old as the interval of announcements and their
# delay, so that a smaller lead may not exist.
MIN_LEAD_S = 0.6
# An account is ahead of its share from this multiple of it. Accounts with the
# same share differ by about a fifth, as few requests make up their counts.
MIN_AHEAD = 1.5
# Memory left to accounts that go first, as a multiple of what is known to wait.
# Requests that wait for less than the interval of announcements are often not
# known. In virtual time with 28 gateways, 1 let others start later than the
# target in two of four runs.
RESERVE = 4
# How far behind the others an account may be when it returns. Less than
# `MIN_LEAD_S` would be within the error, and others would not yield to it.
MAX_CREDIT_S = 2 * MIN_LEAD_S
LOG_INTERVAL_S = 1.0


class Weights:
    """Weights of accounts by name, as in the active configuration."""

    def __init__(self, accounts: Callable[[], dict | None]) -> None:
        """Starts with the accounts that a function returns.

        Args:
          accounts: Returns the active configuration's accounts by key.
        """
        self._accounts = accounts
        self._source: dict | None = None
        self._weights: dict[bytes, float] = {}

    def __call__(self, name: bytes) -> float:
        """Returns the weight of an account."""
        source = self._accounts()
        if source is not self._source:
            self._source = source
            self._weights = {
                account_usage.bounded_name(
                    str(one.name).encode(errors='replace')
                ): one.weight
                for one in (source or {}).values()
            }
        return self._weights.get(name, DEFAULT_WEIGHT)


class Shares:
    """Virtual times of the accounts, as one gateway knows them.

    Attributes:
      is_enabled: Whether anything is counted, announced and ordered.
    """

    def __init__(
        self,
        weight_of: Callable[[bytes], float] = lambda _: DEFAULT_WEIGHT,
        *,
        is_enabled: bool = False,
    ) -> None:
        """Starts without any use.

        Args:
          weight_of: Returns the weight of an account.
          is_enabled: Whether the shares take effect.
        """
        self.is_enabled = is_enabled
        self._weight_of = weight_of
        self._usage = account_usage.AccountUsage()
        # Tokens of queued requests by account: here, and by peer with the loop
        # time of its report.
        self._queued: dict[bytes, list[int]] = {}
        self._peers: dict[str, tuple[float, dict[bytes, int]]] = {}
        self._served: tuple[float, float] = (0.0, -math.inf)
        self._summed: collections.Counter[bytes] = collections.Counter()
        self._summed_s = -math.inf
        self._announced_s = -math.inf
        self._announced: set[bytes] = set()
        self._known_level: tuple[float, float] = (0.0, -math.inf)

    def start_tag(self, account: bytes) -> float:
        """Returns the key by which requests of equal rank are ordered.

        It is the account's virtual time in units that grow with the decay, so
        that it can be compared with others at the same time only.
        """
        if not self.is_enabled:
            return 0.0
        found = self._usage.get(account)
        if found is None:
            return 0.0
        return found.total / self._weight_of(account) + found.lift

    def enter(self, account: bytes, tokens: int, now: float) -> None:
        """Notes that a request is queued."""
        if not self.is_enabled:
            return
        self._activate((account,), now)
        self._queued.setdefault(account, []).append(tokens)

    def leave(self, account: bytes, tokens: int) -> None:
        """Notes that a request is no longer queued."""
        queued = self._queued.get(account)
        if queued is not None:
            queued.remove(tokens)
            if not queued:
                del self._queued[account]

    def record(
        self, account: bytes, tokens: int, now: float, *, was_queued: bool
    ) -> None:
        """Counts a request that is sent to an engine."""
        if not self.is_enabled:
            return
        if was_queued:
            scale = self._usage.scale(now)
            self._served = (self.start_tag(account) / scale, now)
        self._usage.add(account, tokens, now)

    def usage(self, now: float) -> account_usage.AccountUpdate | None:
        """Returns what to announce; None if it is too early or nothing."""
        if not self.is_enabled or now < self._announced_s + ANNOUNCE_INTERVAL_S:
            return None
        is_same = self._announced == self._queued.keys()
        if is_same and now < self._announced_s + REPEAT_INTERVAL_S:
            return None
        queued = {name: sum(tokens) for name, tokens in self._queued.items()}
        items = self._usage.announced(queued, now)
        if not items:
            return None
        self._announced_s = now
        self._announced = set(self._queued)
        return account_usage.AccountUpdate(tuple(items))

    def receive(self, update: account_usage.AccountUpdate, now: float) -> None:
        """Applies what another gateway has announced."""
        if not self.is_enabled:
            return
        sender, waiting = update.sender, {}
        for item in update.items:
            self._usage.set_peer(sender, item.account, item.tokens, now)
            if item.waiting:
                waiting[item.account] = item.waiting
        self._activate(waiting, now)
        _, before = self._peers.get(sender, (0.0, {}))
        self._peers = {
            node: report
            for node, report in self._peers.items()
            if node != sender and now < report[0] + PEER_WAITING_S
        }
        if waiting and len(self._peers) < account_usage.MAX_SENDERS:
            self._peers[sender] = (now, waiting)
        if waiting.keys() != before.keys():
            self._summed_s = -math.inf

    def lead_s(self, account: bytes, now: float) -> float:
        """Returns how far an account is ahead of the others that wait.

        Returns:
          The time that all gateways take to serve as many tokens as it is ahead
          of the account furthest behind; 0 if no other is behind it.
        """
        if not self.is_enabled:
            return 0.0
        scale, per_s = self._usage.scale(now), self._usage.tokens_per_s(now)
        floor, _ = self._floor(account, now)
        if floor is None or not per_s:
            return 0.0
        lead = (self.start_tag(account) - floor) * self._weight_of(account)
        return max(0.0, lead / scale / per_s)

    def has_others(self, account: bytes, now: float) -> bool:
        """Whether requests of other accounts are known to wait."""
        if not self.is_enabled:
            return False
        known = (self._queued, self._waiting_peers(now))
        return any(one != account for names in known for one in names)

    def waiting_at_peers(self, account: bytes, now: float) -> tuple[int, float]:
        """Returns the tokens of other requests queued at peers.

        An account goes first if this one is ahead of it by more than the age
        of what is known, so that two gateways don't leave the same memory to
        each other, and if this one is ahead of its share, so that accounts
        with light use don't wait for each other.

        Returns:
          The tokens of accounts that go first, and of the others the share of
          tokens that compete with this account, itself included. What is left
          yields to it. Without reports all compete.
        """
        scale = self._usage.scale(now)
        slack = MIN_LEAD_S * self._usage.tokens_per_s(now) * scale
        level = self._level(now)
        own = self.start_tag(account)
        is_ahead = self._use(account) > MIN_AHEAD * level
        first = rivals = yielding = 0
        for name, tokens in self._waiting_peers(now).items():
            lead = own - self.start_tag(name)
            if is_ahead and lead * self._weight_of(account) > slack:
                first += RESERVE * tokens
            elif (
                self._use(name) > MIN_AHEAD * level
                and -lead * self._weight_of(name) > slack
            ):
                yielding += tokens
            else:
                rivals += tokens
        others = rivals + yielding
        if not yielding:
            return first, 1.0
        # Those that yield leave that much more than what is needed.
        return first, rivals / others / RESERVE

    def should_log(self, account: bytes, now: float) -> bool:
        """Whether to log now that a request of an account is passed over."""
        found = self._usage.touch(account)
        if now < found.logged_s + LOG_INTERVAL_S:
            return False
        found.logged_s = now
        return True

    def _activate(self, accounts: Iterable[bytes], now: float) -> None:
        """Lifts those accounts that have had no queued request."""
        known = self._waiting_peers(now)
        returning = [
            one
            for one in accounts
            if one not in self._queued and one not in known
        ]
        if not returning:
            return
        scale = self._usage.scale(now)
        # None of them counts as waiting yet, so the lowest tag of the others is
        # the same for all of them.
        floor, weight = self._floor(returning[0], now)
        if floor is None:
            tag, at_s = self._served
            is_recent = now < at_s + PEER_WAITING_S
            floor = tag * scale if is_recent else 0.0
        credit = MAX_CREDIT_S * self._usage.tokens_per_s(now) * scale / weight
        for account in returning:
            behind = floor - credit - self.start_tag(account)
            if behind > 0:
                self._usage.touch(account).lift += behind

    def _floor(self, account: bytes, now: float) -> tuple[float | None, float]:
        """Returns the lowest tag of the other accounts that wait.

        Returns:
          The tag, None if no other account waits; and the account's weight.
        """
        waiting = {*self._queued, *self._waiting_peers(now)} - {account}
        lowest = min(waiting, key=self.start_tag, default=None)
        if lowest is None:
            return None, DEFAULT_WEIGHT
        return self.start_tag(lowest), self._weight_of(lowest)

    def _use(self, account: bytes) -> float:
        """Returns the scaled tokens of an account divided by its weight."""
        found = self._usage.get(account)
        return found.total / self._weight_of(account) if found else 0.0

    def _level(self, now: float) -> float:
        """Returns what each unit of weight would have used in equal shares."""
        level, until_s = self._known_level
        scale = self._usage.scale(now)
        if now >= until_s:
            weight = sum(map(self._weight_of, self._usage.active()))
            level = self._usage.tokens_per_s(now) / weight if weight else 0.0
            self._known_level = (level, now + ANNOUNCE_INTERVAL_S)
        return level * account_usage.DECAY_S * scale

    def _waiting_peers(self, now: float) -> dict[bytes, int]:
        """Returns the tokens queued at all peers, by account."""
        if now >= self._summed_s + SUM_INTERVAL_S:
            self._summed_s = now
            self._summed = collections.Counter()
            for reported_s, waiting in self._peers.values():
                if now < reported_s + PEER_WAITING_S:
                    self._summed.update(waiting)
        return self._summed
