"""How an attempt ended, and whether another dispatch is permitted."""

from __future__ import annotations

import dataclasses

from quetzalsill.error import base, request

__all__ = [
    'AttemptEndedError',
    'Outcome',
    'is_final',
    'may_dispatch_again',
    'from_dispatch',
    'from_recovery',
    'combine_ran',
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
      error: What the caller is told if nothing else is tried.
      gone: The generation is proved lost on its upstream.
      moved: The attempt was withdrawn in favour of another upstream.
      not_received: The Dispatch never came to its sidecar.
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
    """An attempt ended without its whole answer."""

    code = 'attempt_ended'

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.error.detail)
        self.outcome = outcome


def combine_ran(one: base.Ran, other: base.Ran) -> base.Ran:
    """Returns what two attempts together say: yes, else unknown, else no."""
    if base.Ran.YES in (one, other):
        return base.Ran.YES
    if base.Ran.UNKNOWN in (one, other):
        return base.Ran.UNKNOWN
    return base.Ran.NO


def is_final(outcome: Outcome) -> bool:
    """Whether no other upstream would answer differently."""
    return outcome.error.code in FINAL_CODES


def from_dispatch(ended: Outcome) -> Outcome:
    """Reads the end of a new run, which its sidecar may never have got.

    "Not found" is the word of a sidecar on an attempt that was lost with a
    link. To a caller it would say that what it asks for does not exist.
    """
    if ended.error.code != request.NotFoundError.code:
        return ended
    error = request.NoUpstreamError('the dispatch was lost on its way')
    return Outcome(error, not_received=True)


def from_recovery(ended: Outcome, same_sidecar: bool) -> Outcome:
    """Reads the end of a recovery, which is about an earlier run.

    A refusal says that nothing runs now. That nothing ran before is known
    only to the sidecar that would have run it: a later one may stand
    beside an engine that restarted and forgot what it ran.

    Args:
      ended: How the recovery ended.
      same_sidecar: It was answered by the sidecar of the earlier run.
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

    Doubled work shows as a second order at the same door or as tokens of
    two generations in one answer. Work that is proved not run can't be
    doubled. Any other may run again only if it is idempotent, and only
    while the caller has nothing of the first run; the caller of this
    function has cancelled and closed the first attempt by then.

    Args:
      idempotent: The profile or route permits a repeat.
      delivered: Anything of the attempt was handed to the caller.
      outcome: How the attempt ended.
    """
    if delivered:
        return False
    return outcome.ran is base.Ran.NO or idempotent


def unknown_outcome(detail: str) -> AttemptEndedError:
    """Makes the end of a recovery that nobody can answer any more."""
    error = request.OutcomeUnknownError(detail)
    return AttemptEndedError(Outcome(error, gone=True))
