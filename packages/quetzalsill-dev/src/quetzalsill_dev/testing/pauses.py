"""Runs tests while their processes are paused at random, from a seed.

Usage: `python -m quetzalsill_dev.testing.pauses TEST [--seeds N]`.

A busy machine fails a test mostly by pausing one of its processes at a bad
moment. This plays such pauses, so that a failure has a seed: which process is
paused, when and for how long follow from it. The order of events within the
processes does not, so that a seed may fail in some of its runs only.
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

__all__ = ['Bounds', 'Pause', 'Result', 'main', 'play', 'plan']

POLL_S = 0.01
RUN_BOUND_S = 300.0


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """How long processes are paused, and how often.

    Attributes:
      shortest_s: Shortest pause.
      longest_s: Longest pause.
      gap_s: Mean time between the end of a pause and the next one.
    """

    shortest_s: float = 0.02
    longest_s: float = 2.0
    gap_s: float = 0.3


@dataclasses.dataclass(slots=True, frozen=True)
class Pause:
    """One pause.

    Attributes:
      after_s: Time since the end of the last one.
      share: Picks the process, as a position in the list of all: 0 to 1.
      length_s: How long the process is stopped.
    """

    after_s: float
    share: float
    length_s: float


@dataclasses.dataclass(slots=True)
class Result:
    """A test under pauses.

    Attributes:
      status: Exit status of the test process.
      report: What it printed.
      pauses: A line for each pause that was played.
    """

    status: int
    report: str
    pauses: list[str]


def plan(seed: int, bounds: Bounds) -> Iterator[Pause]:
    """Yields the pauses of a seed, without end."""
    draw = random.Random(seed)
    while True:
        yield Pause(
            draw.expovariate(1 / bounds.gap_s),
            draw.random(),
            draw.uniform(bounds.shortest_s, bounds.longest_s),
        )


def play(
    test: str, seed: int, bounds: Bounds, only: str, folder: pathlib.Path
) -> Result:
    """Runs a test once under the pauses of a seed.

    Args:
      test: Dotted name of a module, class or test.
      seed: Seed of the pauses.
      bounds: Lengths of the pauses and of the gaps between them.
      only: Pattern of the command lines of the processes that are paused.
      folder: Where the evidence of a failure is kept.
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
            pauses = list(_pause_all(process, plan(seed, bounds), only))
            process.wait()
        finally:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
    return Result(process.returncode, report.read_text(), pauses)


def _pause_all(
    process: subprocess.Popen[bytes], pauses: Iterator[Pause], only: str
) -> Iterator[str]:
    """Plays pauses until the test has ended; yields a line for each."""
    begun_s = time.monotonic()
    for pause in pauses:
        if not _sleep_while_running(process, pause.after_s):
            return
        if time.monotonic() - begun_s > RUN_BOUND_S:
            process.kill()
            return
        found = [
            (pid, line)
            for pid, line in _family(process.pid)
            if re.search(only, line)
        ]
        if not found:
            continue
        pid, line = found[int(pause.share * len(found))]
        if _is_stopped(pid):
            continue
        at_s = time.monotonic() - begun_s
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


def _family(pid: int) -> list[tuple[int, str]]:
    """Returns a process and those that it has started: id and command line."""
    children = pathlib.Path(f'/proc/{pid}/task/{pid}/children')
    try:
        pids = [pid, *map(int, children.read_text().split())]
    except OSError:
        return []
    return [(each, _command(each)) for each in pids]


def _is_stopped(pid: int) -> bool:
    """Whether a test has stopped a process itself, which is not to go on."""
    try:
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    except OSError:
        return False
    # The state follows the name, which may hold blanks and brackets.
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
@click.option('--seeds', default=20, help='How many seeds.')
@click.option('--shortest-ms', default=20, help='Shortest pause.')
@click.option('--longest-ms', default=2000, help='Longest pause.')
@click.option('--gap-ms', default=300, help='Mean time between pauses.')
@click.option('--only', default='', help='Pattern of command lines to pause.')
def main(
    test: str,
    first: int,
    seeds: int,
    shortest_ms: int,
    longest_ms: int,
    gap_ms: int,
    only: str,
) -> None:
    """Runs TEST once for each seed; keeps the evidence of failures."""
    bounds = Bounds(shortest_ms / 1000, longest_ms / 1000, gap_ms / 1000)
    within = evidence.folder(pathlib.Path.cwd())
    failed = 0
    for seed in range(first, first + seeds):
        folder = within / f'{test}.seed-{seed}'
        folder.mkdir(parents=True, exist_ok=True)
        result = play(test, seed, bounds, only, folder)
        failed += result.status != 0
        (folder / 'pauses.txt').write_text('\n'.join(result.pauses) + '\n')
        verdict = 'FAILED' if result.status else 'ok'
        print(f'{verdict:6} seed {seed} ({len(result.pauses)} pauses)')
        sys.stdout.flush()
    print(f'{seeds - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
