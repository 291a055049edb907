"""Definition and logging of events.

A log line is `event=NAME field=value ...`; the name is that of the class, in
snake case. Each package defines its events in one module, so that names and
fields stay the same in the code, the operators' documentation and the commands
that read logs.
"""

from __future__ import annotations

import dataclasses
import functools
import re
from typing import Any, ClassVar, TypeVar, dataclass_transform

from quetzalsill.telemetry import log

__all__ = ['EVENTS', 'Event', 'define', 'name_of', 'note']

WORD_BOUNDARY = re.compile(r'(?<!^)(?=[A-Z])')
# Event classes by package, then by event name.
EVENTS: dict[str, dict[str, type[Event]]] = {}


EventClass = TypeVar('EventClass', bound=type)


@dataclass_transform()
def define(cls: EventClass) -> EventClass:
    """Class decorator that defines an event.

    The methods for comparison and representation are inherited from `Event`.
    Generating them for each class takes two thirds of the time to define it,
    and a gateway defines about sixty before it can accept requests: 0.05 s of
    a whole core, three times that on a small host.
    """
    return dataclasses.dataclass(slots=True, eq=False, repr=False)(cls)


@define
class Event:
    """A decision or an observation of a process, written to the log."""

    LEVEL: ClassVar[str] = 'info'

    def __init_subclass__(cls, level: str = '') -> None:
        # A dataclass with slots is created as a second class, without the
        # keyword; it inherits the level from the first.
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
    """Returns the log name of an event class."""
    return WORD_BOUNDARY.sub('_', cls.__name__).lower()


def note(event: Event, exc: BaseException | None = None) -> None:
    """Writes an event to the log.

    Args:
      event: Event to write.
      exc: Unexpected exception whose traceback is written too.
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
