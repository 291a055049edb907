"""A gateway on a store that tells its era and has drills."""

from __future__ import annotations

import asyncio
import random

from tests.quetzalsill_platform import fixture

__all__ = ['BETWEEN', 'CALLS_PER_S', 'OK', 'DrillTest']

OK = 200
# Versions that the store gives out between a copy and its loss.
BETWEEN = 20
# What the store's rates leave each of its gateways, where they leave least.
CALLS_PER_S = 6000 / 28


class DrillTest(fixture.PathTest):
    """One gateway on a store that tells its era."""

    era = 1

    def desks_known(self):
        """Returns the plain servers to which the gateway sends."""
        found = self.process.core.upstreams.available('desk')
        return {upstream.id for upstream in found}

    def version(self):
        return self.process.core.holder.current.version

    def enter_desk(self, number, **more):
        desk = self.desks[number - 1]
        self.store.put('servers', desk.id, desk.entry('desk', 'zone-a', **more))

    async def mark(self, name):
        """Writes an entry and waits until the gateway has come so far.

        Everything that was written before, in both tables, is known then.
        """
        spare = self.desks[0].entry('spare', 'zone-a')
        self.store.put('servers', name, spare)
        self.store.put('op', 'evacuate/' + name, {})
        upstreams = self.process.core.upstreams
        await self.until(lambda: upstreams.get(name) is not None)
        await self.until(lambda: upstreams.zones.is_drained(name))

    async def lose(self, copy):
        """The store is away until the gateway sees it, and holds the copy."""
        self.store.down = 'busy'
        await self.until(lambda: self.process.core.health.is_down)
        self.store.come_back(copy)

    def drill(self, copy, **more):
        """Begins a drill that is played to its end in the background."""
        task = asyncio.create_task(
            self.store.restore(copy, random.Random(7), **more)
        )
        self.addAsyncCleanup(asyncio.wait, [task])
        return task

    async def served_by(self, count=4):
        """Returns who serves a number of requests."""
        answers = [await self.ask('/safe/') for _ in range(count)]
        self.assertEqual({one.status for one in answers}, {OK})
        stamps = [one.headers['x-quetzalsill-server-stamp'] for one in answers]
        return {stamp.partition('.')[0] for stamp in stamps}
