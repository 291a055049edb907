"""Outcome of an attempt, and whether another dispatch is permitted."""

from __future__ import annotations

import dataclasses

from quetzalsill.error import base, request

__all__ = [
    'AttemptEndedError',
    'Outcome',
    'combine_ran',
    'from_dispatch',
    'from_recovery',
    'is_final',
    'may_dispatch_again',
    'unknown_outcome',
]

FINAL_CODES = frozenset(
    (
        request.BadRequestError.code,
        request.CancelledError.code,
        request.ConflictError.code,
        request.DeadlineError.code,
        request.ForbiddenError.code,
        request.LimitError.code,
        request.TooLargeError.code,
        request.UnauthorizedError.code,
    )
)


@dataclasses.dataclass(slots=True)
class Outcome:
    """The unsuccessful end of an attempt.

    Attributes:
      error: Returned to the caller if the request is not retried.
      gone: The generation is known to be lost on its upstream.
      moved: The attempt was withdrawn in favour of another upstream.
      not_received: The Dispatch never reached its sidecar.
    """

    error: request.RequestError
    gone: bool = False
    moved: bool = False
    not_received: bool = False

    @property
    def ran(self) -> base.Ran:
        """Whether the work of the attempt ran."""
        return self.error.ran


class AttemptEndedError(base.QuetzalsillError):
    """An attempt ended without its complete answer."""

    code = 'attempt_ended'

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.error.detail)
        self.outcome = outcome


def combine_ran(one: base.Ran, other: base.Ran) -> base.Ran:
    """Combines the `Ran` of two attempts: yes over unknown over no."""
    if base.Ran.YES in (one, other):
        return base.Ran.YES
    if base.Ran.UNKNOWN in (one, other):
        return base.Ran.UNKNOWN
    return base.Ran.NO


def is_final(outcome: Outcome) -> bool:
    """Whether every other upstream would respond in the same way."""
    return outcome.error.code in FINAL_CODES


def from_dispatch(ended: Outcome) -> Outcome:
    """Translates the end of a new run for the caller.

    A sidecar reports "not found" for an attempt whose Dispatch was lost with
    a link. A caller would take that for a missing resource.
    """
    if ended.error.code != request.NotFoundError.code:
        return ended
    error = request.NoUpstreamError('the dispatch was lost on its way')
    return Outcome(error, not_received=True)


def from_recovery(ended: Outcome, same_sidecar: bool) -> Outcome:
    """Translates the end of a recovery into that of the earlier run.

    A refusal says that nothing runs now. Only the sidecar of the earlier run
    knows that nothing ran before: a later sidecar may be connected to an
    engine that restarted and has no record of what it ran.

    Args:
      ended: How the recovery ended.
      same_sidecar: The sidecar of the earlier run responded.
    """
    final = ended.error.code == request.NotFoundError.code
    if same_sidecar and final:
        error = request.ShuttingDownError('its router was lost before it ran')
        return Outcome(error)
    if ended.ran is not base.Ran.NO:
        return ended
    error = request.OutcomeUnknownError(
        f'the earlier run is not known any more: {ended.error.detail}'
    )
    return Outcome(error, gone=final)


def may_dispatch_again(
    idempotent: bool, delivered: bool, outcome: Outcome
) -> bool:
    """Decides whether the same request may be dispatched a second time.

    Duplicate work places an order twice or mixes the tokens of two
    generations in one answer. Work that is known not to have run can be
    repeated. Any other work may run again only if it is idempotent, and only
    while nothing of the first run was delivered. The first attempt must be
    cancelled and closed before this is called.

    Args:
      idempotent: The profile or route permits a repeat.
      delivered: Any part of the attempt was delivered to the caller.
      outcome: How the attempt ended.
    """
    if delivered:
        return False
    return outcome.ran is base.Ran.NO or idempotent


def unknown_outcome(detail: str) -> AttemptEndedError:
    """Creates the error for a run whose outcome can't be determined."""
    error = request.OutcomeUnknownError(detail)
    return AttemptEndedError(Outcome(error, gone=True))
