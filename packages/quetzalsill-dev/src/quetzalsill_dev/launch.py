"""Starts the processes of a test or demo, and ends every one of them.

A process counts as started once it has printed `ready port=N`, or a log line
whose event is `listening` or ends in `ready` and that holds the port.
Everything that it prints goes to a log file in the launcher's folder, and
`steps.txt` there has what the launcher did to each process, in order.
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
    """A process ended or stayed silent before it was ready."""


@dataclasses.dataclass(slots=True)
class Process:
    """A started process.

    Attributes:
      name: Name given by the launcher's user.
      log: File with everything that it printed.
      port: Port that it said it listens on; 0 if it said none.
      scheme: `https` if it listens with TLS.
      ending: It was sent a signal to end, at once or gracefully.
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
        """IP:PORT where it listens."""
        return f'127.0.0.1:{self.port}'

    @property
    def url(self) -> str:
        """Base URL, if it speaks HTTP."""
        return f'{self.scheme}://{self.address}'

    @property
    def running(self) -> bool:
        """It has not ended, nor been killed; a stopped process is running."""
        if self._killed or self._child.returncode is not None:
            return False
        return not _has_exited(self.pid)

    def kill(self) -> None:
        """Ends it at once; `wait` tells when its port is free."""
        self.ending = self._killed = True
        self._signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Asks it to end gracefully."""
        self.ending = True
        self._signal(signal.SIGTERM)

    def stop(self) -> None:
        """Pauses it."""
        self._signal(signal.SIGSTOP)

    def cont(self) -> None:
        """Lets it go on after a pause."""
        self._signal(signal.SIGCONT)

    def hang_up(self) -> None:
        """Asks it to read its settings again."""
        self._signal(signal.SIGHUP)

    async def wait(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Exit status, once it has ended.

        Raises:
          TimeoutError: It has not ended within the bound.
        """
        async with asyncio.timeout(timeout_s):
            return await self._child.wait()

    def log_text(self) -> str:
        """Everything that it printed so far."""
        return self.log.read_text(errors='replace')

    def record_step(self, step: str) -> None:
        """Adds a step to the launcher's record, with the time of the logs."""
        now = datetime.datetime.now(datetime.UTC).time().isoformat()
        # A launcher that is closed twice has no folder the second time.
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
    """Whether a child has ended, though its end may not be collected yet."""
    how = os.WEXITED | os.WNOHANG | os.WNOWAIT
    try:
        return os.waitid(os.P_PID, pid, how) is not None
    except ChildProcessError:
        return True


class Launcher:
    """Starts processes; used as an asynchronous context manager.

    Attributes:
      folder: Folder for settings files and logs. It is removed at the end if
        the launcher made it.
      processes: Every process started, in order.
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
        """Ends every process that is left, by its id."""
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
          StartFailedError: It ended or was not ready in time.
        """
        return await self.start_python(name, '-m', module, *args)

    async def start_python(
        self, name: str, *args: str, port: int = 0
    ) -> Process:
        """Starts `python ARGS` and waits until it is ready.

        Args:
          name: Names the process and its log.
          *args: Arguments of the interpreter.
          port: Where it will listen, if it does not say so; it is ready once
            it takes a connection there.

        Raises:
          StartFailedError: It ended or was not ready in time.
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
            raise StartFailedError(f'{name} is not ready in time') from exc
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
    """Copies what a process prints to its log; gives 0 if it never is ready."""
    with log.open('wb', buffering=0) as file:
        while line := await _read_line(child.stdout):
            file.write(line)
            found = READY_PATTERN.search(line)
            if found and not ready.done():
                ready.set_result(int(found[1]))
    if not ready.done():
        ready.set_result(0)


async def _probe(port: int, ready: asyncio.Future[int]) -> None:
    """Connects until it is let in, or nobody waits any longer."""
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
        # A line over the limit; what was read of it is dropped.
        return b'(line too long)\n'
