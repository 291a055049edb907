"""A TCP relay whose connections can be reset, silenced and delayed.

Tests place it between two processes to simulate network failures. A silenced
connection stays open on both sides and forwards nothing, not even its end, as
when a device on the path has lost its connection state.
"""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import struct

__all__ = ['Direction', 'Relay']

READ_BYTES = 65536
MAX_DELAYED = 256
RESET = struct.pack('ii', 1, 0)


@dataclasses.dataclass(slots=True)
class Direction:
    """State of one direction of a connection.

    Attributes:
      silent: Whether received data is discarded instead of forwarded.
      delay_s: Delay of all data, in seconds.
      received: Number of received bytes, including delayed and discarded ones.
      forwarded: Number of forwarded bytes.
    """

    silent: bool = False
    delay_s: float = 0.0
    received: int = 0
    forwarded: int = 0


class Connection:
    """A client connection that is forwarded to the target."""

    def __init__(self, up: Direction, down: Direction) -> None:
        self.up = up
        self.down = down
        self.writers: list[asyncio.StreamWriter] = []

    @property
    def forwarded(self) -> int:
        """Number of bytes forwarded in both directions."""
        return self.up.forwarded + self.down.forwarded

    async def run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: str,
        port: int,
    ) -> None:
        """Forwards data until both directions have ended."""
        self.writers.append(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
            self.writers.append(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(_forward(reader, target_writer, self.up))
                group.create_task(_forward(target_reader, writer, self.down))
        except* OSError:
            self.reset()
        finally:
            self.reset()

    def reset(self) -> None:
        """Resets both sides, as when a host restarts after a power loss."""
        for writer in self.writers:
            sock = writer.get_extra_info('socket')
            if not writer.transport.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()


class Relay:
    """Forwards every connection to one target.

    Attributes:
      target: Host and port to which new connections are forwarded.
      up: Initial state of the direction to the target.
      down: Initial state of the direction to the client.
      refusing: Whether new connections are reset immediately.
      accepted: Number of accepted connections.
    """

    def __init__(self, host: str, port: int) -> None:
        self.up = Direction()
        self.down = Direction()
        self.refusing = False
        self.accepted = 0
        self.target = (host, port)
        self._open: dict[Connection, asyncio.Task[None]] = {}
        self._ended_bytes = 0
        self._ended_received = 0
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port to which clients connect."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def forwarded(self) -> int:
        """Number of bytes forwarded in both directions of all connections."""
        return self._ended_bytes + sum(conn.forwarded for conn in self._open)

    @property
    def received_up(self) -> int:
        """Number of bytes received for the target on all connections."""
        open_now = sum(conn.up.received for conn in self._open)
        return self._ended_received + open_now

    async def start(self, port: int = 0) -> None:
        """Starts to listen on the loopback address."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', port
        )

    async def stop(self) -> None:
        """Stops listening and resets the open connections."""
        self._server.close()
        tasks = list(self._open.values())
        self.cut()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def silence(self, *, up: bool = True, down: bool = True) -> None:
        """Silences the open connections permanently, but no new ones."""
        for conn in self._open:
            conn.up.silent |= up
            conn.down.silent |= down

    def delay(self, seconds: float) -> None:
        """Delays data in both directions, on open and new connections."""
        for conn in (self, *self._open):
            conn.up.delay_s = conn.down.delay_s = seconds

    def hold_back(self, seconds: float) -> None:
        """Delays data to the target on the open connections only.

        If a client then abandons its connection and opens another one, its
        older data arrives after the newer data.
        """
        for conn in self._open:
            conn.up.delay_s = seconds

    def cut(self) -> None:
        """Resets the open connections."""
        for conn in list(self._open):
            conn.reset()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        conn = Connection(
            dataclasses.replace(self.up), dataclasses.replace(self.down)
        )
        if self.refusing:
            conn.writers.append(writer)
            conn.reset()
            return
        task = asyncio.get_running_loop().create_task(
            conn.run(reader, writer, *self.target)
        )
        self._open[conn] = task
        task.add_done_callback(lambda _: self._end(conn))

    def _end(self, conn: Connection) -> None:
        self._ended_bytes += conn.forwarded
        self._ended_received += conn.up.received
        self._open.pop(conn)


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    direction: Direction,
) -> None:
    delayed: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_DELAYED)
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as group:
        group.create_task(_write(delayed, writer, direction))
        data = b'start'
        while data:
            data = await reader.read(READ_BYTES)
            direction.received += len(data)
            await delayed.put((loop.time() + direction.delay_s, data))


async def _write(
    delayed: asyncio.Queue[tuple[float, bytes]],
    writer: asyncio.StreamWriter,
    direction: Direction,
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due, data = await delayed.get()
        if due > loop.time():
            await asyncio.sleep(due - loop.time())
        if direction.silent and data:
            continue
        if direction.silent:
            # The end of a silenced direction isn't forwarded either.
            await asyncio.Event().wait()
        if not data:
            writer.write_eof()
            return
        writer.write(data)
        direction.forwarded += len(data)
        await writer.drain()
