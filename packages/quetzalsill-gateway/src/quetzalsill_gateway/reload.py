"""Reloads settings in a running gateway."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from quetzalsill.schema import error as schema_error
from quetzalsill_gateway import event

if TYPE_CHECKING:
    from quetzalsill_gateway import settings as settings_lib

__all__ = ['RESTART_ONLY', 'reload_on_sighup']

# Settings that take effect at the next start only: moving a listener would
# drop its callers, and a renamed node would appear twice in the logs.
RESTART_ONLY = (
    'node',
    'listen',
    'ready',
    'metrics',
    'store',
    'deployment',
    'peers',
    'watch',
    'warmup',
    'regions',
    'telemetry',
)


def reload_on_sighup(
    settings: settings_lib.Settings,
    read: Callable[[], settings_lib.Settings],
    apply: Callable[[settings_lib.Settings], None],
) -> None:
    """Reloads the settings on each SIGHUP and applies those that may change.

    Without a handler the signal would end the process, and with it every
    request in flight. Invalid settings are logged and ignored.

    Args:
      settings: The active settings, which are updated in place.
      read: Reads the settings file again.
      apply: Called with the settings after a change.
    """

    def reload() -> None:
        try:
            updated = read()
        except schema_error.InvalidDocumentError as exc:
            event.note(event.SettingsInvalid('; '.join(exc.lines())))
            return
        changed, deferred = _merge(settings, updated)
        apply(settings)
        event.note(
            event.SettingsReloaded(','.join(changed), ','.join(deferred))
        )

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)


def _merge(
    settings: settings_lib.Settings, updated: settings_lib.Settings
) -> tuple[list[str], list[str]]:
    changed, deferred = [], []
    for field in dataclasses.fields(updated):
        value = getattr(updated, field.name)
        if value == getattr(settings, field.name):
            continue
        if field.name in RESTART_ONLY:
            deferred.append(field.name)
        else:
            setattr(settings, field.name, value)
            changed.append(field.name)
    return changed, deferred
