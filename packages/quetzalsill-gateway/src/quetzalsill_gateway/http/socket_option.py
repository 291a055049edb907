"""Socket options that detect lost connections within seconds."""

from __future__ import annotations

import asyncio
import socket

__all__ = ['KEEPALIVE_IDLE_S', 'tune']

# A connection may be lost without a reset. Keep-alive probes detect this on an
# idle connection after `KEEPALIVE_IDLE_S + PROBE_COUNT * PROBE_INTERVAL_S`
# seconds, and the user timeout on one with unacknowledged data; either fails
# the connection as a reset would. The kernel's defaults of minutes are too long
# because a watch of the configuration must not hang.
KEEPALIVE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
USER_TIMEOUT_MS = 2500


def tune(transport: asyncio.BaseTransport) -> None:
    """Sets these options on the socket of a TCP transport."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_NODELAY, 1),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
