"""Errors of commands, each with an exit code."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Any

import click

__all__ = [
    'BadArgumentError',
    'CommandError',
    'ConflictError',
    'ExitCode',
    'InvalidDocumentError',
    'NotFoundError',
    'OutcomeUnknownError',
    'RefusedError',
    'RolloutIncompleteError',
    'UnreachableError',
    'from_response',
]


class ExitCode(enum.IntEnum):
    """Exit codes of `quetzalsill`; scripts rely on them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    REFUSED = 6
    UNKNOWN = 7
    ROLLOUT_INCOMPLETE = 8


class CommandError(click.ClickException):
    """A command failed.

    Attributes:
      advice: What the operator can do about it; may be empty.
    """

    exit_code = ExitCode.FAILED

    def __init__(self, message: str, advice: str = '') -> None:
        super().__init__(message)
        self.advice = advice

    def format_message(self) -> str:
        """Returns the message, followed by the advice."""
        return f'{self.message}\n{self.advice}' if self.advice else self.message


class BadArgumentError(CommandError):
    """An argument is not valid."""

    exit_code = ExitCode.USAGE


class NotFoundError(BadArgumentError):
    """An argument names something that does not exist."""


class InvalidDocumentError(CommandError):
    """A document is invalid; nothing was changed."""

    exit_code = ExitCode.INVALID


class ConflictError(CommandError):
    """Another edit was accepted first; nothing was changed."""

    exit_code = ExitCode.CONFLICT


class UnreachableError(CommandError):
    """No router could serve the call; nothing was changed."""

    exit_code = ExitCode.UNREACHABLE


class RefusedError(CommandError):
    """The credential is missing, unknown or lacks the required role."""

    exit_code = ExitCode.REFUSED


class OutcomeUnknownError(CommandError):
    """A write was sent, but it is unknown whether it took effect."""

    exit_code = ExitCode.UNKNOWN


class RolloutIncompleteError(CommandError):
    """The edit was accepted, but is not yet active on every live node."""

    exit_code = ExitCode.ROLLOUT_INCOMPLETE


_BY_STATUS: dict[int, type[CommandError]] = {
    400: BadArgumentError,
    401: RefusedError,
    403: RefusedError,
    404: NotFoundError,
    409: ConflictError,
    413: InvalidDocumentError,
    422: InvalidDocumentError,
    503: UnreachableError,
    504: OutcomeUnknownError,
}


def _fault_lines(faults: Iterable[Any]) -> Iterable[str]:
    for fault in faults:
        path = fault.get('path') or 'document'
        yield (
            f'  {path}: found {fault.get("found")}; '
            f'allowed: {fault.get("allowed")}'
        )


def from_response(status: int, body: Any) -> CommandError:
    """Converts a router's error response to an exception."""
    cls = _BY_STATUS.get(status, CommandError)
    error = body.get('error') if isinstance(body, dict) else None
    if not isinstance(error, dict):
        return cls(f'the router answered with status {status}')
    lines = [
        str(error.get('message', f'status {status}')),
        *_fault_lines(error.get('faults', ())),
    ]
    return cls('\n'.join(lines), str(error.get('advice', '')))
