"""Failures of the administration API beside those of `error.request`."""

from __future__ import annotations

import dataclasses

from quetzalsill.error import base, request

__all__ = [
    'EditConflictError',
    'EditOutcomeUnknownError',
    'Fault',
    'InvalidConfigurationError',
    'MissingPreconditionError',
    'NotReadyError',
]


@dataclasses.dataclass(slots=True)
class Fault:
    """One key of a document that does not fit.

    Attributes:
      path: Path of the key, such as `profiles.prompt.deadline_s`.
      found: What stands there.
      allowed: What may stand there.
    """

    path: str
    found: str
    allowed: str


class InvalidConfigurationError(request.RequestError):
    """The document as it would be after the edit does not pass the check."""

    code = 'invalid_configuration'
    status = 422
    advice = 'Correct every path listed under "faults"; nothing was changed.'

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__(f'faults in the configuration: {len(faults)}')
        self.faults = faults


class MissingPreconditionError(request.RequestError):
    """A write names no revision that it was made from."""

    code = 'precondition_required'
    status = 428
    advice = 'Send "If-Match: REVISION" with the revision that you read.'


class NotReadyError(request.RequestError):
    """This router has no configuration yet, so it knows no operator."""

    code = 'not_ready'
    status = 503
    advice = (
        'Ask another router, or apply the first configuration with the '
        'bootstrap token.'
    )


class EditConflictError(request.ConflictError):
    """Another edit was accepted first, so this one was not.

    Attributes:
      current: Revision in force.
      author: Operator who made it; empty if unknown.
    """

    code = 'edit_conflict'
    advice = (
        'Read the current revision, apply the change to it again and send '
        'it with that revision as If-Match.'
    )

    def __init__(self, detail: str, current_revision: int, author: str) -> None:
        super().__init__(detail)
        self.current_revision = current_revision
        self.author = author


class EditOutcomeUnknownError(request.OutcomeUnknownError):
    """The store's answer was lost, so the edit may have been accepted."""

    code = 'outcome_unknown'
    advice = (
        'Send the same edit again with the same X-Edit-Id and If-Match: it '
        'takes effect once, whatever became of this one.'
    )

    def __init__(self, detail: str) -> None:
        super().__init__(detail, ran=base.Ran.UNKNOWN)
