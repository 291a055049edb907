"""Running of a role with its settings until it stops."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from quetzalsill import event
from quetzalsill.daemon import exit_code
from quetzalsill.error import base
from quetzalsill.telemetry import log

if TYPE_CHECKING:
    from quetzalsill.plugin import role as plugin_role
    from quetzalsill.settings import section

__all__ = ['run_role']

TRACE_MODULE = 'quetzalsill.telemetry.trace'


def run_role(
    role: plugin_role.Role, settings: Any, read: Callable[[], Any]
) -> exit_code.ExitCode:
    """Runs a role to its end.

    Args:
      role: What to run.
      settings: Its settings.
      read: Reads the settings again, for a role that reloads them.

    Returns:
      `OK` after a graceful stop, `CANNOT_START` for a typed failure and
      `INTERNAL` for any other; the failures are logged.
    """
    log.configure(settings.telemetry.log_level, settings.node.name, role.name)
    try:
        _set_up_tracing(settings.node.name, settings.telemetry)
        event.note(event.ProcessStarted())
        arguments = (settings, read) if role.reloads else (settings,)
        asyncio.run(role.run(*arguments))
    except* (base.QuetzalsillError, OSError) as group:
        for exc in _flatten(group):
            event.note(_failure_event(exc))
        return_code = exit_code.ExitCode.CANNOT_START
    except* Exception as group:
        for exc in _flatten(group):
            event.note(_failure_event(exc), exc)
        return_code = exit_code.ExitCode.INTERNAL
    else:
        event.note(event.ProcessStopped())
        return_code = exit_code.ExitCode.OK
    if TRACE_MODULE in sys.modules:
        sys.modules[TRACE_MODULE].shutdown()
    return return_code


def _set_up_tracing(node: str, cfg: section.Telemetry) -> None:
    """Sets spans up in a process that has any.

    Loaded for nothing, their library takes a tenth of the time from the power
    coming back to the first caller that is served.
    """
    if cfg.trace_file or TRACE_MODULE in sys.modules:
        from quetzalsill.telemetry import trace

        trace.setup(node, cfg.trace_file)


def _failure_event(exc: BaseException) -> event.ProcessFailed:
    return event.ProcessFailed(error=type(exc).__name__, reason=str(exc))


def _flatten(exc: BaseException) -> list[BaseException]:
    if isinstance(exc, BaseExceptionGroup):
        return [leaf for inner in exc.exceptions for leaf in _flatten(inner)]
    return [exc]
