"""Exit codes of `quetzalsilld`."""

from __future__ import annotations

import enum

__all__ = ['ExitCode']


class ExitCode(enum.IntEnum):
    """How the process ended.

    Attributes:
      OK: Done, or stopped gracefully.
      USAGE: The command line is wrong.
      INVALID_SETTINGS: The settings do not fit; nothing was started.
      CANNOT_START: The settings fit and the role did not start, such as for
        an address in use or a certificate that cannot be read.
      INTERNAL: A fault of the program.
    """

    OK = 0
    USAGE = 2
    INVALID_SETTINGS = 3
    CANNOT_START = 4
    INTERNAL = 70
