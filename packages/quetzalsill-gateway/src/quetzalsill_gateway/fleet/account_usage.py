"""Tokens that the gateways have served to each client account lately.

Counters decay exponentially. They are stored multiplied by a factor that grows
at the rate of the decay, so that only a change has to touch them, and so that
their order does not depend on the time.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import heapq
import math
from collections.abc import Mapping

__all__ = [
    'MAX_ITEMS',
    'MAX_NAME_BYTES',
    'MAX_TOKENS',
    'Account',
    'AccountUpdate',
    'AccountUsage',
    'Item',
    'bounded_name',
]

# Time in which a counter decays to 1/e. A constant load is counted like the
# tokens of the last 10 s.
DECAY_S = 10.0
# Counters are scaled back before the factor leaves the range of a float.
MAX_EXPONENT = 100.0
MAX_ACCOUNTS = 10_000
# Gateways whose reports are kept for each account; above the largest fleet
# planned for.
MAX_SENDERS = 512
MAX_NAME_BYTES = 200
DIGEST_BYTES = 16
# One gateway does not serve a million tokens per second, so a larger report
# comes from a faulty sender.
MAX_TOKENS = 10**7
# Accounts in one datagram; about 7 kB with the longest names.
MAX_ITEMS = 32
MAX_WAITING_ITEMS = MAX_ITEMS // 2
# An account is announced if it used more than either.
MIN_SHARE = 0.05
MIN_TOKENS = 10_000
ROUNDING_TOKENS = 1_000
# An account with less use does not count among those that share engines.
ACTIVE_SHARE = 0.001


@dataclasses.dataclass(slots=True, frozen=True)
class Item:
    """The use of one account at one gateway.

    Attributes:
      account: Name of the account, see `bounded_name`.
      tokens: Decayed count of tokens, rounded up.
      waiting: Tokens of its requests that are queued there.
    """

    account: bytes
    tokens: int
    waiting: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class AccountUpdate:
    """The use of accounts that a gateway announces.

    Attributes:
      items: One for each account.
      sender: Name of the sending gateway; set on receipt.
    """

    items: tuple[Item, ...]
    sender: str = dataclasses.field(default='', compare=False)


@dataclasses.dataclass(slots=True, eq=False)
class Account:
    """What is known of one account; counters are scaled.

    Attributes:
      own: Tokens served by this gateway.
      peers: Tokens served by the others, by name.
      total: Sum of both.
      lift: Added to the account's virtual time, see `balance.shares`.
      logged_s: Loop time of the latest log event about it.
    """

    own: float = 0.0
    peers: dict[str, float] = dataclasses.field(default_factory=dict)
    total: float = 0.0
    lift: float = 0.0
    logged_s: float = -math.inf

    def scale(self, factor: float) -> None:
        """Multiplies all counters by a factor."""
        self.own *= factor
        self.total *= factor
        self.lift *= factor
        self.peers = {node: one * factor for node, one in self.peers.items()}


class AccountUsage:
    """The accounts that were used lately, least recently used first."""

    def __init__(self) -> None:
        self._accounts: collections.OrderedDict[bytes, Account] = (
            collections.OrderedDict()
        )
        self._origin_s: float | None = None
        self._sum = 0.0
        self._own_sum = 0.0

    def __len__(self) -> int:
        """Returns the number of accounts."""
        return len(self._accounts)

    def get(self, name: bytes) -> Account | None:
        """Returns what is known of an account; None if nothing is."""
        return self._accounts.get(name)

    def touch(self, name: bytes) -> Account:
        """Returns an account as the most recently used, creating it if needed.

        One that is dropped while it has a queued request loses its count and
        its lift, and is treated like an account that is new.
        """
        found = self._accounts.get(name)
        if found is None:
            found = self._accounts[name] = Account()
            if len(self._accounts) > MAX_ACCOUNTS:
                _, dropped = self._accounts.popitem(last=False)
                self._sum -= dropped.total
                self._own_sum -= dropped.own
        else:
            self._accounts.move_to_end(name)
        return found

    def scale(self, now: float) -> float:
        """Returns the factor by which a count of now is stored."""
        if self._origin_s is None:
            self._origin_s = now
        exponent = (now - self._origin_s) / DECAY_S
        if exponent > MAX_EXPONENT:
            factor = math.exp(-exponent)
            for one in self._accounts.values():
                one.scale(factor)
            # Summed again, so that rounding errors do not add up.
            self._sum = sum(one.total for one in self._accounts.values())
            self._own_sum = sum(one.own for one in self._accounts.values())
            self._origin_s = now
            return 1.0
        return math.exp(exponent)

    def add(self, name: bytes, tokens: int, now: float) -> None:
        """Counts tokens that this gateway serves."""
        scaled = tokens * self.scale(now)
        found = self.touch(name)
        found.own += scaled
        found.total += scaled
        self._sum += scaled
        self._own_sum += scaled

    def set_peer(self, node: str, name: bytes, tokens: int, now: float) -> None:
        """Replaces the count of another gateway."""
        scaled = tokens * self.scale(now)
        found = self.touch(name)
        if node not in found.peers and len(found.peers) >= MAX_SENDERS:
            smallest = min(found.peers, key=found.peers.__getitem__)
            del found.peers[smallest]
        found.peers[node] = scaled
        before = found.total
        found.total = found.own + sum(found.peers.values())
        self._sum += found.total - before

    def tokens_per_s(self, now: float) -> float:
        """Returns the tokens per second that all gateways serve."""
        return max(0.0, self._sum) / self.scale(now) / DECAY_S

    def active(self) -> list[bytes]:
        """Returns the accounts with more than a thousandth of all use."""
        bound = ACTIVE_SHARE * self._sum
        return [
            name for name, one in self._accounts.items() if one.total > bound
        ]

    def announced(self, waiting: Mapping[bytes, int], now: float) -> list[Item]:
        """Returns the accounts to announce.

        Those with queued requests come first, the least used ones first: for
        them, other gateways hold back accounts that are ahead.

        Args:
          waiting: Tokens of queued requests, by account.
          now: Loop time.
        """
        factor = self.scale(now)
        bound = min(MIN_SHARE * self._own_sum, MIN_TOKENS * factor)
        used = [
            (one.own, name)
            for name, one in self._accounts.items()
            if one.own > bound and name not in waiting
        ]
        own = [(self._own(name), name) for name in waiting]
        chosen = heapq.nsmallest(MAX_WAITING_ITEMS, own)
        chosen += heapq.nlargest(MAX_ITEMS - len(chosen), used)
        return [
            Item(
                name,
                _rounded(scaled / factor),
                min(MAX_TOKENS, waiting.get(name, 0)),
            )
            for scaled, name in chosen
        ]

    def _own(self, name: bytes) -> float:
        found = self._accounts.get(name)
        return found.own if found is not None else 0.0


def bounded_name(name: bytes) -> bytes:
    """Returns the name of an account, limited to `MAX_NAME_BYTES`.

    The end of a longer one is replaced by a digest, so that accounts whose
    names begin alike are not counted as one.
    """
    if len(name) <= MAX_NAME_BYTES:
        return name
    digest = hashlib.blake2b(name, digest_size=DIGEST_BYTES).digest()
    return name[: MAX_NAME_BYTES - DIGEST_BYTES] + digest


def _rounded(tokens: float) -> int:
    rounded = math.ceil(tokens / ROUNDING_TOKENS) * ROUNDING_TOKENS
    return min(MAX_TOKENS, rounded)
