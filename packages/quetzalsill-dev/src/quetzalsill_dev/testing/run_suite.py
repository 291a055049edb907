"""Runs each test module in a separate process, several at a time.

Modules that measure the memory of processes run alone, after the others.

Usage: `python -m quetzalsill_dev.testing.run_suite [MODULE-PREFIX ...]`.

The last line is `N passed, N failed`. Failed tests that are listed in
KNOWN-RED.txt are counted too but do not fail the run. The exit status is 1 if
any other test failed, if a module crashed or timed out, or if no test ran.

The report of a module with failed tests is saved, together with the logs of
these tests (`quetzalsill_dev.testing.evidence`).
"""

from __future__ import annotations

import argparse
import concurrent.futures
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

from quetzalsill_dev.testing import evidence, known_red
from quetzalsill_dev.testing import outcome as outcome_lib

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ['discover', 'main', 'run_module', 'run_modules', 'summarize']

PARALLEL = 4
MODULE_TIMEOUT_S = 600.0
OUTPUT_TIMEOUT_S = 10.0
SLOW_PREFIX = 'tests.failure'
# These measure memory, and run one at a time after all others.
ALONE_PREFIX = 'tests.failure.clients'


def discover(root: pathlib.Path) -> list[str]:
    """Returns the names of all test modules, the slow ones first."""
    paths = (root / 'tests').rglob('test_*.py')
    names = ('.'.join(p.relative_to(root).with_suffix('').parts) for p in paths)
    return sorted(names, key=lambda n: (not n.startswith(SLOW_PREFIX), n))


def run_module(
    root: pathlib.Path, module: str, timeout_s: float = MODULE_TIMEOUT_S
) -> outcome_lib.Outcome:
    """Runs a module; it is killed and fails after `timeout_s`."""
    start = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, '-m', 'unittest', module],
        cwd=root,
        env=os.environ
        | {
            'PYTHONHASHSEED': '0',
            evidence.ENVIRONMENT: str(evidence.folder(root).absolute()),
        },
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors='replace',
        start_new_session=True,
    )
    try:
        report, _ = process.communicate(timeout=timeout_s)
        status = process.returncode
    except subprocess.TimeoutExpired:
        _kill_group(process.pid)
        report, _ = process.communicate(timeout=OUTPUT_TIMEOUT_S)
        report += f'\ntimed out after {timeout_s:g} s\n'
        status = -signal.SIGKILL
    if _kill_group(process.pid):
        report += '\nkilled processes that it left running\n'
    seconds = time.monotonic() - start
    return outcome_lib.parse(module, status, report, seconds)


def _kill_group(pid: int) -> bool:
    """Kills the processes left in a group; False if there were none."""
    try:
        os.killpg(pid, signal.SIGKILL)
    except ProcessLookupError:
        return False
    return True


def run_modules(
    root: pathlib.Path, modules: Iterable[str]
) -> Iterator[outcome_lib.Outcome]:
    """Runs modules, at most `PARALLEL` at once; yields results as they end.

    Those that run alone come last.
    """
    alone: list[str] = []
    shared: list[str] = []
    for name in modules:
        (alone if name.startswith(ALONE_PREFIX) else shared).append(name)
    with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        futures = [pool.submit(run_module, root, name) for name in shared]
        for future in concurrent.futures.as_completed(futures):
            yield future.result()
    yield from (run_module(root, name) for name in alone)


def _print_module(outcome: outcome_lib.Outcome, root: pathlib.Path) -> None:
    state = 'FAILED' if outcome.failed else 'ok'
    skipped = f', {outcome.skipped} skipped' if outcome.skipped else ''
    counts = f'{outcome.ran} tests{skipped}, {outcome.seconds:.1f} s'
    print(f'{state:6} {outcome.module} ({counts})', flush=True)
    if outcome.failed:
        print(outcome.report, flush=True)
        path = evidence.write(
            evidence.folder(root), outcome.module, 'report.txt', outcome.report
        )
        print(f'evidence: {path}', flush=True)


def summarize(
    outcomes: list[outcome_lib.Outcome], known: list[known_red.KnownRed]
) -> int:
    """Prints the failures and the last line; returns the exit status."""
    passed = sum(outcome.passed for outcome in outcomes)
    failed = [name for outcome in outcomes for name in outcome.failed]
    listed = {entry.test for entry in known}
    unlisted = [name for name in failed if name not in listed]
    for name in unlisted:
        print(f'failed: {name}')
    for entry in known:
        state = 'known red' if entry.test in failed else 'listed, did not fail'
        print(f'{state}: {entry.line}')
    skipped = sum(outcome.skipped for outcome in outcomes)
    if skipped:
        print(f'{skipped} skipped')
    print(f'{passed} passed, {len(failed)} failed')
    return 0 if passed and not unlisted else 1


def main(argv: list[str] | None = None) -> int:
    """Runs the suite, or the modules whose names start with a prefix."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('prefix', nargs='*', default=['tests'])
    parser.add_argument('--root', type=pathlib.Path, default=pathlib.Path.cwd())
    args = parser.parse_args(argv)
    prefixes = tuple(args.prefix)
    modules = [m for m in discover(args.root) if m.startswith(prefixes)]
    outcomes = []
    for outcome in run_modules(args.root, modules):
        _print_module(outcome, args.root)
        outcomes.append(outcome)
    return summarize(outcomes, known_red.load(args.root))


if __name__ == '__main__':
    sys.exit(main())
