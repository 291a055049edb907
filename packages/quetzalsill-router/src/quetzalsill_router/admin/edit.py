"""One edit of the configuration, from request to revision in force."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

from quetzalsill.config import store
from quetzalsill.error import request as request_error
from quetzalsill.platform import error as platform_error
from quetzalsill.telemetry import log
from quetzalsill_router.admin import error, validation

if TYPE_CHECKING:
    from quetzalsill_router.admin import change, context

__all__ = ['Accepted', 'Edit', 'submit']

_LOG = log.get(__name__)
_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Edit:
    """Who edits which revision.

    Attributes:
      id: Chosen by the client, the same whenever it repeats this edit.
      author: Name of the operator.
      note: Why, in the operator's words.
      expected: Revision that the change was made from.
    """

    id: str
    author: str
    note: str
    expected_revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The outcome of an edit.

    Attributes:
      revision: Revision that the edit made.
      edit: Id of the edit.
      earlier: It had been accepted before this repetition arrived.
    """

    revision: int
    edit: str
    already_accepted: bool


async def _conflict_error(
    context: context.AdminContext, expected_revision: int
) -> error.EditConflictError:
    """Makes the failure that names who was first."""
    head = await context.store.head()
    return error.EditConflictError(
        f'the edit was made from revision {expected_revision}, but revision '
        f'{head.revision} by {head.author or "nobody"} is current',
        head.revision,
        head.author,
    )


async def _base_document(
    context: context.AdminContext, expected_revision: int
) -> dict[str, Any]:
    """Loads the document that the change was made from."""
    return (
        json.loads(await context.store.load(expected_revision))
        if expected_revision
        else {}
    )


async def _publish(
    context: context.AdminContext, edit: Edit, apply_change: change.Change
) -> Accepted:
    """Makes the next revision; the store knows an edit by its id again."""
    head = await context.store.head()
    if head.revision < edit.expected_revision:
        raise await _conflict_error(context, edit.expected_revision)
    data = apply_change(await _base_document(context, edit.expected_revision))
    document = validation.validate(data, edit.expected_revision + 1)
    try:
        revision = await context.store.publish(
            document, edit.expected_revision, edit.id, edit.author, edit.note
        )
    except store.RevisionConflictError as exc:
        raise await _conflict_error(context, edit.expected_revision) from exc
    except store.EditReusedError as exc:
        raise error.EditConflictError(
            f'edit id {edit.id} was used for another edit',
            head.revision,
            head.author,
        ) from exc
    context.holder.install(document, revision)
    return Accepted(
        revision, edit.id, already_accepted=head.revision >= revision
    )


async def submit(
    context: context.AdminContext, edit: Edit, apply_change: change.Change
) -> Accepted:
    """Publishes an edit and puts it in force in this router.

    Raises:
      InvalidConfigurationError: The document would not pass the check.
      EditConflictError: Another edit was first.
      StoreUnavailableError: The store did not take it; nothing changed.
      EditOutcomeUnknownError: The store's answer was lost.
    """
    try:
        accepted = await _publish(context, edit, apply_change)
    except store.OutcomeUnknownEditError as exc:
        raise error.EditOutcomeUnknownError(exc.detail) from exc
    except platform_error.PlatformError as exc:
        raise request_error.StoreUnavailableError(
            'the store is unavailable, so nothing was changed',
            retry_after_s=_RETRY_AFTER_S,
        ) from exc
    _LOG.info(
        'edit_accepted',
        revision=accepted.revision,
        edit=accepted.edit,
        author=edit.author,
        earlier=accepted.already_accepted,
    )
    return accepted
