"""Crowds of clients that misbehave, and what a process uses beside them.

A client sends its bytes as fast as they are taken and, by default, reads
nothing. One that is refused or reset connects again at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import socket
from collections.abc import AsyncIterator, Callable, Iterable

__all__ = ['Crowd', 'Peak', 'watch']

RECONNECT_S = 0.02
CONNECT_TIMEOUT_S = 5.0
SAMPLE_S = 0.05
MB = 1024 * 1024
PROC = pathlib.Path('/proc')
TCP_ESTABLISHED = b'\x01'

Payload = Callable[[], Iterable[bytes]]


@dataclasses.dataclass(slots=True)
class Peak:
    """The most that a process has used so far.

    Attributes:
      memory_mb: Resident memory, and what the kernel has received for it on
        its listening port, in MB.
      descriptors: Open file descriptors.
    """

    memory_mb: float = 0.0
    descriptors: int = 0


@contextlib.asynccontextmanager
async def watch(pid: int, port: int) -> AsyncIterator[Peak]:
    """Samples what a process uses while the block runs.

    Args:
      pid: Id of the process.
      port: Port on which it listens for clients.
    """
    peak = Peak()

    async def sample() -> None:
        while True:
            _sample(peak, pid, port)
            await asyncio.sleep(SAMPLE_S)

    task = asyncio.create_task(sample())
    try:
        yield peak
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        _sample(peak, pid, port)


def _sample(peak: Peak, pid: int, port: int) -> None:
    with contextlib.suppress(FileNotFoundError, ProcessLookupError):
        status = (PROC / str(pid) / 'status').read_text()
        fields = dict(
            line.split(':', 1) for line in status.splitlines() if ':' in line
        )
        # A process that has ended is without these fields.
        resident = int(fields.get('VmRSS', '0 kB').split()[0]) * 1024
        used_mb = (resident + _unread_bytes(port)) / MB
        peak.memory_mb = max(peak.memory_mb, used_mb)
        count = len(os.listdir(PROC / str(pid) / 'fd'))
        peak.descriptors = max(peak.descriptors, count)


def _unread_bytes(port: int) -> int:
    """Returns what is received and not yet read on connections to a port."""
    local = f':{port:04X}'
    rows = (PROC / 'net' / 'tcp').read_text().splitlines()[1:]
    fields = (row.split() for row in rows)
    return sum(
        int(row[4].partition(':')[2], 16)
        for row in fields
        if row[1].endswith(local) and row[3] == '01'
    )


class Crowd:
    """Clients that all do the same, until they are stopped.

    Attributes:
      attempts: Number of connections that were opened.
    """

    def __init__(
        self,
        port: int,
        count: int,
        payload: Payload,
        *,
        reads: bool = False,
        interval_s: float = 0.0,
    ) -> None:
        """Prepares a crowd; nothing is sent yet.

        Args:
          port: Port on the loopback address.
          count: Number of clients.
          payload: Returns what a client sends on a connection, in parts. It
            then keeps the connection open.
          reads: Whether it reads what it gets.
          interval_s: Pause between two parts, in seconds.
        """
        self._port = port
        self._count = count
        self._payload = payload
        self._reads = reads
        self._interval_s = interval_s
        self._tasks: list[asyncio.Task[None]] = []
        self.attempts = 0

    @contextlib.asynccontextmanager
    async def present(self, for_s: float) -> AsyncIterator[None]:
        """Runs the block beside the crowd, which stays for some time.

        Args:
          for_s: Least time in seconds that the clients stay.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        self._tasks = [
            loop.create_task(self._run_client()) for _ in range(self._count)
        ]
        try:
            yield
            await asyncio.sleep(max(0.0, end_s - loop.time()))
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_client(self) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self._run_connection()
            await asyncio.sleep(RECONNECT_S)

    async def _run_connection(self) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, ('127.0.0.1', self._port))
            self.attempts += 1
            sending = asyncio.create_task(self._send(sock))
            try:
                await self._wait_for_end(sock)
            finally:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for part in self._payload():
            await loop.sock_sendall(sock, part)
            await asyncio.sleep(self._interval_s)

    async def _wait_for_end(self, sock: socket.socket) -> None:
        """Returns once the connection has ended."""
        loop = asyncio.get_running_loop()
        if self._reads:
            while await loop.sock_recv(sock, 65536):
                pass
            return
        # Without reading, only the state of the socket shows that it ended.
        while _is_established(sock):  # noqa: ASYNC110
            await asyncio.sleep(SAMPLE_S)


def _is_established(sock: socket.socket) -> bool:
    state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state == TCP_ESTABLISHED
