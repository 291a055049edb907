"""Brings this router to the newest revision before an operator reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.config import store
from quetzalsill.platform import error as platform_error
from quetzalsill.schema import error as schema_error
from quetzalsill.telemetry import log

if TYPE_CHECKING:
    from quetzalsill_router.admin import context as admin_context

__all__ = ['catch_up']

_LOG = log.get(__name__)
_FAILURES = (
    platform_error.PlatformError,
    store.ConfigStoreError,
    schema_error.InvalidDocumentError,
)


async def catch_up(context: admin_context.AdminContext) -> bool:
    """Installs the newest revision if this router is behind.

    An operator who edits through one router and reads through another
    within the follower's interval would be shown the old revision, edit it
    and lose a race against nobody but the own edit.

    Returns:
      False if the store gave no newest revision, so that what is read is
      what this router last knew.
    """
    try:
        head = await context.store.head()
        if head.revision > context.holder.revision:
            document = await context.store.load(head.revision)
            context.holder.install(document, head.revision)
    except _FAILURES as exc:
        _LOG.warning('admin_read_from_memory', reason=exc.code)
        return False
    return True
