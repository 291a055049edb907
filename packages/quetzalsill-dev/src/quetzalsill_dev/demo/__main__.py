"""`make demo`: exits with status 0 only if every answer was correct."""

from __future__ import annotations

import asyncio
import sys

from quetzalsill_dev import board, cluster, launch
from quetzalsill_dev.demo import scenario, table

__all__ = ['main']

TIMEOUT_S = 120.0


def _print_line(text: str) -> None:
    print(text, flush=True)


async def _run() -> bool:
    async with launch.Launcher() as launcher, asyncio.timeout(TIMEOUT_S):
        _print_line(scenario.heading())
        started = cluster.Cluster(launcher, board.board_layout())
        await started.start()
        demo = scenario.Demo(started, _print_line)
        await demo.run()
    correct = sum(not sent.failure for sent in demo.sent)
    _print_line(f'\n{table.format_table(demo.sent)}')
    _print_line(f'\n{correct} of {len(demo.sent)} answers were right')
    return correct == len(demo.sent)


def main() -> None:
    """Runs the demo and stops all processes that it started."""
    sys.exit(0 if asyncio.run(_run()) else 1)


if __name__ == '__main__':
    main()
