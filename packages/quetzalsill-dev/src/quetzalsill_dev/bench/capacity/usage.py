"""What a process and its connections have used, from the kernel's account."""

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

# The kernel's number of the processor clock of another process.
CLOCK_SHIFT = 3
CLOCK_KIND = 2
RESIDENT_FIELD = 1
TCP_INFO_BYTES = 256
TCP_INFO_COUNTS = struct.Struct('<QQII')
TCP_INFO_COUNTS_AT = 120
# IPv4 and TCP with time stamps.
SEGMENT_HEADER_BYTES = 52


def core_s(pid: int) -> float:
    """Processor time that a process has used, in seconds."""
    return time.clock_gettime((~pid << CLOCK_SHIFT) | CLOCK_KIND)


def resident_bytes(pid: int) -> int:
    """Memory of a process that is in use."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(pages[RESIDENT_FIELD]) * os.sysconf('SC_PAGE_SIZE')


def wire_bytes(link: link_lib.Link) -> int:
    """Bytes of a link both ways, with the headers of its segments.

    Empty acknowledgements are counted; the link layer is not.
    """
    sock = link.get_extra_info('socket')
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    acked, received, out, into = TCP_INFO_COUNTS.unpack_from(
        info, TCP_INFO_COUNTS_AT
    )
    return acked + received + SEGMENT_HEADER_BYTES * (out + into)
