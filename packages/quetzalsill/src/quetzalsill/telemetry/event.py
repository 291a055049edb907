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
from typing import Any, ClassVar, TypeVar, dataclass_transform

from quetzalsill.telemetry import log

__all__ = ['EVENTS', 'Event', 'define', 'name_of', 'note']

WORD_BOUNDARY = re.compile(r'(?<!^)(?=[A-Z])')
# By package, then by name.
EVENTS: dict[str, dict[str, type[Event]]] = {}


EventClass = TypeVar('EventClass', bound=type)


@dataclass_transform()
def define(cls: EventClass) -> EventClass:
    """Makes a class of events; a decorator.

    What compares and prints them stands once, in `Event`. Made anew for each
    class, these methods take two thirds of the time of defining it, and a
    gateway defines some sixty before it can take a caller: 0.05 s of a whole
    core, three times that on a small host.
    """
    return dataclasses.dataclass(slots=True, eq=False, repr=False)(cls)


@define
class Event:
    """Something that a process decided or came to believe."""

    LEVEL: ClassVar[str] = 'info'

    def __init_subclass__(cls, level: str = '') -> None:
        # A dataclass with slots is a second class, made without the keyword;
        # it has the level of the first already.
        if level:
            cls.LEVEL = level
        EVENTS.setdefault(_package(cls), {})[name_of(cls)] = cls

    def __eq__(self, other: object) -> bool:
        if type(self) is not type(other):
            return NotImplemented
        return _fields(self) == _fields(other)

    __hash__ = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}({_fields(self)})'


@functools.cache
def name_of(cls: type[Event]) -> str:
    """Returns the name of an event in the log."""
    return WORD_BOUNDARY.sub('_', cls.__name__).lower()


def note(event: Event, exc: BaseException | None = None) -> None:
    """Writes an event to the log.

    Args:
      event: What happened.
      exc: Its traceback is written too, for failures that nobody foresaw.
    """
    cls = type(event)
    fields = _fields(event)
    if exc is not None:
        fields['exc_info'] = exc
    getattr(_logger(_package(cls)), cls.LEVEL)(name_of(cls), **fields)


def _fields(event: Event) -> dict[str, Any]:
    names = _field_names(type(event))
    return {name: getattr(event, name) for name in names}


def _package(cls: type[Event]) -> str:
    return cls.__module__.partition('.')[0]


@functools.cache
def _field_names(cls: type[Event]) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


@functools.cache
def _logger(package: str) -> Any:
    return log.get(package)
