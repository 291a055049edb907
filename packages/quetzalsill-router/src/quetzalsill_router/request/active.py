"""Requests that run in this router now."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill_router.request import delivery, outcome, spec

if TYPE_CHECKING:
    from quetzalsill_router.limit import shares
    from quetzalsill_router.peer import attempt as peer_attempt

__all__ = ['ActiveRequest', 'ActiveRequests']


@dataclasses.dataclass(slots=True, eq=False)
class ActiveRequest:
    """One running request.

    Attributes:
      work: What it asks for.
      delivery: Where its pieces go.
      accepted: Monotonic time of acceptance.
      task: The task that serves it.
      attempt: Id of the present attempt; empty before the first.
      upstream: Upstream of the present attempt; empty if none.
      attempts: Dispatches so far.
      ran_by_attempt: What is known of each attempt, by its id.
      delivered: Items handed to the caller so far.
      grant: Leave of its account; None for work that another router
        granted or that is only settled here.
      cancelled: Why it was cancelled; None if it was not.
      has_answer: An attempt brought the whole answer.
      unacknowledged: That attempt, until its answer is stored.
      handed_over: Its task ends but its run goes on, for another router.
      watcher: The task that watches for the caller leaving.
    """

    work: spec.Work
    delivery: delivery.Delivery = dataclasses.field(
        default_factory=delivery.Delivery
    )
    accepted: float = dataclasses.field(default_factory=time.monotonic)
    task: asyncio.Task[None] | None = None
    upstream: str = ''
    attempts: int = 0
    ran_by_attempt: dict[str, base.Ran] = dataclasses.field(
        default_factory=dict
    )
    attempt: str = ''
    delivered: int = 0
    grant: shares.Grant | None = None
    cancelled: request_error.RequestError | None = None
    has_answer: bool = False
    unacknowledged: peer_attempt.Attempt | None = None
    handed_over: bool = False
    watcher: asyncio.Task[None] | None = None

    @property
    def ran(self) -> base.Ran:
        """What all attempts together say of the request.

        A refusal after an earlier attempt had run is not "not run" to the
        caller, who would then repeat what has run already.
        """
        known = base.Ran.NO
        for ran in self.ran_by_attempt.values():
            known = outcome.combine_ran(known, ran)
        return known

    def begin_attempt(self, attempt: str, upstream: str) -> None:
        """Notes a Dispatch; until its upstream says more, it may run."""
        self.attempts += 1
        self.attempt = attempt
        self.upstream = upstream
        self.ran_by_attempt[attempt] = base.Ran.UNKNOWN

    def attempt_started(self) -> None:
        """Notes that the present attempt reached its upstream."""
        self.ran_by_attempt[self.attempt] = base.Ran.YES

    def end_attempt(self, ran: base.Ran) -> None:
        """Notes the word that the present attempt ended with."""
        if self.attempt:
            self.ran_by_attempt[self.attempt] = ran

    def acknowledge(self) -> None:
        """Lets the sidecar forget an answer that is stored."""
        if self.unacknowledged is not None:
            self.unacknowledged.close()
            self.unacknowledged = None

    def charge_items(self, items: int) -> None:
        """Charges the account for items as they come."""
        if self.grant is not None and self.work.kind != spec.CALL:
            self.grant.charge(items)

    def cancel(self, reason: str) -> None:
        """Ends the request; its attempt is cancelled on the upstream."""
        self.fail(request_error.CancelledError(reason))

    def expire(self) -> None:
        """Ends the request at its deadline, unless its answer is there."""
        if not self.has_answer:
            self.fail(
                request_error.DeadlineError(
                    'the answer was not complete by the deadline'
                )
            )

    def fail(self, error: request_error.RequestError) -> None:
        """Ends the request with a failure; its attempt is cancelled."""
        # The task may go on after the end, to learn what became of the work;
        # the caller whose answer is complete must not end that by leaving.
        if self.task is None or self.delivery.ended or self.cancelled:
            return
        self.cancelled = error
        self.task.cancel()

    def supersede(self) -> None:
        """Ends the task here, unless it has the answer."""
        if self.has_answer:
            return
        self.handed_over = True
        self.fail(
            request_error.OutcomeUnknownError(
                'another router has taken the request over'
            )
        )

    def hand_over(self) -> None:
        """Ends the task; a journalled run goes on for another router."""
        self.handed_over = self.work.entry is not None
        if self.task is not None:
            self.task.cancel()

    def caller_disconnected(self) -> None:
        """Notes that nobody waits; what can be fetched later goes on.

        A caller whose connection broke repeats its idempotency key and is
        owed the answer of the first request, not of its cancellation.
        """
        self.delivery.disconnect()
        if self.work.entry is None:
            self.cancel('the caller disconnected')


class ActiveRequests:
    """The running requests by id; wakes who waits for the last to end."""

    def __init__(self) -> None:
        self._requests: dict[str, ActiveRequest] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[ActiveRequest]:
        return iter(list(self._requests.values()))

    def add(self, active: ActiveRequest) -> None:
        """Counts a request as running."""
        self._requests[active.work.request] = active
        self._idle.clear()

    def remove(self, active: ActiveRequest) -> None:
        """Counts a request as ended."""
        if self._requests.get(active.work.request) is active:
            del self._requests[active.work.request]
        if not self._requests:
            self._idle.set()

    def get(self, request: str) -> ActiveRequest | None:
        """Returns the running request of that id."""
        return self._requests.get(request)

    async def wait_idle(self, timeout_s: float) -> bool:
        """Waits for the last request; False if some still run."""
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        except TimeoutError:
            return False
        return True
