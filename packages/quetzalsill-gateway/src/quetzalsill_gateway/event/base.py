"""How events are defined and written.

A line is `event=NAME field=value ...`; the name is the class's, in lower case
with underscores.
"""

from __future__ import annotations

import dataclasses
import re
from typing import ClassVar

from quetzalsill.telemetry import log

__all__ = ['EVENTS', 'Event', 'name_of', 'note']

WORD = re.compile(r'(?<!^)(?=[A-Z])')
EVENTS: dict[str, type[Event]] = {}

logger = log.get('quetzalsill_gateway')


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """Something that a gateway decided or came to believe."""

    LEVEL: ClassVar[str] = 'info'

    def __init_subclass__(cls, level: str = 'info') -> None:
        cls.LEVEL = level
        EVENTS[name_of(cls)] = cls


def name_of(cls: type[Event]) -> str:
    """Returns the name of an event in the log."""
    return WORD.sub('_', cls.__name__).lower()


def note(event: Event) -> None:
    """Writes an event to the log."""
    fields = {
        field.name: getattr(event, field.name)
        for field in dataclasses.fields(event)
    }
    getattr(logger, event.LEVEL)(name_of(type(event)), **fields)
