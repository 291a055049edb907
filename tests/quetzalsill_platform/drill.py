"""Test case for restore drills of a store that sends its era."""

from __future__ import annotations

import asyncio
import random

from tests.quetzalsill_platform import fixture

__all__ = ['VERSION_GAP', 'MAX_CALLS_PER_S', 'OK', 'DrillTestCase']

OK = 200
# Versions assigned between a snapshot and its restore.
VERSION_GAP = 20
# Smallest share of a store's rate limit that a gateway has in any deployment.
MAX_CALLS_PER_S = 6000 / 28


class DrillTestCase(fixture.GatewayTestCase):
    """One gateway on a store that sends its era."""

    era = 1

    def known_servers(self):
        """Returns the ids of the HTTP servers that the gateway uses."""
        available = self.process.core.upstreams.available('desk')
        return {upstream.id for upstream in available}

    def version(self):
        return self.process.core.holder.current.version

    def register_server(self, number, **kwargs):
        server = self.http_servers[number - 1]
        self.store.put(
            'servers', server.id, server.entry('desk', 'zone-a', **kwargs)
        )

    async def wait_for_marker(self, name):
        """Writes a marker to both tables and waits until the gateway knows it.

        The gateway then knows everything that was written before.
        """
        entry = self.http_servers[0].entry('spare', 'zone-a')
        self.store.put('servers', name, entry)
        self.store.put('op', 'evacuate/' + name, {})
        upstreams = self.process.core.upstreams
        await self.wait_until(lambda: upstreams.get(name) is not None)
        await self.wait_until(lambda: upstreams.zones.is_drained(name))

    async def restore_in_outage(self, snapshot):
        """Takes the store down until the gateway notices, then restores it.

        The store stays down.
        """
        self.store.down = 'busy'
        await self.wait_until(lambda: self.process.core.health.is_down)
        self.store.load_snapshot(snapshot)

    def drill(self, snapshot, **kwargs):
        """Starts a restore drill in the background and returns its task."""
        task = asyncio.create_task(
            self.store.restore(snapshot, random.Random(7), **kwargs)
        )
        self.addAsyncCleanup(asyncio.wait, [task])
        return task

    async def served_by(self, count=4):
        """Sends a number of requests; returns the ids of the servers."""
        responses = [await self.request('/safe/') for _ in range(count)]
        self.assertEqual({response.status for response in responses}, {OK})
        stamps = [
            response.headers['x-quetzalsill-server-stamp']
            for response in responses
        ]
        return {stamp.partition('.')[0] for stamp in stamps}
