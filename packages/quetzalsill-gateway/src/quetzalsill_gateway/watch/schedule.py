"""When a gateway polls a source itself, and when it leaves that to a peer.

If every gateway polled by itself, the load on the source would grow with the
fleet although all get the same answers. Instead the gateway that polls sends
its results to all, and a gateway that has just received some waits. There is no
leader election: each gateway draws the random time at which it polls unless it
has received an update by then, as in the Trickle algorithm (RFC 6206). A
gateway that has failed, is paused or is partitioned off is replaced at the next
such time, and one that receives no updates polls at its own times.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable

from quetzalsill_gateway.fleet import publish_timing

__all__ = ['PollIntervals', 'PollSchedule']

# Delay after a failed poll; doubled up to `MAX_RETRY_S`.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
# If many gateways miss the source, the first that gets an answer sends it to
# all. So each may retry less often the larger the fleet, up to this delay,
# which is within the time in which a recovered source counts as stable.
MAX_FLEET_RETRY_S = 2.0
RETRY_PER_GATEWAY_S = 0.1
# While peers are served and send updates, a gateway whose polls fail retries
# this often.
RETRY_WHILE_UPDATED_S = 2.0
JITTER = (0.75, 1.25)


@dataclasses.dataclass(slots=True, frozen=True)
class PollIntervals:
    """The delays between polls, in seconds.

    Attributes:
      min_delay_s: Minimum delay after a peer was answered; longer than a poll
        waits at the source for a change.
      jitter_s: Upper bound of the random delay that is added.
      repoll_delay_s: Delay of the gateway that was answered last. It polls
        again, so that one call is waiting at the source at any time, which
        every change ends at once.
    """

    min_delay_s: float
    jitter_s: float
    repoll_delay_s: float = 0.0


class PollSchedule:
    """Schedules the polls of one source by one gateway."""

    def __init__(
        self,
        intervals: PollIntervals,
        gateway_count: Callable[[], int],
        rng: random.Random | None = None,
    ) -> None:
        """Starts with a poll that is due.

        Args:
          intervals: Delays between polls.
          gateway_count: Returns how many gateways follow the source together,
            this included.
          rng: Draws the random delays.
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
        """Whether peers know more, or the last poll failed."""
        return self._is_lagging or self._failures > 0

    async def wait(self) -> None:
        """Waits until the next poll is due."""
        loop = asyncio.get_running_loop()
        while (left_s := self._due_s - loop.time()) > 0:
            self._rescheduled.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._rescheduled.wait()
        self._polled_s = loop.time()
        self._has_random_due = self._is_poller = False

    def poll_now(self) -> None:
        """Makes the poll due now, because peers know of changes missed here."""
        self._due_s = 0.0
        self._is_lagging = True
        self._rescheduled.set()

    def poll_within(self, within_s: float, *, is_behind: bool = False) -> None:
        """Makes the poll due at a random time within a period.

        A later update from a peer can postpone it (`note_peer_answer`). After a
        failed poll the retry time stands, so that an unavailable source is not
        polled more often.

        Args:
          within_s: Length of the period, in seconds.
          is_behind: Whether peers already know of changes missed here.
        """
        self._is_lagging = self._is_lagging or is_behind
        if self._failures or self._has_random_due:
            # If every update from a peer drew a new time, the poll would come
            # early.
            return
        self._has_random_due = True
        now = asyncio.get_running_loop().time()
        due_s = now + self._rng.uniform(0.0, within_s)
        if due_s < self._due_s:
            self._due_s = due_s
            self._rescheduled.set()

    def note_resync(self, now: float, *, is_expected: bool = True) -> None:
        """Records that the source cannot continue from the known revision.

        A snapshot is requested, the first time at once. If the source returns
        snapshots but cannot continue from them either, the delay grows: without
        it each gateway would have a call at the source at any time.

        Args:
          now: Loop time.
          is_expected: Whether this may happen with a healthy source.
        """
        if not is_expected:
            self._resyncs = max(1, self._resyncs)
        if self._resyncs:
            retry_s = FIRST_RETRY_S * 2**self._resyncs
            retry_s = min(MAX_FLEET_RETRY_S, retry_s)
            self._due_s = now + retry_s * self._rng.uniform(*JITTER)
        self._resyncs = min(self._resyncs + 1, 10)

    def note_resumed(self) -> None:
        """Records that the source continued from the known revision."""
        self._resyncs = 0

    def note_answer(self, now: float) -> bool:
        """Records that the source has answered this gateway.

        Returns:
          Whether no peer was answered during the call, as far as this gateway
            knows: the others wait for its update. Of two gateways whose calls
            overlap, the one answered second has received the update of the
            first; it stays silent, and the first goes on polling.
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
        """Records that the poll failed."""
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
        """Records that a peer was answered and has sent an update.

        Two gateways answered at the same time each receive the update of the
        other during the delay before the next poll. One of them has to go on:
        if both left the source to the other, nobody would see a change until
        the next random time.

        Args:
          now: Loop time.
          has_priority: Whether this gateway takes precedence over the peer.
        """
        self._peer_answer_s = now
        self._has_random_due = False
        if self._is_poller and has_priority:
            return
        self._is_poller = False
        if self._failures:
            # If every update postponed the retry, the gateway would never
            # notice that the source serves it again.
            self._due_s = self._updated_due_s
        else:
            self._due_s = now + self._random_delay_s()

    def _repoll_delay_s(self) -> float:
        """Grows with the fleet, since each answer goes to all gateways."""
        return self._intervals.repoll_delay_s * max(
            1.0, self._gateway_count() / publish_timing.SMALL_FLEET
        )

    def _random_delay_s(self) -> float:
        random_s = self._rng.uniform(0.0, self._intervals.jitter_s)
        return self._intervals.min_delay_s + random_s
