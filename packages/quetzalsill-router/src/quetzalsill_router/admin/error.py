"""Errors of the administration API, in addition to `error.request`."""

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
    """One invalid key of a document.

    Attributes:
      path: Path of the key, such as `profiles.prompt.deadline_s`.
      found: Value in the document.
      allowed: Description of the allowed values.
    """

    path: str
    found: str
    allowed: str


class InvalidConfigurationError(request.RequestError):
    """The edited document would be invalid."""

    code = 'invalid_configuration'
    status = 422
    advice = 'Correct every path listed under "faults"; nothing was changed.'

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__(f'faults in the configuration: {len(faults)}')
        self.faults = faults


class MissingPreconditionError(request.RequestError):
    """A write request names no expected revision."""

    code = 'precondition_required'
    status = 428
    advice = 'Send "If-Match: REVISION" with the revision that you read.'


class NotReadyError(request.RequestError):
    """This router has no configuration yet, so it knows no operators."""

    code = 'not_ready'
    status = 503
    advice = (
        'Ask another router, or apply the first configuration with the '
        'bootstrap token.'
    )


class EditConflictError(request.ConflictError):
    """The edit is not based on the current revision.

    Attributes:
      current_revision: Latest revision in the store.
      author: Operator who published it; empty if unknown.
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
    """The store's response was lost, so the edit may have been accepted."""

    code = 'outcome_unknown'
    advice = (
        'Send the same edit again with the same X-Edit-Id and If-Match: it '
        'takes effect once, whatever became of this one.'
    )

    def __init__(self, detail: str) -> None:
        super().__init__(detail, ran=base.Ran.UNKNOWN)
