"""Bounds what all clients of a process hold together.

Limits on a request or connection bound nothing over all connections. A ledger
counts what each connection holds: bytes received, requests kept for retries,
answers not read. Under pressure it evicts the connections that hold most while
their clients make least progress; a part that large bodies don't get keeps
small requests served.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import resource
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from quetzalsill import event
from quetzalsill.telemetry import metric

if TYPE_CHECKING:
    from quetzalsill.settings import section

__all__ = [
    'MONITORING_BOUNDS',
    'Account',
    'Bounds',
    'Holder',
    'Ledger',
    'Progress',
    'bounds_of',
]

MB = 1_048_576
# The rest is the program itself, its upstreams and its peers.
CLIENT_SHARE = 0.25
BODY_SHARE = 0.75
# Larger bodies do not get the part that is left to small requests.
SMALL_BODY_BYTES = 65_536
# Objects of an open connection, and of a request that is being served.
CONNECTION_BYTES = 8_192
# Descriptors kept for files, and the share of the others for clients; the rest
# serves upstreams, peers and the store.
FILE_DESCRIPTORS = 200
DESCRIPTOR_SHARE = 0.75
MIN_CONNECTIONS = 16
# Less than this is no progress of a body or of an answer that is being read.
PROGRESS_BYTES = 65_536
# A client that takes or sends nothing for less than this is not stalled.
MIN_STALL_S = 0.25
# Each search goes through all connections, so it makes room for several.
EVICT_TO_SHARE = 0.98
SEARCH_INTERVAL_S = 0.05
REPORT_INTERVAL_S = 1.0

evicted = metric.counter(
    'quetzalsill_clients_evicted_total',
    'Connections of clients closed to free memory or descriptors.',
)
held_bytes = metric.gauge(
    'quetzalsill_clients_held_bytes',
    'What clients hold, by kind: all of it, large bodies, and their bounds.',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """What the clients of a listener may hold together.

    Attributes:
      memory_bytes: Memory.
      connections: Open connections.
    """

    memory_bytes: int = 256 * MB
    connections: int = 10_000


# Of readiness, health and metrics.
MONITORING_BOUNDS = Bounds(4 * MB, 64)


def bounds_of(machine: section.Machine, default_mb: float) -> Bounds:
    """Returns the bounds for the clients of a process.

    Args:
      machine: What the process may use; zeros stand for defaults.
      default_mb: Memory of a process whose settings name none, in MB, or that
        of the machine if it has less.
    """
    reported_bytes = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    memory_bytes = machine.memory_mb * MB or min(
        reported_bytes, default_mb * MB
    )
    descriptors = machine.file_descriptors
    if not descriptors:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    clients = int((descriptors - FILE_DESCRIPTORS) * DESCRIPTOR_SHARE)
    return Bounds(
        int(memory_bytes * CLIENT_SHARE), max(MIN_CONNECTIONS, clients)
    )


class Progress:
    """Since when an amount has grown by less than a step.

    Attributes:
      since_s: Loop time.
    """

    __slots__ = ('_amount', 'since_s')

    def __init__(self) -> None:
        self._amount = 0
        self.since_s = 0.0

    def begin(self, amount: int, now_s: float) -> None:
        """Starts with an amount."""
        self._amount = amount
        self.since_s = now_s

    def update(self, amount: int, now_s: float) -> None:
        """Records the amount now."""
        if amount - self._amount >= PROGRESS_BYTES:
            self.begin(amount, now_s)


class Holder(Protocol):
    """A connection that holds memory for its client."""

    def stalled_s(self, now_s: float) -> float:
        """Returns for how long its client has made no progress, in seconds.

        0 while the client is not the one that is waited for.
        """

    def evict(self) -> None:
        """Gives back what it holds, and refuses or closes at once."""


class Account:
    """What one connection holds, until it is closed."""

    __slots__ = ('_ledger', 'body_bytes', 'holder', 'other_bytes')

    def __init__(self, ledger: Ledger, holder: Holder) -> None:
        self._ledger = ledger
        self.holder = holder
        self.other_bytes = 0
        self.body_bytes = 0

    @property
    def held_bytes(self) -> int:
        """All that the connection holds."""
        return self.other_bytes + self.body_bytes

    def hold(self, size: int) -> None:
        """Records what it holds besides the body of a request.

        Args:
          size: Bytes, besides the connection itself.
        """
        self._ledger.change(self, CONNECTION_BYTES + size, self.body_bytes)

    def admit_body(self, size: int) -> bool:
        """Returns whether a request with a body is admitted, and records it.

        One large body is always admitted, whatever its size.

        Args:
          size: Size that the body has or may grow to; 0 for none.
        """
        if not self._ledger.has_room_for_body(self, size):
            return False
        self._ledger.change(self, self.other_bytes, size)
        return True

    def release_body(self) -> None:
        """Records that the body is no longer held."""
        self._ledger.change(self, self.other_bytes, 0)

    def close(self) -> None:
        """Gives everything back; nothing may be held any more."""
        self._ledger.close(self)


class Ledger:
    """What all connections of a listener hold.

    Attributes:
      used_bytes: All of it.
      body_bytes: Large bodies only.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.used_bytes = 0
        self.body_bytes = 0
        self._accounts: set[Account] = set()
        self._next_search_s = 0.0
        self._evicted_count = 0
        self._next_report_s = 0.0

    @property
    def _body_bound_bytes(self) -> int:
        return int(BODY_SHARE * self.bounds.memory_bytes)

    @property
    def _charged_bytes(self) -> int:
        """What counts for others: a single body may be over its bound."""
        bodies = min(self.body_bytes, self._body_bound_bytes)
        return self.used_bytes - self.body_bytes + bodies

    @property
    def connections(self) -> int:
        """Number of open accounts."""
        return len(self._accounts)

    def open(self, holder: Holder) -> Account | None:
        """Returns an account for a new connection; None if there is no room.

        Args:
          holder: The connection.
        """
        if not self._has_room_for_connection(1.0):
            self._evict_until(
                lambda: self._has_room_for_connection(EVICT_TO_SHARE)
            )
            if not self._has_room_for_connection(1.0):
                return None
        account = Account(self, holder)
        self._accounts.add(account)
        account.hold(0)
        return account

    def close(self, account: Account) -> None:
        """Closes an account; a second time has no effect."""
        if account in self._accounts:
            self.change(account, 0, 0)
            self._accounts.discard(account)

    def change(self, account: Account, other: int, body: int) -> None:
        """Records what an account holds now.

        Args:
          account: The account.
          other: Bytes besides the body.
          body: Bytes of the body.
        """
        if account not in self._accounts:
            return
        increase = other + body - account.held_bytes
        self.body_bytes += _large(body) - _large(account.body_bytes)
        account.other_bytes, account.body_bytes = other, body
        self.used_bytes += increase
        if increase > 0:
            self.enforce()

    def enforce(self) -> None:
        """Evicts connections while more is held than may be."""
        bound = self.bounds.memory_bytes
        if self._charged_bytes > bound:
            enough = EVICT_TO_SHARE * bound
            self._evict_until(lambda: self._charged_bytes <= enough)

    def fits(self, size: int) -> bool:
        """Whether bytes fit beside what is held, without an eviction."""
        return self.used_bytes + size <= self._body_bound_bytes

    def has_room_for_body(self, account: Account, size: int) -> bool:
        """Whether a body fits, after stalled connections are evicted.

        Args:
          account: Account of its connection.
          size: Its size in bytes; 0 for a request without one.
        """
        bound = self.bounds.memory_bytes
        increase = size - account.body_bytes

        def has_room_for_small() -> bool:
            return self._charged_bytes + increase <= bound

        def has_room_for_large() -> bool:
            others = self.body_bytes - _large(account.body_bytes)
            return not others or (
                others + size <= self._body_bound_bytes
                and self.used_bytes + increase <= bound
            )

        is_large = _large(size) > 0
        has_room = has_room_for_large if is_large else has_room_for_small
        if not has_room():
            self._evict_until(has_room, is_for_body=is_large, spared=account)
        return has_room()

    def _has_room_for_connection(self, share: float) -> bool:
        bounds = self.bounds
        charged_bytes = self._charged_bytes + CONNECTION_BYTES
        return (
            len(self._accounts) < share * bounds.connections
            and charged_bytes <= share * bounds.memory_bytes
        )

    def observe(self) -> None:
        """Updates the gauges."""
        bound = self.bounds.memory_bytes
        values = {
            'all': self.used_bytes,
            'bodies': self.body_bytes,
            'bound': bound,
            'bound_of_bodies': self._body_bound_bytes,
        }
        for kind, size in values.items():
            held_bytes.set({'of': kind}, size)

    def _evict_until(
        self,
        is_enough: Callable[[], bool],
        *,
        is_for_body: bool = False,
        spared: Account | None = None,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        # Without a victim, the next one appears only as time passes.
        if now_s < self._next_search_s:
            return
        for account in self._victims(now_s, is_for_body, spared):
            account.holder.evict()
            self._count_eviction(now_s)
            if is_enough():
                return
        self._next_search_s = now_s + SEARCH_INTERVAL_S

    def _victims(
        self, now_s: float, is_for_body: bool, spared: Account | None
    ) -> list[Account]:
        """Returns stalled connections, those that hold most for longest first.

        Args:
          now_s: Loop time.
          is_for_body: Whether only large bodies are of use.
          spared: Account that is left out.
        """
        scores = (
            (account.held_bytes * account.holder.stalled_s(now_s), account)
            for account in self._accounts
            if account is not spared
            and (not is_for_body or _large(account.body_bytes))
            and account.holder.stalled_s(now_s) >= MIN_STALL_S
        )
        ordered = sorted(scores, key=lambda pair: pair[0], reverse=True)
        return [account for _, account in ordered]

    def _count_eviction(self, now_s: float) -> None:
        evicted.inc({})
        self._evicted_count += 1
        if now_s >= self._next_report_s:
            event.note(
                event.ClientsEvicted(
                    count=self._evicted_count,
                    connections=len(self._accounts),
                    held_bytes=self.used_bytes,
                    bound_bytes=self.bounds.memory_bytes,
                )
            )
            self._evicted_count = 0
            self._next_report_s = now_s + REPORT_INTERVAL_S


def _large(size: int) -> int:
    return size if size > SMALL_BODY_BYTES else 0
