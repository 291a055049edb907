"""Base class of the errors that quetzalsill raises."""

from __future__ import annotations

import enum

__all__ = ['QuetzalsillError', 'Ran']


class Ran(enum.StrEnum):
    """Whether the work of a request ran on an upstream."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class QuetzalsillError(Exception):
    """An error with a stable code and advice for the reader.

    Attributes:
      code: Stable name of the error, in lower case with underscores.
      advice: What the reader can do about it; empty if nothing.
    """

    code = 'internal'
    advice = ''

    def __init__(self, detail: str = '', *, advice: str | None = None) -> None:
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        if advice is not None:
            self.advice = advice
