"""All attempts that this incarnation has received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.telemetry import metric
from quetzalsill.wire import message
from quetzalsill_sidecar import event
from quetzalsill_sidecar.attempt import fence, state, tombstone

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ['Attempts']

TOMBSTONE_MARGIN_S = 60.0
MAX_FENCES = 65536
OUTCOMES = {
    message.Refused: 'refused',
    message.Withdrawn: 'withdrawn',
    message.Finished: 'finished',
    message.Failed: 'failed',
}
END_EVENTS = {
    message.Refused: event.AttemptRefused,
    message.Withdrawn: event.AttemptWithdrawn,
    message.Finished: event.AttemptFinished,
    message.Failed: event.AttemptFailed,
}

items_total = metric.counter(
    'quetzalsill_sidecar_items_total', 'Tokens and body pieces received.'
)
queue_wait = metric.histogram(
    'quetzalsill_sidecar_queue_wait_seconds', 'Wait before the start.'
)
ended_total = metric.counter(
    'quetzalsill_sidecar_attempts_total', 'Attempts ended, by outcome.'
)


class Attempts:
    """Live attempts, and tombstones of those that have ended.

    Attributes:
      tombstones: Terminals of attempts that have ended.
      fences: Highest ownership epoch of each durable request.
    """

    def __init__(self, max_tombstones: int, clock: Callable[[], float]) -> None:
        """Makes an empty table with at most `max_tombstones` tombstones."""
        self.tombstones = tombstone.Tombstones(max_tombstones, clock)
        self.fences = fence.Fences(MAX_FENCES)
        self._clock = clock
        self._live: dict[str, state.Attempt] = {}

    def __iter__(self) -> Iterator[state.Attempt]:
        return iter(list(self._live.values()))

    def __len__(self) -> int:
        return len(self._live)

    def add(self, attempt: state.Attempt) -> None:
        """Adds a new attempt."""
        self._live[attempt.id] = attempt

    def get(self, attempt: str) -> state.Attempt | None:
        """Returns an attempt that runs or whose terminal awaits its Ack."""
        return self._live.get(attempt)

    def of_link(self, link: object) -> list[state.Attempt]:
        """Returns the attempts attached to a link."""
        return [a for a in self._live.values() if a.link is link]

    def refuse(
        self,
        attempt: state.Attempt,
        code: str,
        detail: str,
        retry_after_ms: int = 0,
    ) -> None:
        """Ends an attempt that has not started; it counts as not run."""
        self.end(
            attempt, message.Refused(attempt.id, code, detail, retry_after_ms)
        )

    def end(self, attempt: state.Attempt, terminal: message.Message) -> None:
        """Ends an attempt once; a later terminal is ignored.

        Of an attempt that did not run, only a tombstone is kept. A response
        is kept until its Ack, so that a new link can resume it.
        """
        if attempt.terminal is not None:
            return
        attempt.stage = state.Stage.ENDED
        attempt.terminal = terminal
        attempt.ended = self._clock()
        _log_end(attempt, terminal)
        attempt.flush()
        if isinstance(terminal, message.Refused | message.Withdrawn):
            self.forget(attempt)

    def drop(self, attempt_id: str) -> None:
        """Removes an ended attempt without a tombstone, to run it again."""
        self._live.pop(attempt_id, None)
        self.tombstones.remove(attempt_id)

    def forget(self, attempt: state.Attempt) -> None:
        """Replaces an ended attempt by a tombstone."""
        self._live.pop(attempt.id, None)
        keep_s = max(0.0, attempt.deadline - self._clock()) + TOMBSTONE_MARGIN_S
        self.tombstones.add(attempt.id, _terminal_to_keep(attempt), keep_s)


def _terminal_to_keep(attempt: state.Attempt) -> message.Message:
    """Returns the terminal for routers that ask once the response is gone."""
    if not isinstance(attempt.terminal, message.Finished):
        return attempt.terminal
    return message.Failed(
        attempt.id,
        request_error.OutcomeUnknownError.code,
        'answer no longer kept',
        base.Ran.YES.value,
        False,
    )


def _log_end(attempt: state.Attempt, terminal: message.Message) -> None:
    outcome = OUTCOMES[type(terminal)]
    code = getattr(terminal, 'code', '')
    ended_total.inc({'outcome': outcome, 'code': code})
    profile = {'profile': attempt.dispatch.profile}
    items_total.add(profile, attempt.tail.end)
    if attempt.started:
        queue_wait.observe(profile, attempt.started - attempt.arrived)
    event.note(
        END_EVENTS[type(terminal)](
            attempt=attempt.id,
            request=attempt.dispatch.request,
            account=attempt.dispatch.account,
            profile=attempt.dispatch.profile,
            items=attempt.tail.end,
            code=code,
            detail=getattr(terminal, 'detail', ''),
        )
    )
