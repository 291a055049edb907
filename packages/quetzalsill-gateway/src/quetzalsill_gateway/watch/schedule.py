"""When a gateway asks a source itself, and when it leaves that to another.

With one watch of its own in each gateway, calls to the source grow with the
fleet although all are told the same. Here whoever asks tells the others, and
who has just been told waits. Nobody is elected: each draws the time at which it
asks if it has heard nothing by then, as the Trickle algorithm does (RFC 6206).
A gateway that is lost, paused or cut off is replaced by the next draw, and one
that hears nobody asks at its own times.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable

from quetzalsill_gateway.fleet import pace

__all__ = ['PollIntervals', 'PollSchedule']

# After a failed call; doubled up to the longest.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
# Where many miss the source, the first that gets an answer tells all others;
# so each may ask the more rarely, but not for longer than this. It is within
# what a source takes to be called stable again.
MAX_FLEET_RETRY_S = 2.0
RETRY_PER_GATEWAY_S = 0.1
# While others are served and tell, a gateway that is turned away tries this
# often whether it is still so.
RETRY_WHILE_UPDATED_S = 2.0
JITTER = (0.75, 1.25)


@dataclasses.dataclass(slots=True, frozen=True)
class PollIntervals:
    """How long a gateway leaves a source alone, in seconds.

    Attributes:
      min_delay_s: At least, after another gateway was answered; longer than a
        call waits at the source for a change.
      jitter_s: Width of the draw that is added.
      repoll_delay_s: For whoever was answered last. It asks on, so that one
        call is at the source at any time, which every change ends at once.
    """

    min_delay_s: float
    jitter_s: float
    repoll_delay_s: float = 0.0


class PollSchedule:
    """One gateway's next call to one source."""

    def __init__(
        self,
        intervals: PollIntervals,
        gateway_count: Callable[[], int],
        rng: random.Random | None = None,
    ) -> None:
        """Starts with a call that is due.

        Args:
          intervals: How long the source is left alone.
          gateway_count: Returns how many gateways follow the source together,
            this included.
          rng: Draws the times.
        """
        self._intervals = intervals
        self._gateway_count = gateway_count
        self._rng = rng or random.Random()
        self._due_s = 0.0
        self._failures = 0
        self._updated_due_s = 0.0
        self._polled_s = 0.0
        self._peer_answer_s = 0.0
        self._is_lagging = False
        self._rescheduled = asyncio.Event()
        self._has_random_due = False
        self._is_poller = False
        self._resyncs = 0

    @property
    def is_behind(self) -> bool:
        """Whether others know more, or the source has not answered of late."""
        return self._is_lagging or self._failures > 0

    async def wait(self) -> None:
        """Returns when the next call is due."""
        loop = asyncio.get_running_loop()
        while (left_s := self._due_s - loop.time()) > 0:
            self._rescheduled.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._rescheduled.wait()
        self._polled_s = loop.time()
        self._has_random_due = self._is_poller = False

    def poll_now(self) -> None:
        """Makes the call due now: others know what is not known here."""
        self._due_s = 0.0
        self._is_lagging = True
        self._rescheduled.set()

    def poll_within(self, within_s: float, *, is_behind: bool = False) -> None:
        """Makes the call due at a draw of the time that follows.

        Also if another is told meanwhile; but not sooner than after a failed
        call, since a source that is away is not to be asked the more for it.

        Args:
          within_s: Width of the draw, in seconds.
          is_behind: Whether others have been told already.
        """
        self._is_lagging = self._is_lagging or is_behind
        if self._failures or self._has_random_due:
            # Drawn anew at each word of the others, it would come early.
            return
        self._has_random_due = True
        now = asyncio.get_running_loop().time()
        due_s = now + self._rng.uniform(0.0, within_s)
        if due_s < self._due_s:
            self._due_s = due_s
            self._rescheduled.set()

    def note_resync(self, now: float, *, is_expected: bool = True) -> None:
        """Notes that the source doesn't tell on from what is known.

        All is asked for anew, at once. A source that lists all and then doesn't
        tell on from there either, each time, is asked the more rarely: without
        a pause each gateway would have a call there at any time.

        Args:
          now: Loop time.
          is_expected: Whether that may happen to a sound source.
        """
        if not is_expected:
            self._resyncs = max(1, self._resyncs)
        if self._resyncs:
            retry_s = FIRST_RETRY_S * 2**self._resyncs
            retry_s = min(MAX_FLEET_RETRY_S, retry_s)
            self._due_s = now + retry_s * self._rng.uniform(*JITTER)
        self._resyncs = min(self._resyncs + 1, 10)

    def note_resumed(self) -> None:
        """Notes that the source has told on from what was known."""
        self._resyncs = 0

    def note_answer(self, now: float) -> bool:
        """Notes that the source has answered this gateway.

        Returns:
          Whether it was the only one, as far as it knows: the others wait for
          its word. Of two whose calls overlap, the second to end hears of the
          first and is silent, so that the first goes on.
        """
        self._failures = 0
        is_only_poller = (
            self._peer_answer_s < self._polled_s and not self._is_lagging
        )
        self._is_lagging = False
        self._is_poller = is_only_poller
        delay_s = (
            self._repoll_delay_s() if is_only_poller else self._random_delay_s()
        )
        self._due_s = now + delay_s
        return is_only_poller

    def note_failure(self, now: float) -> None:
        """Notes that the source has not answered."""
        max_retry_s = RETRY_PER_GATEWAY_S * self._gateway_count()
        max_retry_s = max(MAX_RETRY_S, max_retry_s)
        max_retry_s = min(MAX_FLEET_RETRY_S, max_retry_s)
        retry_s = min(max_retry_s, FIRST_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._due_s = now + retry_s * self._rng.uniform(*JITTER)
        updated_s = RETRY_WHILE_UPDATED_S * self._rng.uniform(*JITTER)
        self._updated_due_s = now + updated_s

    def note_peer_answer(
        self, now: float, *, has_priority: bool = False
    ) -> None:
        """Notes that another gateway was answered, and what it was told.

        Of two that were answered at once each hears the other as it pauses
        before it asks on. One of them has to: if both left the source to the
        other, nobody would see a change until the next draw.

        Args:
          now: Loop time.
          has_priority: Whether this gateway goes before the other.
        """
        self._peer_answer_s = now
        self._has_random_due = False
        if self._is_poller and has_priority:
            return
        self._is_poller = False
        if self._failures:
            # Put off each time, it would never notice that it is served again.
            self._due_s = self._updated_due_s
        else:
            self._due_s = now + self._random_delay_s()

    def _repoll_delay_s(self) -> float:
        """Each answer goes to all, so that a large fleet takes in fewer."""
        return self._intervals.repoll_delay_s * max(
            1.0, self._gateway_count() / pace.NEAR
        )

    def _random_delay_s(self) -> float:
        random_s = self._rng.uniform(0.0, self._intervals.jitter_s)
        return self._intervals.min_delay_s + random_s
