"""Processor time of another process, read from /proc."""

from __future__ import annotations

import os
import pathlib

__all__ = ['processor_time_s']

UTIME_FIELD = 11
STIME_FIELD = 12
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def processor_time_s(pid: int) -> float:
    """Returns the user and system time of a live process, in seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    # The command name in parentheses may itself contain spaces and parentheses.
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])
    return ticks / TICKS_PER_S
