"""Runs every test module in a process of its own, a few at a time.

Usage: `python -m quetzalsill_dev.testing.run_suite [MODULE-PREFIX ...]`.

The last line is `N passed, N failed`. Tests listed in KNOWN-RED.txt count as
failed too, but do not fail the run. Exit status 1 if any other test failed,
if a module crashed or was stopped at its time bound, or if no test ran.

The report of a module in which a test failed is kept, beside the logs that its
tests left (`quetzalsill_dev.testing.evidence`).
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
MODULE_BOUND_S = 600.0
DRAIN_BOUND_S = 10.0
SLOW_FOLDER = 'tests.failure'


def discover(root: pathlib.Path) -> list[str]:
    """Dotted names of all test modules, those of whole processes first."""
    paths = (root / 'tests').rglob('test_*.py')
    names = ('.'.join(p.relative_to(root).with_suffix('').parts) for p in paths)
    return sorted(names, key=lambda n: (not n.startswith(SLOW_FOLDER), n))


def run_module(
    root: pathlib.Path, module: str, bound_s: float = MODULE_BOUND_S
) -> outcome_lib.Outcome:
    """Runs one module; one that exceeds `bound_s` is ended and has failed."""
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
        report, _ = process.communicate(timeout=bound_s)
        status = process.returncode
    except subprocess.TimeoutExpired:
        _end_group(process.pid)
        report, _ = process.communicate(timeout=DRAIN_BOUND_S)
        report += f'\nstopped at the bound of {bound_s:g} s\n'
        status = -signal.SIGKILL
    if _end_group(process.pid):
        report += '\nleft processes behind, which were ended\n'
    seconds = time.monotonic() - start
    return outcome_lib.read(module, status, report, seconds)


def _end_group(pid: int) -> bool:
    """Kills what is left of the process group; False if nothing was."""
    try:
        os.killpg(pid, signal.SIGKILL)
    except ProcessLookupError:
        return False
    return True


def run_modules(
    root: pathlib.Path, modules: Iterable[str]
) -> Iterator[outcome_lib.Outcome]:
    """Runs modules, a bounded number at once; yields each as it ends."""
    with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        futures = [pool.submit(run_module, root, name) for name in modules]
        for fut in concurrent.futures.as_completed(futures):
            yield fut.result()


def _print_module(outcome: outcome_lib.Outcome, root: pathlib.Path) -> None:
    verdict = 'FAILED' if outcome.failed else 'ok'
    skipped = f', {outcome.skipped} skipped' if outcome.skipped else ''
    counts = f'{outcome.ran} tests{skipped}, {outcome.seconds:.1f} s'
    print(f'{verdict:6} {outcome.module} ({counts})', flush=True)
    if outcome.failed:
        print(outcome.report, flush=True)
        kept = evidence.write(
            evidence.folder(root), outcome.module, 'report.txt', outcome.report
        )
        print(f'evidence: {kept}', flush=True)


def summarize(
    outcomes: list[outcome_lib.Outcome], known: list[known_red.KnownRed]
) -> int:
    """Prints the failures and the closing line; returns the exit status."""
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
    """Runs the suite, or the modules whose names begin as given."""
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
