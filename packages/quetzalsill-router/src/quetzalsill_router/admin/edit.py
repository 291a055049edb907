"""Publishes edits of the configuration as new revisions."""

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
    """Identity, author and base revision of an edit.

    Attributes:
      id: Chosen by the client, which sends the same id when it retries.
      author: Name of the operator.
      note: The operator's reason for the edit.
      expected_revision: Revision that the edit is based on.
    """

    id: str
    author: str
    note: str
    expected_revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The outcome of an edit.

    Attributes:
      revision: Revision that the edit created.
      edit: Id of the edit.
      already_accepted: An earlier attempt of this edit was accepted, so this
        one changed nothing.
    """

    revision: int
    edit: str
    already_accepted: bool


async def _conflict_error(
    context: context.AdminContext, expected_revision: int
) -> error.EditConflictError:
    """Returns a conflict error with the current revision and its author."""
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
    """Loads the document that the edit is based on; empty for revision 0."""
    return (
        json.loads(await context.store.load(expected_revision))
        if expected_revision
        else {}
    )


async def _publish(
    context: context.AdminContext, edit: Edit, apply_change: change.Change
) -> Accepted:
    """Publishes the next revision; the store recognizes retries by edit id."""
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
    """Publishes an edit and installs the new revision in this router.

    Raises:
      InvalidConfigurationError: The edited document would be invalid.
      EditConflictError: Another edit was accepted first.
      StoreUnavailableError: The store is unavailable; nothing was changed.
      EditOutcomeUnknownError: The store's response was lost.
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
