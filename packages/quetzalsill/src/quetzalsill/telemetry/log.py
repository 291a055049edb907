"""Logging to stdout, one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

from quetzalsill.telemetry import log_output

__all__ = ['LEVELS', 'configure', 'get', 'render']

LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}
# Slow to import, so loaded only by processes that open spans.
TRACE_MODULE = 'opentelemetry.trace'
KEY_ORDER = ('timestamp', 'level', 'event', 'node', 'role', 'module', 'trace')

EventDict = dict[str, Any]

# Before `configure`, log lines must not mix with the output of a command.
structlog.configure(logger_factory=structlog.WriteLoggerFactory(sys.stderr))


def configure(level: str, node: str = '', role: str = '') -> None:
    """Configures logging of this process and its libraries.

    Args:
      level: Minimum level; a key of `LEVELS`.
      node: Name of the node, added to each line.
      role: Role of the process, added to each line.
    """
    limiter = log_output.RateLimiter()
    output = log_output.LogOutput(sys.stdout, limiter)
    shared = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt='iso', utc=True),
        _process_keys(node, role),
        _add_trace,
        structlog.processors.format_exc_info,
        _escape_values,
    ]
    structlog.configure(
        processors=[limiter, *shared, render],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    _configure_libraries(level, output, [_library_keys, *shared])


def get(name: str) -> Any:
    """Returns the logger of a module.

    Its methods take the name of an event and its keys. Programs use
    `event.note`, which derives both from the event.
    """
    return structlog.get_logger(module=name)


def render(_logger: Any, _method: str, event: EventDict) -> str:
    """Returns the line of an event, in the format of structlog's logfmt.

    structlog's renderer validates each character of each key in Python, so
    that a line of a dozen keys takes about twice as long. The keys here are
    identifiers of the code and need no validation.
    """
    leading = [
        _format_pair(key, value)
        for key in KEY_ORDER
        if (value := event.pop(key, None)) is not None
    ]
    return ' '.join(
        [*leading, *(_format_pair(*item) for item in event.items())]
    )


def _format_pair(key: str, value: Any) -> str:
    if value is None:
        return f'{key}='
    if isinstance(value, bool):
        return f'{key}={str(value).lower()}'
    text = str(value)
    if ' ' in text or '=' in text or '"' in text:
        quoted = text.replace('\\', r'\\').replace('"', r'\"')
        return f'{key}="{quoted}"'
    return f'{key}={text}'


def _configure_libraries(
    level: str, output: log_output.LogOutput, processors: list[Any]
) -> None:
    """Formats the lines that libraries write through `logging` alike."""
    handler = logging.StreamHandler(output)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=processors,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                render,
            ],
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    handler.setLevel(max(LEVELS[level], logging.WARNING))


def _process_keys(node: str, role: str) -> Any:
    keys = {
        name: value for name, value in (('node', node), ('role', role)) if value
    }

    def add_process_keys(
        _logger: Any, _method: str, event: EventDict
    ) -> EventDict:
        return keys | event

    return add_process_keys


def _library_keys(_logger: Any, _method: str, event: EventDict) -> EventDict:
    record = event['_record']
    text = event['event']
    return event | {
        'event': 'library_message',
        'module': record.name,
        'message': text,
    }


def _add_trace(_logger: Any, _method: str, event: EventDict) -> EventDict:
    otel_trace = sys.modules.get(TRACE_MODULE)
    if otel_trace is None:
        return event
    context = otel_trace.get_current_span().get_span_context()
    if context.is_valid:
        event.setdefault('trace', otel_trace.format_trace_id(context.trace_id))
    return event


def _escape_values(_logger: Any, _method: str, event: EventDict) -> EventDict:
    # An external value may contain line ends or terminal control characters,
    # which could forge log lines, so those are escaped.
    return {name: _escape(value) for name, value in event.items()}


def _escape(value: Any) -> Any:
    if value is None or isinstance(value, (bool, int, float)):
        return value
    text = str(value)
    if text.isprintable():
        return text
    return text.encode('unicode_escape').decode('ascii')
