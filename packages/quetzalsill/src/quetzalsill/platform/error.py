"""Failures of calls to the platform."""

from __future__ import annotations

from typing import Any

from quetzalsill.error import base

__all__ = [
    'ConditionFailedError',
    'ObjectExistsError',
    'PlatformAnswerLostError',
    'PlatformError',
    'PlatformProtocolError',
    'PlatformUnavailableError',
]


class PlatformError(base.QuetzalsillError):
    """A call to the platform failed."""

    code = 'platform_failed'


class PlatformUnavailableError(PlatformError):
    """The call certainly had no effect; a read returned nothing."""

    code = 'platform_unavailable'
    advice = 'Come back when the platform answers again.'


class PlatformAnswerLostError(PlatformError):
    """A write was sent and may have taken effect or may do so later."""

    code = 'platform_answer_lost'
    advice = 'Read back what was written before writing again.'


class PlatformProtocolError(PlatformError):
    """The platform rejected the call, or its response is malformed."""

    code = 'platform_protocol'


class ConditionFailedError(PlatformError):
    """A condition of a transaction does not hold; nothing was written.

    Attributes:
      index: Index of the condition.
      version: Current version of its row; 0 if absent.
      value: Current value of its row.
    """

    code = 'condition_failed'

    def __init__(self, index: int, version: int, value: Any) -> None:
        super().__init__(f'condition {index} found version {version}')
        self.index = index
        self.version = version
        self.value = value


class ObjectExistsError(PlatformError):
    """An object that was to be created already exists."""

    code = 'object_exists'
