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

from quetzalsill_gateway.fleet import publish_timing

__all__ = ['PollIntervals', 'PollSchedule']

# After a failed call; doubled up to the longest.
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8
# Where many miss the source, the first that gets an answer tells all others;
# so each may ask the more rarely, but not for longer than this. It is within
# what a source takes to be called stable again.
LONGEST_RETRY_OF_MANY_S = 2.0
RETRY_PER_GATEWAY_S = 0.1
# While others are served and tell, a gateway that is turned away tries this
# often whether it is still so.
RETRY_WHILE_TOLD_S = 2.0
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
        pace: PollIntervals,
        sharers: Callable[[], int],
        rng: random.Random | None = None,
    ) -> None:
        """Starts with a call that is due.

        Args:
          pace: How long the source is left alone.
          sharers: Returns how many gateways tell each other, this included.
          rng: Draws the times.
        """
        self._pace = pace
        self._sharers = sharers
        self._rng = rng or random.Random()
        self._due_s = 0.0
        self._failures = 0
        self._told_due_s = 0.0
        self._asked_s = 0.0
        self._heard_s = 0.0
        self._is_hurried = False
        self._hurried = asyncio.Event()
        self._is_drawn = False
        self._watches = False
        self._dead_ends = 0

    @property
    def is_behind(self) -> bool:
        """Whether others know more, or the source has not answered of late."""
        return self._is_hurried or self._failures > 0

    async def wait(self) -> None:
        """Returns when the next call is due."""
        loop = asyncio.get_running_loop()
        while (left_s := self._due_s - loop.time()) > 0:
            self._hurried.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._hurried.wait()
        self._asked_s = loop.time()
        self._is_drawn = self._watches = False

    def poll_now(self) -> None:
        """Makes the call due now: others know what is not known here."""
        self._due_s = 0.0
        self._is_hurried = True
        self._hurried.set()

    def poll_within(self, spread_s: float, *, is_behind: bool = False) -> None:
        """Makes the call due at a draw of the time that follows.

        Also if another is told meanwhile; but not sooner than after a failed
        call, since a source that is away is not to be asked the more for it.

        Args:
          spread_s: Width of the draw, in seconds.
          is_behind: Whether others have been told already.
        """
        self._is_hurried = self._is_hurried or is_behind
        if self._failures or self._is_drawn:
            # Drawn anew at each word of the others, it would come early.
            return
        self._is_drawn = True
        now = asyncio.get_running_loop().time()
        due_s = now + self._rng.uniform(0.0, spread_s)
        if due_s < self._due_s:
            self._due_s = due_s
            self._hurried.set()

    def note_resync(self, now: float, *, at_once: bool = True) -> None:
        """Notes that the source doesn't tell on from what is known.

        All is asked for anew, at once. A source that lists all and then doesn't
        tell on from there either, each time, is asked the more rarely: without
        a pause each gateway would have a call there at any time.

        Args:
          now: Loop time.
          at_once: Whether that may happen to a sound source.
        """
        if not at_once:
            self._dead_ends = max(1, self._dead_ends)
        if self._dead_ends:
            retry_s = FIRST_RETRY_S * 2**self._dead_ends
            retry_s = min(LONGEST_RETRY_OF_MANY_S, retry_s)
            self._due_s = now + retry_s * self._rng.uniform(*JITTER)
        self._dead_ends = min(self._dead_ends + 1, 10)

    def note_resumed(self) -> None:
        """Notes that the source has told on from what was known."""
        self._dead_ends = 0

    def note_answer(self, now: float) -> bool:
        """Notes that the source has answered this gateway.

        Returns:
          Whether it was the only one, as far as it knows: the others wait for
          its word. Of two whose calls overlap, the second to end hears of the
          first and is silent, so that the first goes on.
        """
        self._failures = 0
        is_alone = self._heard_s < self._asked_s and not self._is_hurried
        self._is_hurried = False
        self._watches = is_alone
        after_s = self._ask_on_s() if is_alone else self._draw_s()
        self._due_s = now + after_s
        return is_alone

    def note_failure(self, now: float) -> None:
        """Notes that the source has not answered."""
        longest_s = RETRY_PER_GATEWAY_S * self._sharers()
        longest_s = max(LONGEST_RETRY_S, longest_s)
        longest_s = min(LONGEST_RETRY_OF_MANY_S, longest_s)
        retry_s = min(longest_s, FIRST_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._due_s = now + retry_s * self._rng.uniform(*JITTER)
        told_s = RETRY_WHILE_TOLD_S * self._rng.uniform(*JITTER)
        self._told_due_s = now + told_s

    def note_peer_answer(self, now: float, *, is_first: bool = False) -> None:
        """Notes that another gateway was answered, and what it was told.

        Of two that were answered at once each hears the other as it pauses
        before it asks on. One of them has to: if both left the source to the
        other, nobody would see a change until the next draw.

        Args:
          now: Loop time.
          is_first: Whether this gateway goes before the other.
        """
        self._heard_s = now
        self._is_drawn = False
        if self._watches and is_first:
            return
        self._watches = False
        if self._failures:
            # Put off each time, it would never notice that it is served again.
            self._due_s = self._told_due_s
        else:
            self._due_s = now + self._draw_s()

    def _ask_on_s(self) -> float:
        """Each answer goes to all, so that a large fleet takes in fewer."""
        return self._pace.repoll_delay_s * max(
            1.0, self._sharers() / publish_timing.SMALL_FLEET
        )

    def _draw_s(self) -> float:
        drawn_s = self._rng.uniform(0.0, self._pace.jitter_s)
        return self._pace.min_delay_s + drawn_s
