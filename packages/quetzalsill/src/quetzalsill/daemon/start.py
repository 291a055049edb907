"""Runs a role with its settings until it stops."""

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
    """Runs a role until it stops.

    Args:
      role: The role to run.
      settings: Settings of the role.
      read: Reads the settings again, for roles that reload them.

    Returns:
      `OK` after a graceful stop, `CANNOT_START` for an error of this project
      or the operating system, and `INTERNAL` for any other; all are logged.
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
    """Sets up tracing in processes that use it.

    The tracing library is not imported needlessly: that takes a tenth of the
    time from power-on to the first served request.
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
