"""Runs tests while their processes are paused at random times, from a seed.

Usage: `python -m quetzalsill_dev.testing.pauses TEST [--seeds N]`.

On a busy machine, tests fail mostly because one of their processes is paused at
a critical time. This module injects such pauses, so that a failure has a seed,
which determines the paused process, the time and the length of each pause. It
doesn't determine the order of events within the processes, so that a seed may
fail in some of its runs only.
"""

from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
import random
import re
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import click

from quetzalsill_dev.testing import evidence

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['Limits', 'Pause', 'Result', 'main', 'run', 'generate']

POLL_S = 0.01
MAX_RUN_S = 300.0


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits of the pauses and of the gaps between them.

    Attributes:
      shortest_s: Minimum length of a pause, in seconds.
      longest_s: Maximum length of a pause, in seconds.
      gap_s: Mean time from the end of a pause to the next one, in seconds.
    """

    shortest_s: float = 0.02
    longest_s: float = 2.0
    gap_s: float = 0.3


@dataclasses.dataclass(slots=True, frozen=True)
class Pause:
    """A pause of one process.

    Attributes:
      after_s: Time since the end of the previous pause, in seconds.
      share: Selects the process: its relative position in the list of all, from
        0 to 1.
      length_s: How long the process is stopped, in seconds.
    """

    after_s: float
    share: float
    length_s: float


@dataclasses.dataclass(slots=True)
class Result:
    """Result of a test run with pauses.

    Attributes:
      status: Exit status of the test process.
      report: Its output.
      pauses: A line for each injected pause.
    """

    status: int
    report: str
    pauses: list[str]


def generate(seed: int, limits: Limits) -> Iterator[Pause]:
    """Yields the infinite sequence of pauses of a seed."""
    rng = random.Random(seed)
    while True:
        yield Pause(
            rng.expovariate(1 / limits.gap_s),
            rng.random(),
            rng.uniform(limits.shortest_s, limits.longest_s),
        )


def run(
    test: str, seed: int, limits: Limits, only: str, folder: pathlib.Path
) -> Result:
    """Runs a test once with the pauses of a seed.

    Args:
      test: Dotted name of a module, class or test.
      seed: Seed of the pauses.
      limits: Limits of the pauses and of the gaps between them.
      only: Regular expression for the command lines of processes to pause.
      folder: Folder for the evidence of a failure.
    """
    report = folder / f'report-{seed}.txt'
    with report.open('w') as file:
        process = subprocess.Popen(
            [sys.executable, '-m', 'unittest', test],
            env=os.environ
            | {'PYTHONHASHSEED': '0', evidence.ENVIRONMENT: str(folder)},
            stdin=subprocess.DEVNULL,
            stdout=file,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
        try:
            pauses = list(_pause_all(process, generate(seed, limits), only))
            process.wait()
        finally:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
    return Result(process.returncode, report.read_text(), pauses)


def _pause_all(
    process: subprocess.Popen[bytes], pauses: Iterator[Pause], only: str
) -> Iterator[str]:
    """Injects pauses until the test has ended; yields a line for each."""
    started_s = time.monotonic()
    for pause in pauses:
        if not _sleep_while_running(process, pause.after_s):
            return
        if time.monotonic() - started_s > MAX_RUN_S:
            process.kill()
            return
        candidates = [
            (pid, line)
            for pid, line in _list_processes(process.pid)
            if re.search(only, line)
        ]
        if not candidates:
            continue
        pid, line = candidates[int(pause.share * len(candidates))]
        if _is_stopped(pid):
            continue
        at_s = time.monotonic() - started_s
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGSTOP)
            try:
                time.sleep(pause.length_s)
            finally:
                os.kill(pid, signal.SIGCONT)
        clock = time.strftime('%H:%M:%S', time.gmtime())
        yield f'{clock} {at_s:.2f} s: {pause.length_s:.3f} s, {pid} {line}'


def _sleep_while_running(
    process: subprocess.Popen[bytes], duration_s: float
) -> bool:
    end_s = time.monotonic() + duration_s
    while process.poll() is None:
        left_s = end_s - time.monotonic()
        if left_s <= 0:
            return True
        time.sleep(min(POLL_S, left_s))
    return False


def _list_processes(pid: int) -> list[tuple[int, str]]:
    """Returns ids and command lines of a process and its children."""
    children = pathlib.Path(f'/proc/{pid}/task/{pid}/children')
    try:
        pids = [pid, *map(int, children.read_text().split())]
    except OSError:
        return []
    return [(each, _command(each)) for each in pids]


def _is_stopped(pid: int) -> bool:
    """Whether the test itself has stopped a process, which must stay so."""
    try:
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    except OSError:
        return False
    # The state follows the name, which may contain spaces and parentheses.
    return stat.rpartition(')')[2].split()[0] == 'T'


def _command(pid: int) -> str:
    try:
        line = pathlib.Path(f'/proc/{pid}/cmdline').read_bytes()
    except OSError:
        return ''
    return line.replace(b'\0', b' ').decode(errors='replace').strip()


@click.command()
@click.argument('test')
@click.option('--first', default=0, help='First seed.')
@click.option('--seeds', default=20, help='Number of seeds.')
@click.option('--shortest-ms', default=20, help='Minimum pause.')
@click.option('--longest-ms', default=2000, help='Maximum pause.')
@click.option('--gap-ms', default=300, help='Mean time between pauses.')
@click.option('--only', default='', help='Regex for command lines to pause.')
def main(
    test: str,
    first: int,
    seeds: int,
    shortest_ms: int,
    longest_ms: int,
    gap_ms: int,
    only: str,
) -> None:
    """Runs TEST once for each seed and saves the evidence of failures."""
    limits = Limits(shortest_ms / 1000, longest_ms / 1000, gap_ms / 1000)
    within = evidence.folder(pathlib.Path.cwd())
    failed = 0
    for seed in range(first, first + seeds):
        folder = within / f'{test}.seed-{seed}'
        folder.mkdir(parents=True, exist_ok=True)
        result = run(test, seed, limits, only, folder)
        failed += result.status != 0
        (folder / 'pauses.txt').write_text('\n'.join(result.pauses) + '\n')
        state = 'FAILED' if result.status else 'ok'
        print(f'{state:6} seed {seed} ({len(result.pauses)} pauses)')
        sys.stdout.flush()
    print(f'{seeds - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
