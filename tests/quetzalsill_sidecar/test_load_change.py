"""Which changes of the load every router is told, and how often."""

from __future__ import annotations

import dataclasses
import unittest

from quetzalsill.wire import message
from quetzalsill_sidecar import load_change
from tests.quetzalsill_sidecar import support

REPORTED = message.Load(
    queued=8,
    running=40,
    used_tokens=50_000,
    capacity_tokens=100_000,
    expected_wait_ms=400,
    token_ms=40.0,
    models=['planner'],
    leaving=False,
    healthy=True,
    revision=7,
    engine=3,
)
CHANGES = {
    load_change.Change.NONE: [{}],
    load_change.Change.SMALL: [
        {'queued': 10},
        {'running': 49},
        {'used_tokens': 54_000},
        {'expected_wait_ms': 480},
        {'token_ms': 44.0},
    ],
    load_change.Change.LARGE: [
        {'queued': 0},
        {'running': 51},
        {'used_tokens': 70_000},
        {'expected_wait_ms': 0},
        {'token_ms': 80.0},
    ],
    load_change.Change.STATE: [
        {'models': []},
        {'leaving': True},
        {'healthy': False},
        {'revision': 8},
        {'engine': 4},
    ],
}


class LoadChangeTest(unittest.IsolatedAsyncioTestCase):
    """Reports must not cost a large fleet its network."""

    async def test_changes_are_told_apart(self):
        for kind, cases in CHANGES.items():
            for fields in cases:
                with self.subTest(**fields):
                    now = dataclasses.replace(REPORTED, **fields)
                    self.assertIs(load_change.classify(REPORTED, now), kind)

    async def test_figures_wait_longer_the_more_routers_there_are(self):
        _, small, large, state = load_change.Change
        for links, expected in {
            1: (1.0, 0.25, 0.25),
            160: (80.0, 20.0, 0.25),
        }.items():
            intervals = tuple(
                load_change.min_interval_s(kind, links)
                for kind in (small, large, state)
            )
            self.assertEqual(intervals, expected)

    async def test_idle_sidecar_reports_once_and_each_change_after(self):
        """A router sends to an engine that it takes for idle."""
        _, url = await self.enterAsyncContext(support.engine())
        sidecar = await self.enterAsyncContext(support.sidecar(url, 'app'))
        async with support.router(sidecar.port) as router:
            await router.receive_other(message.Load)
            for used in (9000, 0):
                sidecar.queue.foreign_tokens = used
                sidecar.load.mark_changed()
                load = await router.receive_other(message.Load)
                self.assertEqual(load.used_tokens, used)


if __name__ == '__main__':
    unittest.main()
