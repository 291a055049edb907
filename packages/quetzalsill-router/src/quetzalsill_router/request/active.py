"""Requests that run in this router now."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Iterator

from quetzalsill.error import request as request_error
from quetzalsill_router.request import delivery, spec

__all__ = ['Active', 'ActiveRequests']


@dataclasses.dataclass(slots=True, eq=False)
class Active:
    """One running request.

    Attributes:
      work: What it asks for.
      delivery: Where its pieces go.
      accepted: Monotonic time of acceptance.
      task: The task that serves it.
      upstream: Upstream of the present attempt; empty if none.
      attempts: Dispatches so far.
      delivered: Items handed to the caller so far.
      cancelled: Why it was cancelled; None if it was not.
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
    delivered: int = 0
    cancelled: request_error.RequestError | None = None
    watcher: asyncio.Task[None] | None = None

    def cancel(self, reason: str) -> None:
        """Ends the request; its attempt is cancelled on the upstream."""
        if self.task is None or self.task.done() or self.cancelled:
            return
        self.cancelled = request_error.CancelledError(reason)
        self.task.cancel()

    def caller_left(self) -> None:
        """Notes that nobody waits; only a durable request goes on."""
        self.delivery.leave()
        if not self.work.durable:
            self.cancel('the caller disconnected')


class ActiveRequests:
    """The running requests by id; wakes who waits for the last to end."""

    def __init__(self) -> None:
        self._requests: dict[str, Active] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[Active]:
        return iter(list(self._requests.values()))

    def add(self, active: Active) -> None:
        """Counts a request as running."""
        self._requests[active.work.request] = active
        self._idle.clear()

    def remove(self, active: Active) -> None:
        """Counts a request as ended."""
        self._requests.pop(active.work.request, None)
        if not self._requests:
            self._idle.set()

    def get(self, request: str) -> Active | None:
        """Returns the running request of that id."""
        return self._requests.get(request)

    async def wait_idle(self, timeout_s: float) -> bool:
        """Waits for the last request; False if some still run."""
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        except TimeoutError:
            return False
        return True
