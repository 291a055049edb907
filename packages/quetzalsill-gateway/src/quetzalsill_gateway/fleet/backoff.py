"""Pauses that upstreams ask this gateway to make.

An upstream that rejects a request may name the time for which it wants no
others from this gateway. It gets none until then, whatever they are: first
sends, repeats, or runs that resume. Other gateways were not asked and go on.

Afterwards this gateway returns gradually. Gateways that were asked together
return one after another, since all of them at once would cause the next
rejection. Each sends one request first, and two more for each that is answered.
If none is answered, it sends one at a time, so that the upstream is used again
in any case.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import email.utils
import math
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

import xxhash

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import incarnation_table, server_limits

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import members as members_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['Backoffs', 'parse']

REJECTED_STATUS = 503
# The gateways return within this share of the pause, or more slowly if there
# are many of them.
SPREAD_SHARE = 0.25
GATEWAY_INTERVAL_S = 0.01
MAX_SPREAD_S = 5.0
# Requests that each answered one allows in addition.
GROWTH = 2
# After this many answers, the return is complete.
MAX_ANSWERS = 8
# It is complete after this time too, if there are few requests.
MAX_RETURN_S = 5.0
# Without an answer, another request may be sent after this time.
RETRY_INTERVAL_S = 0.25
# Assumed time until a request is answered that another one waits for.
ANSWER_S = 0.03
# Requests per pause that may be sent because a run would be lost otherwise.
MAX_RESUMED = 1
RETENTION_S = 60.0
# A longer extension of a pause is logged.
LOGGED_EXTENSION_S = 1.0
MAX_TIMER_S = 3600.0
# A longer pause ends with the incarnation.
MAX_PAUSE_S = 1e9


@dataclasses.dataclass(slots=True)
class _Backoff:
    """The pause of one incarnation, and the return from it.

    Attributes:
      upstream: The upstream.
      begun_s: Loop time at which it was first asked for.
      until_s: Loop time at which it ends for the upstream.
      resume_s: Loop time from which this gateway sends again.
      logged_until_s: Value of `until_s` that was logged.
      sent: Requests sent since `resume_s`.
      sent_s: Loop time of the last of them.
      answered: How many of them were answered.
      resumed: Runs that were resumed within the pause.
    """

    upstream: upstream_lib.Upstream
    begun_s: float
    until_s: float = -math.inf
    resume_s: float = -math.inf
    logged_until_s: float = -math.inf
    sent: int = 0
    sent_s: float = -math.inf
    answered: int = 0
    resumed: int = 0

    @property
    def allowed(self) -> int:
        """Number of requests that may be sent without waiting for answers."""
        return 1 + GROWTH * self.answered - self.sent

    def is_over(self, now: float) -> bool:
        """Whether the return from the pause is complete."""
        return (
            self.answered >= MAX_ANSWERS or now > self.resume_s + MAX_RETURN_S
        )

    def allows(self, now: float) -> bool:
        """Whether a request may be sent now."""
        if now < self.resume_s:
            return False
        return self.allowed > 0 or now - self.sent_s >= RETRY_INTERVAL_S

    def waits_s(self, count: int, now: float) -> list[float]:
        """Returns the expected times until each of the next requests."""
        allowed = max(self.allowed, int(self.allows(now)))
        left_s = max(0.0, self.resume_s - now)
        return [
            left_s + max(0, number - allowed + 1) * ANSWER_S
            for number in range(count)
        ]


class Backoffs:
    """The pauses that upstreams have asked one gateway to make."""

    def __init__(self, members: members_lib.Members) -> None:
        """Starts without any.

        Args:
          members: Gateways that may have been asked together.
        """
        self._members = members
        self._table: incarnation_table.IncarnationTable[_Backoff] = (
            incarnation_table.IncarnationTable(
                lambda backoff: backoff.until_s, RETENTION_S
            )
        )
        self._invalid = incarnation_table.InvalidValueLog(_invalid_time)
        self._on_end: Callable[[upstream_lib.Upstream], None] = lambda _: None

    def __bool__(self) -> bool:
        """Whether there are any, also ended ones."""
        return bool(self._table)

    def on_end(self, callback: Callable[[upstream_lib.Upstream], None]) -> None:
        """Sets a callback for the ends of pauses."""
        self._on_end = callback

    def is_pausing(self, found: upstream_lib.Upstream) -> bool:
        """Whether an upstream gets no requests from this gateway now."""
        return self.left_s(found) > 0.0

    def is_active(self, found: upstream_lib.Upstream) -> bool:
        """Whether it is pausing, or the return from its pause goes on."""
        return self._active(found) is not None

    def left_s(self, found: upstream_lib.Upstream) -> float:
        """Returns for how much longer it gets none, in seconds."""
        if not self._table:
            return 0.0
        backoff = self._table.get(found.key)
        return 0.0 if backoff is None else max(0.0, backoff.resume_s - _now())

    def allows(self, found: upstream_lib.Upstream) -> bool:
        """Whether a request may be sent to an upstream now."""
        backoff = self._active(found)
        return backoff is None or backoff.allows(_now())

    def waits_s(
        self, found: upstream_lib.Upstream, count: int
    ) -> list[float] | None:
        """Returns the expected times until requests may be sent.

        Args:
          found: The upstream.
          count: Number of requests.

        Returns:
          A time in seconds for each; None if the upstream takes any number.
        """
        backoff = self._active(found)
        return None if backoff is None else backoff.waits_s(count, _now())

    def consume(self, found: upstream_lib.Upstream) -> None:
        """Counts a request that is sent to an upstream."""
        backoff = self._active(found)
        now = _now()
        if backoff is not None and now >= backoff.resume_s:
            backoff.sent += 1
            backoff.sent_s = now

    def try_resume(self, found: upstream_lib.Upstream) -> bool:
        """Whether a run may resume at an upstream in spite of its pause.

        An upstream bears a request or two, and the run would be lost.
        """
        if not self.is_pausing(found):
            return True
        backoff = self._table.get(found.key)
        backoff.resumed += 1
        return backoff.resumed <= MAX_RESUMED

    def record_response(
        self,
        found: upstream_lib.Upstream,
        status: int,
        values: Iterable[bytes],
        date: bytes | None,
        sent_s: float,
    ) -> None:
        """Records a response of an upstream.

        Args:
          found: The upstream.
          status: Status of the response.
          values: Values of all headers that name a time.
          date: Value of its date header; None if it has none.
          sent_s: Loop time at which the request was sent.
        """
        if status != REJECTED_STATUS:
            self._record_answer(found, sent_s)
            return
        values = list(values)
        pause_s = parse(values, date)
        if pause_s:
            self._extend(found, pause_s)
        elif values and pause_s is None:
            self._invalid.note(found, values)

    def expire(self, known: Iterable[upstream_lib.Upstream]) -> None:
        """Drops the pauses that are over, or whose upstreams are gone."""
        now = _now()
        self._table.expire(known, lambda backoff: not backoff.is_over(now))

    def _active(self, found: upstream_lib.Upstream) -> _Backoff | None:
        if not self._table:
            return None
        backoff = self._table.get(found.key)
        if backoff is not None and backoff.is_over(_now()):
            self._table.discard(found.key)
            return None
        return backoff

    def _record_answer(
        self, found: upstream_lib.Upstream, sent_s: float
    ) -> None:
        backoff = self._active(found)
        # One that was sent before the pause shows nothing.
        if backoff is not None and sent_s >= backoff.resume_s:
            backoff.answered += 1

    def _extend(self, found: upstream_lib.Upstream, pause_s: float) -> None:
        now = _now()
        backoff = self._active(found)
        is_new = backoff is None or now >= backoff.resume_s
        if is_new:
            backoff = _Backoff(found, now)
            self._table.put(found.key, backoff)
        if now + pause_s > backoff.until_s:
            backoff.until_s = now + pause_s
            spread_s = self._spread_s(found, pause_s)
            backoff.resume_s = backoff.until_s + spread_s
        if backoff.until_s > backoff.logged_until_s + LOGGED_EXTENSION_S:
            backoff.logged_until_s = backoff.until_s
            event.note(
                event.ServerBackoff(
                    upstream=found.id,
                    for_s=round(pause_s, 3),
                    resumes_in_s=round(backoff.resume_s - now, 3),
                )
            )
        if is_new:
            self._schedule_end(backoff)

    def _spread_s(self, found: upstream_lib.Upstream, pause_s: float) -> float:
        """Returns when this gateway returns, after the end of a pause."""
        gateways = len(self._members.names(_now()))
        if gateways == 1:
            return 0.0
        name = f'{found.key}/{self._members.node}/{pause_s}'
        fraction = xxhash.xxh32_intdigest(name.encode()) / 2**32
        range_s = max(SPREAD_SHARE * pause_s, GATEWAY_INTERVAL_S * gateways)
        return fraction * min(MAX_SPREAD_S, range_s)

    def _schedule_end(self, backoff: _Backoff) -> None:
        delay_s = min(MAX_TIMER_S, max(0.0, backoff.resume_s - _now()))
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._handle_end, backoff)

    def _handle_end(self, backoff: _Backoff) -> None:
        if self._table.get(backoff.upstream.key) is not backoff:
            return
        now = _now()
        if now < backoff.resume_s:
            # It was extended.
            self._schedule_end(backoff)
            return
        event.note(
            event.ServerBackoffEnded(
                upstream=backoff.upstream.id,
                paused_s=round(now - backoff.begun_s, 3),
            )
        )
        self._on_end(backoff.upstream)


def parse(values: Iterable[bytes], date: bytes | None) -> float | None:
    """Returns the time that headers name, in seconds; None if none is valid.

    Of several valid values the highest counts, also within one header. A date
    counts from the one of the response, as the clocks of two hosts differ.

    Args:
      values: Values of the headers.
      date: Date of the response; None if it has none.
    """
    return max(_times_s(values, date), default=None)


def _times_s(values: Iterable[bytes], date: bytes | None) -> Iterator[float]:
    for value in values:
        at = _parse_date(value)
        sent_at = _parse_date(date or b'')
        if at is not None and sent_at is not None:
            yield max(0.0, (at - sent_at).total_seconds())
        for text in value.split(b','):
            if server_limits.DECIMAL.fullmatch(text.strip()):
                yield min(MAX_PAUSE_S, float(text))


def _parse_date(value: bytes) -> datetime.datetime | None:
    try:
        found = email.utils.parsedate_to_datetime(value.decode('latin-1'))
    except (ValueError, OverflowError):
        return None
    return found if found.tzinfo is not None else None


def _invalid_time(upstream_id: str, value: str) -> event.RetryAfterInvalid:
    return event.RetryAfterInvalid(
        upstream=upstream_id,
        value=value,
        advice='Name a decimal number of seconds, from 0.',
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
