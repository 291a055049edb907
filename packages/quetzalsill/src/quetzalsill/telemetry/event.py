"""How events are defined and written.

A line is `event=NAME field=value ...`; the name is the class's, in lower case
with underscores. Every package keeps its events in one module, so that names
and fields cannot drift apart between the code, the page for operators and the
commands that read logs.
"""

from __future__ import annotations

import dataclasses
import functools
import re
from typing import Any, ClassVar

from quetzalsill.telemetry import log

__all__ = ['EVENTS', 'Event', 'name_of', 'note']

WORD = re.compile(r'(?<!^)(?=[A-Z])')
# By package, then by name.
EVENTS: dict[str, dict[str, type[Event]]] = {}


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """Something that a process decided or came to believe."""

    LEVEL: ClassVar[str] = 'info'

    def __init_subclass__(cls, level: str = '') -> None:
        # A dataclass with slots is a second class, made without the keyword;
        # it has the level of the first already.
        if level:
            cls.LEVEL = level
        EVENTS.setdefault(_package(cls), {})[name_of(cls)] = cls


@functools.cache
def name_of(cls: type[Event]) -> str:
    """Returns the name of an event in the log."""
    return WORD.sub('_', cls.__name__).lower()


def note(event: Event, exc: BaseException | None = None) -> None:
    """Writes an event to the log.

    Args:
      event: What happened.
      exc: Its traceback is written too, for failures that nobody foresaw.
    """
    cls = type(event)
    fields = {name: getattr(event, name) for name in _field_names(cls)}
    if exc is not None:
        fields['exc_info'] = exc
    getattr(_logger(_package(cls)), cls.LEVEL)(name_of(cls), **fields)


def _package(cls: type[Event]) -> str:
    return cls.__module__.partition('.')[0]


@functools.cache
def _field_names(cls: type[Event]) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


@functools.cache
def _logger(package: str) -> Any:
    return log.get(package)
