"""Installs the latest revision before an operator reads it."""

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
    """Installs the latest revision if this router has an older one.

    Otherwise an operator who edits through one router and reads through
    another before that one polls the store would read the old revision, and
    the next edit would conflict with the operator's own previous one.

    Returns:
      False if the latest revision could not be loaded, so that the active
      configuration may be outdated.
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
