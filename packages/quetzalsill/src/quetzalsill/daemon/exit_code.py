"""Exit codes of `quetzalsilld`."""

from __future__ import annotations

import enum

__all__ = ['ExitCode']


class ExitCode(enum.IntEnum):
    """Reason why the process exited.

    Attributes:
      OK: Completed, or stopped gracefully.
      USAGE: The command line is invalid.
      INVALID_SETTINGS: The settings are invalid; nothing was started.
      CANNOT_START: The settings are valid but the role did not start, for
        example because an address is in use or a certificate is unreadable.
      INTERNAL: An internal error.
    """

    OK = 0
    USAGE = 2
    INVALID_SETTINGS = 3
    CANNOT_START = 4
    INTERNAL = 70
