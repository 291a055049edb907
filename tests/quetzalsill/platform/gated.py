"""A table and an object store whose calls a test lets through one by one."""

from __future__ import annotations

import asyncio

from quetzalsill.platform import error
from quetzalsill_dev.platform_standin import table as standin_table
from tests.quetzalsill.platform import standin

__all__ = ['Call', 'Gate', 'GatedObjects', 'GatedTable', 'settle']

EVENT_LOOP_PASSES = 8


class Call:
    """One call: its effect and its answer are separate events."""

    def __init__(self, apply, is_write):
        self.effected = False
        self.answer = asyncio.get_running_loop().create_future()
        self._apply = apply
        self._is_write = is_write
        self._result = None
        self._failure = None

    def effect(self):
        """Takes effect in the store, whether or not anyone still waits."""
        self.effected = True
        try:
            self._result = self._apply()
        except error.PlatformError as exc:
            self._failure = exc

    def deliver(self):
        """Answers with what the effect gave."""
        if self._failure is not None:
            self.answer.set_exception(self._failure)
        else:
            self.answer.set_result(self._result)

    def lose(self):
        """Loses the answer; a write may take effect before or after."""
        lost = error.PlatformAnswerLostError
        unanswered = error.PlatformUnavailableError
        self.answer.set_exception((lost if self._is_write else unanswered)())

    def refuse(self):
        """Answers that the store is unavailable; there is no effect."""
        self.effected = True
        self.answer.set_exception(error.PlatformUnavailableError())


class Gate:
    """All calls that are not done with."""

    def __init__(self):
        self.calls = []

    async def call(self, apply, is_write):
        """Waits for the test to answer."""
        pending = Call(apply, is_write)
        self.calls.append(pending)
        return await pending.answer

    def drop_done(self):
        """Forgets calls that have had both effect and answer."""
        self.calls = [
            call
            for call in self.calls
            if not (call.effected and call.answer.done())
        ]


class GatedTable:
    """Has the methods of `platform.table.Table`."""

    def __init__(self, gate, rows=None):
        self.rows = standin_table.Rows() if rows is None else rows
        self._gate = gate

    async def get(self, name, key):
        return await self._gate.call(lambda: self.rows.get(name, key), False)

    async def page(self, name, prefix, after, limit):
        return await self._gate.call(
            lambda: self.rows.scan(name, prefix, after, limit), False
        )

    async def transact(self, conditions, writes):
        return await self._gate.call(
            lambda: standin.transact(self.rows, conditions, writes), True
        )


class GatedObjects:
    """Has the methods of `platform.objects.Objects`."""

    def __init__(self, gate):
        self.objects = {}
        self._gate = gate

    async def get(self, key):
        return await self._gate.call(lambda: self.objects.get(key), False)

    async def put(self, key, data, create_only=False):
        await self._gate.call(lambda: self._put(key, data, create_only), True)

    def _put(self, key, data, create_only):
        if create_only and key in self.objects:
            raise error.ObjectExistsError(key)
        self.objects[key] = data


async def settle():
    """Runs every task as far as it gets without an answer."""
    for _ in range(EVENT_LOOP_PASSES):
        await asyncio.sleep(0)
