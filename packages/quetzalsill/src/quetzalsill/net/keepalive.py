"""Socket options that detect dead connections."""

from __future__ import annotations

import asyncio
import socket

__all__ = ['IDLE_S', 'USER_TIMEOUT_S', 'enable']

IDLE_S = 10
INTERVAL_S = 5
PROBES = 3
USER_TIMEOUT_S = 30
MS_PER_S = 1000


def enable(transport: asyncio.BaseTransport) -> None:
    """Lets the kernel close a connection whose peer is unreachable.

    A middlebox, such as a NAT or a firewall, may drop its state of an open
    connection: no reset comes, writes are lost and reads never return.
    Keepalive probes detect this on an idle connection after
    `IDLE_S + PROBES * INTERVAL_S`, and the TCP user timeout on one with
    unacknowledged data after `USER_TIMEOUT_S`; both raise an error on the
    transport, as a reset would.
    """
    sock = transport.get_extra_info('socket')
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_options = (
        (socket.TCP_KEEPIDLE, IDLE_S),
        (socket.TCP_KEEPINTVL, INTERVAL_S),
        (socket.TCP_KEEPCNT, PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_S * MS_PER_S),
    )
    for option, value in tcp_options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
