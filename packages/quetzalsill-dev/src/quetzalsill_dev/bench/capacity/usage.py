"""Resource usage of a process and its connections, as counted by the kernel."""

from __future__ import annotations

import os
import pathlib
import socket
import struct
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.wire import link as link_lib

__all__ = ['core_s', 'resident_bytes', 'wire_bytes']

# How the kernel encodes the clock id of the CPU time of another process.
CLOCK_SHIFT = 3
CPU_TIME_CLOCK = 2
RESIDENT_FIELD = 1
TCP_INFO_BYTES = 256
TCP_INFO_COUNTS = struct.Struct('<QQII')
TCP_INFO_COUNTS_OFFSET = 120
# IPv4 and TCP headers with the timestamp option.
SEGMENT_HEADER_BYTES = 52


def core_s(pid: int) -> float:
    """Returns the processor time of a process, in seconds."""
    return time.clock_gettime((~pid << CLOCK_SHIFT) | CPU_TIME_CLOCK)


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(pages[RESIDENT_FIELD]) * os.sysconf('SC_PAGE_SIZE')


def wire_bytes(link: link_lib.Link) -> int:
    """Returns the bytes of a link in both directions, with segment headers.

    Includes empty acknowledgements, but no link-layer headers.
    """
    sock = link.get_extra_info('socket')
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    acked, received, segments_out, segments_in = TCP_INFO_COUNTS.unpack_from(
        info, TCP_INFO_COUNTS_OFFSET
    )
    return (
        acked + received + SEGMENT_HEADER_BYTES * (segments_out + segments_in)
    )
