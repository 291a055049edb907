"""The platform in memory, with the faults of one router's link to it."""

from __future__ import annotations

import asyncio
import collections
import contextlib

from quetzalsill.platform import error as platform_error
from quetzalsill.platform import table as platform_table
from quetzalsill_dev.platform_standin import table as standin_table
from tests.quetzalsill.platform import standin

__all__ = ['Link', 'Objects', 'Platform', 'Table']

CALL_S = 0.001
TIMEOUT_S = 0.5
LATE_S = 1.5


class Platform:
    """Rows and objects that all routers share.

    Attributes:
      down: Calls are refused without effect.
      silent: Calls time out without effect.
      counts: Calls that were answered, by kind.
    """

    def __init__(self):
        self.rows = standin_table.Rows()
        self.objects = {}
        self.down = False
        self.silent = False
        self.counts = collections.Counter()

    def transact(self, conditions, writes):
        """Runs a transaction as the stand-in does."""
        return standin.transact(self.rows, conditions, writes)

    def put(self, key, data, create_only):
        """Writes an object."""
        if create_only and key in self.objects:
            raise platform_error.ObjectExistsError(key)
        self.objects[key] = data


class Link:
    """The way of one router to the platform and the sidecars.

    Attributes:
      faults: Faults of the writes to come, in order, by the table they go
        to (`journal` for objects, `any` for all): `lost` (takes effect, the
        answer is lost), `late` (the answer is lost and the write takes
        effect some time later), `ok`.
      awake: Cleared while the process is paused: nothing leaves it and no
        answer reaches it.
      dead: The process was killed.
    """

    def __init__(self, platform):
        self.platform = platform
        self.faults = collections.defaultdict(collections.deque)
        self.awake = asyncio.Event()
        self.awake.set()
        self.dead = False

    async def call(self, kind, effect, write=''):
        """Makes a call with the faults in force."""
        await self.wait_until_running()
        await asyncio.sleep(CALL_S)
        try:
            return await self._attempt(kind, effect, write)
        finally:
            await asyncio.sleep(CALL_S)
            await self.wait_until_running()

    async def wait_until_running(self):
        """Waits while the process is paused; for ever once it is dead."""
        if self.dead:
            await asyncio.Event().wait()
        await self.awake.wait()
        if self.dead:
            await asyncio.Event().wait()

    async def _attempt(self, kind, effect, write):
        if self.platform.down:
            raise platform_error.PlatformUnavailableError('down')
        if self.platform.silent:
            await asyncio.sleep(TIMEOUT_S)
            raise _timeout_error(write)
        self.platform.counts[kind] += 1
        fault = self._fault(write) if write else 'ok'
        if fault == 'late':
            asyncio.get_running_loop().call_later(
                LATE_S, _ignore_errors, effect
            )
        if fault in ('lost', 'late'):
            _ignore_errors(effect if fault == 'lost' else lambda: None)
            raise platform_error.PlatformAnswerLostError(fault)
        return effect()

    def _fault(self, table):
        queue = self.faults[table] or self.faults['any']
        return queue.popleft() if queue else 'ok'


class Table:
    """Client of the table, with the signatures of `platform.table`."""

    def __init__(self, link):
        self._link = link
        self._rows = link.platform.rows

    async def get(self, table, key):
        """Reads a row."""
        row = await self._link.call('get', lambda: self._rows.get(table, key))
        return row and platform_table.Row(row.version, row.value)

    async def scan(self, table, prefix=''):
        """Reads rows."""
        rows = await self._link.call(
            'scan', lambda: self._rows.scan(table, prefix)
        )
        return [
            platform_table.KeyedRow(row.key, row.version, row.value)
            for row in rows
        ]

    async def transact(self, conditions, writes):
        """Runs a transaction."""
        return await self._link.call(
            'transact',
            lambda: self._link.platform.transact(conditions, writes),
            write=writes[0].table,
        )


class Objects:
    """Client of the object store, with the signatures of its module."""

    def __init__(self, link):
        self._link = link

    async def put(self, key, data, create_only=False):
        """Writes an object."""
        await self._link.call(
            'put',
            lambda: self._link.platform.put(key, data, create_only),
            write='journal',
        )

    async def get(self, key):
        """Reads an object."""
        return await self._link.call(
            'read', lambda: self._link.platform.objects.get(key)
        )

    async def delete(self, key):
        """Deletes an object."""
        await self._link.call(
            'delete',
            lambda: self._link.platform.objects.pop(key, None),
            write='journal',
        )


def _timeout_error(write):
    if write:
        return platform_error.PlatformAnswerLostError('silent')
    return platform_error.PlatformUnavailableError('silent')


def _ignore_errors(effect):
    with contextlib.suppress(platform_error.PlatformError):
        effect()
