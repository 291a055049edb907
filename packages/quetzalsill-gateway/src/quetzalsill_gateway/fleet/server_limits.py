"""Limits on requests a second that upstreams name in their responses.

A limit holds for all gateways together and for as long as the upstream names
it. An upstream that gets no requests names nothing, so its limit stays in force
until a response without one shows that it was lifted. Responses overtake each
other: one shows that only if its request was sent after the last response that
named the limit had arrived, and one that was requested before the limit was
lifted does not bring it back.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
import re
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import incarnation_table, upstream

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['LimitUpdate', 'Limit', 'ServerLimits', 'parse']

# A larger limit is as good as none.
MAX_PER_S = 1e6
DECIMAL = re.compile(rb'[0-9]+(\.[0-9]*)?|\.[0-9]+')
# A limit of an unknown upstream, and one that was lifted, are kept for this
# long: the membership may be late, and so may responses that name it.
RETENTION_S = 60.0
# Limits in one datagram.
MAX_ITEMS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class Limit:
    """What is known of the limit of one incarnation of an upstream.

    Attributes:
      key: Key of the upstream.
      per_s: Requests a second, from all gateways together.
      named_s: Loop time at which the last response that named it arrived.
      lifted_s: Loop time at which the request was sent whose response showed
        that it was lifted; minus infinity if there was none.
    """

    key: str
    per_s: float
    named_s: float
    lifted_s: float = -math.inf

    @property
    def is_in_force(self) -> bool:
        """Whether the limit applies."""
        return self.named_s >= self.lifted_s


@dataclasses.dataclass(slots=True, frozen=True)
class LimitUpdate:
    """Limits that a gateway announces.

    Attributes:
      limits: The limits.
      sender: Name of the sending gateway; set on receipt.
    """

    limits: tuple[Limit, ...]
    sender: str = dataclasses.field(default='', compare=False)


class ServerLimits:
    """The limits that are known to a gateway."""

    def __init__(self) -> None:
        self._limits: incarnation_table.IncarnationTable[Limit] = (
            incarnation_table.IncarnationTable(_observed_s, RETENTION_S)
        )
        self._invalid = incarnation_table.InvalidValueLog(_invalid_limit)
        self._announce: Callable[[LimitUpdate], None] = lambda _: None

    def __bool__(self) -> bool:
        """Whether any limit is known, also lifted ones."""
        return bool(self._limits)

    def set_announcer(self, announce: Callable[[LimitUpdate], None]) -> None:
        """Sets the function that sends updates to the other gateways."""
        self._announce = announce

    def in_force(self, found: upstream_lib.Upstream) -> Limit | None:
        """Returns the limit of an upstream, None if it has none."""
        if not self._limits:
            return None
        limit = self._limits.get(found.key)
        return limit if limit is not None and limit.is_in_force else None

    def record_response(
        self,
        found: upstream_lib.Upstream,
        values: Iterable[bytes],
        sent_s: float,
        *,
        is_proved: bool,
    ) -> None:
        """Records whether a response of an upstream names a limit.

        Args:
          found: The upstream.
          values: Values of all headers that name one.
          sent_s: Loop time at which the request was sent.
          is_proved: Whether the response is certainly the upstream's own; only
            then it shows that a limit was lifted.
        """
        values = list(values)
        if not values and not self._limits:
            return
        known = self._limits.get(found.key)
        if values:
            per_s = parse(values)
            if per_s is None:
                self._invalid.note(found, values)
            elif known is None or sent_s > known.lifted_s:
                self._name(found.key, per_s, known)
        elif (
            known is not None
            and known.is_in_force
            and is_proved
            and sent_s > known.named_s
        ):
            lifted = dataclasses.replace(known, lifted_s=sent_s)
            self._apply(lifted, '')
            self._announce(LimitUpdate((lifted,)))

    def receive(self, update: LimitUpdate) -> None:
        """Applies the limits that another gateway knows."""
        for limit in update.limits:
            known = self._limits.get(limit.key)
            if known is not None:
                newest = limit if limit.named_s > known.named_s else known
                limit = dataclasses.replace(
                    newest, lifted_s=max(limit.lifted_s, known.lifted_s)
                )
            self._apply(limit, update.sender)

    def expire(self, known: Iterable[upstream_lib.Upstream]) -> None:
        """Drops the limits of upstreams that are gone, and lifted ones."""
        self._limits.expire(known, lambda limit: limit.is_in_force)

    def updates(self) -> list[LimitUpdate]:
        """Returns all that is known, for a gateway that may have missed it."""
        limits = list(self._limits.values())
        return [
            LimitUpdate(tuple(limits[first : first + MAX_ITEMS]))
            for first in range(0, len(limits), MAX_ITEMS)
        ]

    def _name(self, key: str, per_s: float, known: Limit | None) -> None:
        now = asyncio.get_running_loop().time()
        limit = Limit(key, per_s, now, known.lifted_s if known else -math.inf)
        is_news = known is None or not known.is_in_force or known.per_s != per_s
        self._apply(limit, '')
        if is_news:
            self._announce(LimitUpdate((limit,)))

    def _apply(self, limit: Limit, sender: str) -> None:
        known = self._limits.get(limit.key)
        self._limits.put(limit.key, limit)
        before = known.per_s if known and known.is_in_force else None
        after = limit.per_s if limit.is_in_force else None
        if before != after:
            event.note(
                event.ServerLimit(
                    upstream=limit.key.partition(upstream.KEY_SEPARATOR)[0],
                    per_s=after,
                    source=sender,
                )
            )


def _observed_s(limit: Limit) -> float:
    return max(limit.named_s, limit.lifted_s)


def _invalid_limit(upstream_id: str, value: str) -> event.ServerLimitInvalid:
    return event.ServerLimitInvalid(
        upstream=upstream_id,
        value=value,
        advice='Name a decimal number of requests a second, from 0.',
    )


def parse(values: Iterable[bytes]) -> float | None:
    """Returns the limit that headers name, None if no value is valid.

    Of several valid values the lowest counts, also within one header.
    """
    texts = b','.join(values).split(b',')
    found = [
        min(MAX_PER_S, float(text))
        for text in texts
        if DECIMAL.fullmatch(text.strip())
    ]
    return min(found, default=None)
