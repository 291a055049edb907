"""Fakes of table and object store whose calls are controlled by a test."""

from __future__ import annotations

import asyncio

from quetzalsill.platform import error
from quetzalsill_dev.platform_standin import table as standin_table
from tests.quetzalsill.platform import standin

__all__ = ['Call', 'Gate', 'GatedObjects', 'GatedTable', 'settle']

EVENT_LOOP_PASSES = 8


class Call:
    """A call whose effect and response are separate events."""

    def __init__(self, apply, is_write):
        self.effected = False
        self.answer = asyncio.get_running_loop().create_future()
        self._apply = apply
        self._is_write = is_write
        self._result = None
        self._failure = None

    def effect(self):
        """Applies the call to the store, even if its caller has given up."""
        self.effected = True
        try:
            self._result = self._apply()
        except error.PlatformError as exc:
            self._failure = exc

    def deliver(self):
        """Returns the result of the effect to the caller."""
        if self._failure is not None:
            self.answer.set_exception(self._failure)
        else:
            self.answer.set_result(self._result)

    def lose(self):
        """Loses the response; a write may take effect before or after."""
        lost = error.PlatformAnswerLostError
        unanswered = error.PlatformUnavailableError
        self.answer.set_exception((lost if self._is_write else unanswered)())

    def refuse(self):
        """Reports the store as unavailable; the call has no effect."""
        self.effected = True
        self.answer.set_exception(error.PlatformUnavailableError())


class Gate:
    """Queue of the calls whose effect or response is pending."""

    def __init__(self):
        self.calls = []

    async def call(self, apply, is_write):
        """Enqueues a call and waits until the test answers it."""
        pending = Call(apply, is_write)
        self.calls.append(pending)
        return await pending.answer

    def drop_done(self):
        """Removes calls that have had both their effect and their response."""
        self.calls = [
            call
            for call in self.calls
            if not (call.effected and call.answer.done())
        ]


class GatedTable:
    """Fake with the methods of `platform.table.Table`."""

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
    """Fake with the methods of `platform.objects.Objects`."""

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
    """Runs all tasks until they wait for a response."""
    for _ in range(EVENT_LOOP_PASSES):
        await asyncio.sleep(0)
