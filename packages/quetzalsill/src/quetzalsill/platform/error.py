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
    """The call has surely taken no effect; for a read, it gave nothing."""

    code = 'platform_unavailable'
    advice = 'Come back when the platform answers again.'


class PlatformAnswerLostError(PlatformError):
    """A write was sent and may have taken effect, now or still to come."""

    code = 'platform_answer_lost'
    advice = 'Read back what was written before writing again.'


class PlatformProtocolError(PlatformError):
    """The platform refused the call, or its answer is not of the protocol."""

    code = 'platform_protocol'


class ConditionFailedError(PlatformError):
    """A condition of a transaction does not hold; nothing was written.

    Attributes:
      index: Which condition.
      version: Version of its row now; 0 if absent.
      value: Value of its row now.
    """

    code = 'condition_failed'

    def __init__(self, index: int, version: int, value: Any) -> None:
        super().__init__(f'condition {index} found version {version}')
        self.index = index
        self.version = version
        self.value = value


class ObjectExistsError(PlatformError):
    """An object that was to be created exists already."""

    code = 'object_exists'
