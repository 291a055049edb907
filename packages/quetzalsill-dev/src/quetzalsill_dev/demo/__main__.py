"""`make demo`: exit status 0 only if every answer was right."""

from __future__ import annotations

import asyncio
import sys

from quetzalsill_dev import board, cluster, launch
from quetzalsill_dev.demo import scenario, table

__all__ = ['main']

BOUND_S = 120.0


def _say(text: str) -> None:
    print(text, flush=True)


async def _run() -> bool:
    async with launch.Launcher() as launcher, asyncio.timeout(BOUND_S):
        _say(scenario.heading())
        started = cluster.Cluster(launcher, board.board_layout())
        await started.start()
        demo = scenario.Demo(started, _say)
        await demo.run()
    right = sum(not asked.fault for asked in demo.asked)
    _say(f'\n{table.table(demo.asked)}')
    _say(f'\n{right} of {len(demo.asked)} answers were right')
    return right == len(demo.asked)


def main() -> None:
    """Runs the demo and ends everything that it started."""
    sys.exit(0 if asyncio.run(_run()) else 1)


if __name__ == '__main__':
    main()
