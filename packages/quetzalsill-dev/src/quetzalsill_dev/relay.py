"""A TCP relay whose connections can be cut, silenced and delayed.

Tests put it between two ends to make the network fail. A silenced connection
stays open on both sides and forwards nothing, not even its end, as when
something between the ends has lost track of it.
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
    """State of one direction.

    Attributes:
      silent: Nothing is forwarded; what arrives is thrown away.
      delay_s: Seconds that each piece of data is held back.
      received: Bytes taken so far, also those held back or thrown away.
      forwarded: Bytes forwarded so far.
    """

    silent: bool = False
    delay_s: float = 0.0
    received: int = 0
    forwarded: int = 0


class Connection:
    """A connection of a client, forwarded to the target."""

    def __init__(self, up: Direction, down: Direction) -> None:
        self.up = up
        self.down = down
        self.writers: list[asyncio.StreamWriter] = []

    @property
    def forwarded(self) -> int:
        """Bytes forwarded so far, both ways."""
        return self.up.forwarded + self.down.forwarded

    async def run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: str,
        port: int,
    ) -> None:
        """Forwards both ways until both directions have ended."""
        self.writers.append(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
            self.writers.append(far_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(_pump(reader, far_writer, self.up))
                group.create_task(_pump(far_reader, writer, self.down))
        except* OSError:
            self.reset()
        finally:
            self.reset()

    def reset(self) -> None:
        """Resets both sides, as when a host loses power and comes back."""
        for writer in self.writers:
            sock = writer.get_extra_info('socket')
            if not writer.transport.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()


class Relay:
    """Forwards every connection to one target.

    Attributes:
      target: Host and port that new connections are forwarded to.
      up: State, for new connections, of the direction to the target.
      down: State, for new connections, of the direction to the client.
      refusing: New connections are reset at once.
      accepted: Connections taken so far.
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
        """Port that clients connect to."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def forwarded(self) -> int:
        """Bytes forwarded so far, both ways, on all connections."""
        return self._ended_bytes + sum(conn.forwarded for conn in self._open)

    @property
    def received_up(self) -> int:
        """Bytes taken for the target so far, on all connections."""
        open_now = sum(conn.up.received for conn in self._open)
        return self._ended_received + open_now

    async def start(self, port: int = 0) -> None:
        """Opens the relay on the loopback address."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', port
        )

    async def stop(self) -> None:
        """Closes the relay and resets what is open."""
        self._server.close()
        tasks = list(self._open.values())
        self.cut()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def silence(self, *, up: bool = True, down: bool = True) -> None:
        """Silences the open connections for good; new ones work."""
        for conn in self._open:
            conn.up.silent |= up
            conn.down.silent |= down

    def delay(self, seconds: float) -> None:
        """Holds back data in both directions, on new connections too."""
        for conn in (self, *self._open):
            conn.up.delay_s = conn.down.delay_s = seconds

    def hold_back(self, seconds: float) -> None:
        """Delays data to the target on the open connections alone.

        A client that gives such a connection up and opens another has its
        data arrive out of order: the old behind the new.
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


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    way: Direction,
) -> None:
    delayed: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_DELAYED)
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as group:
        group.create_task(_write(delayed, writer, way))
        data = b'start'
        while data:
            data = await reader.read(READ_BYTES)
            way.received += len(data)
            await delayed.put((loop.time() + way.delay_s, data))


async def _write(
    delayed: asyncio.Queue[tuple[float, bytes]],
    writer: asyncio.StreamWriter,
    way: Direction,
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due, data = await delayed.get()
        if due > loop.time():
            await asyncio.sleep(due - loop.time())
        if way.silent and data:
            continue
        if way.silent:
            # The end of a silent direction isn't forwarded either.
            await asyncio.Event().wait()
        if not data:
            writer.write_eof()
            return
        writer.write(data)
        way.forwarded += len(data)
        await writer.drain()
