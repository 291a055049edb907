"""Starts the processes of a test or demo, and terminates all of them.

A process counts as started once it has printed `ready port=N`, or a log line
that contains the port and whose event is `listening` or ends in `ready`. Its
output goes to a log file in the launcher's folder; `steps.txt` there lists what
the launcher did to each process, in order.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime
import os
import pathlib
import re
import signal
import sys
import tempfile
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    import types

__all__ = ['Launcher', 'Process', 'StartFailedError']

READY_PATTERN = re.compile(
    rb'(?:^ready|event=(?:\w*ready|listening))\b.*\bport=(\d+)'
)
READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 30.0
MAX_LINE_BYTES = 1024 * 1024
LOG_TAIL_CHARS = 4000
PROBE_INTERVAL_S = 0.05
STEPS_FILE = 'steps.txt'


class StartFailedError(Exception):
    """A process exited or timed out before it was ready."""


@dataclasses.dataclass(slots=True)
class Process:
    """A started process.

    Attributes:
      name: Name passed to the launcher.
      log: File with its output.
      port: Port that it reported to listen on; 0 if it reported none.
      scheme: `https` if it listens with TLS.
      ending: Whether SIGKILL or SIGTERM was sent to it.
    """

    name: str
    log: pathlib.Path
    _child: asyncio.subprocess.Process
    port: int = 0
    scheme: str = 'http'
    ending: bool = False
    _killed: bool = False

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    @property
    def address(self) -> str:
        """IP:PORT that it listens on."""
        return f'127.0.0.1:{self.port}'

    @property
    def url(self) -> str:
        """Base URL, if it serves HTTP."""
        return f'{self.scheme}://{self.address}'

    @property
    def running(self) -> bool:
        """Whether it has neither exited nor been killed.

        A process stopped by SIGSTOP counts as running.
        """
        if self._killed or self._child.returncode is not None:
            return False
        return not _has_exited(self.pid)

    def kill(self) -> None:
        """Sends SIGKILL; its port is free once `wait` has returned."""
        self.ending = self._killed = True
        self._signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Sends SIGTERM, for a graceful shutdown."""
        self.ending = True
        self._signal(signal.SIGTERM)

    def stop(self) -> None:
        """Sends SIGSTOP, which pauses the process."""
        self._signal(signal.SIGSTOP)

    def cont(self) -> None:
        """Sends SIGCONT, which resumes a paused process."""
        self._signal(signal.SIGCONT)

    def hang_up(self) -> None:
        """Sends SIGHUP, which makes it reload its settings."""
        self._signal(signal.SIGHUP)

    async def wait(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Waits until it exits and returns its exit status.

        Raises:
          TimeoutError: It did not exit in time.
        """
        async with asyncio.timeout(timeout_s):
            return await self._child.wait()

    def log_text(self) -> str:
        """Its output so far."""
        return self.log.read_text(errors='replace')

    def record_step(self, step: str) -> None:
        """Appends a step to `steps.txt`, with a timestamp as in the logs."""
        now = datetime.datetime.now(datetime.UTC).time().isoformat()
        # The folder is gone if the launcher is closed a second time.
        with (
            contextlib.suppress(FileNotFoundError),
            (self.log.parent / STEPS_FILE).open('a') as file,
        ):
            file.write(f'{now} {self.name} {self.pid} {step}\n')

    def _signal(self, number: signal.Signals) -> None:
        self.record_step(number.name)
        with contextlib.suppress(ProcessLookupError):
            self._child.send_signal(number)


def _has_exited(pid: int) -> bool:
    """Whether a child has exited, even if it has not been reaped yet."""
    how = os.WEXITED | os.WNOHANG | os.WNOWAIT
    try:
        return os.waitid(os.P_PID, pid, how) is not None
    except ChildProcessError:
        return True


class Launcher:
    """Starts processes; used as an asynchronous context manager.

    Attributes:
      folder: Folder for settings files and logs. A folder that the launcher
        created itself is removed when it is closed.
      processes: All started processes, in order.
    """

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        self._temporary: tempfile.TemporaryDirectory[str] | None = None
        if folder is None:
            self._temporary = tempfile.TemporaryDirectory(prefix='quetzalsill-')
            folder = pathlib.Path(self._temporary.name)
        self.folder = folder
        self.processes: list[Process] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        self.folder.mkdir(parents=True, exist_ok=True)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Kills all processes by their ids and waits for them."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            await process.wait()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._temporary is not None:
            self._temporary.cleanup()

    async def start(self, name: str, module: str, *args: str) -> Process:
        """Starts `python -m MODULE ARGS` and waits until it is ready.

        Raises:
          StartFailedError: It exited or was not ready in time.
        """
        return await self.start_python(name, '-m', module, *args)

    async def start_python(
        self, name: str, *args: str, port: int = 0
    ) -> Process:
        """Starts `python ARGS` and waits until it is ready.

        Args:
          name: Name of the process and its log.
          *args: Arguments of the interpreter.
          port: Port to probe, for a process that does not report its port; it
            is ready once it accepts a connection.

        Raises:
          StartFailedError: It exited or was not ready in time.
        """
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            *args,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=MAX_LINE_BYTES,
        )
        count = sum(process.name == name for process in self.processes)
        log = self.folder / f'{name}.{count}.log'
        process = Process(name, log, child)
        self.processes.append(process)
        process.record_step('start')
        ready = asyncio.get_running_loop().create_future()
        self._tasks.append(asyncio.create_task(_copy_output(child, log, ready)))
        if port:
            self._tasks.append(asyncio.create_task(_probe(port, ready)))
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                process.port = await ready
        except TimeoutError as exc:
            raise StartFailedError(f'{name} was not ready in time') from exc
        if not process.port:
            raise StartFailedError(
                f'{name}:\n{process.log_text()[-LOG_TAIL_CHARS:]}'
            )
        process.record_step(f'ready port={process.port}')
        return process


async def _copy_output(
    child: asyncio.subprocess.Process,
    log: pathlib.Path,
    ready: asyncio.Future[int],
) -> None:
    """Copies the output of a process to its log until it ends.

    Sets `ready` to the reported port, or to 0 if the output ends without one.
    """
    with log.open('wb', buffering=0) as file:
        while line := await _read_line(child.stdout):
            file.write(line)
            found = READY_PATTERN.search(line)
            if found and not ready.done():
                ready.set_result(int(found[1]))
    if not ready.done():
        ready.set_result(0)


async def _probe(port: int, ready: asyncio.Future[int]) -> None:
    """Tries to connect until it succeeds or `ready` is done."""
    while not ready.done():
        try:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
        except OSError:
            await asyncio.sleep(PROBE_INTERVAL_S)
            continue
        writer.close()
        if not ready.done():
            ready.set_result(port)


async def _read_line(stream: asyncio.StreamReader) -> bytes:
    try:
        return await stream.readline()
    except ValueError:
        # The line exceeds the limit; `readline` has dropped what it read.
        return b'(line too long)\n'
