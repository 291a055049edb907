"""Generations wait for memory, and in which order."""

from __future__ import annotations

import asyncio
import types
import unittest

from quetzalsill_gateway import routing_table, upstream
from quetzalsill_gateway.balance import admission, book
from quetzalsill_gateway.http import message

BOUND_S = 10.0
ENGINE = routing_table.Engine(24, 10_000, 18432.0, 2700.0)
SERVICE = routing_table.Service('s', engine=ENGINE)


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """One engine that is full."""

    async def asyncSetUp(self):
        self.upstreams = upstream.Upstreams()
        self.engine = upstream.Upstream('u-1', 's', ('10.0.0.1', 1), 'z')
        self.upstreams.put(self.engine, 1)
        self.pages = book.Book()
        self.page = self.pages.page(self.engine)
        self.admission = admission.Admission(self.upstreams, self.pages, 'z')
        self.served = []
        self.full = book.Reservation(0, 10_000, False)
        self.page.reservations.add(self.full)

    def ask(self, name, priority=1, objective_s=60.0, age_s=0.0):
        """Starts a request that needs half of the engine."""
        now = asyncio.get_running_loop().time()
        route = routing_table.Route(
            'r',
            b'h',
            b'/',
            routing_table.Kind.STREAM,
            (),
            objective_s=objective_s,
        )
        req = types.SimpleNamespace(
            service=SERVICE,
            priority=priority,
            route=route,
            request=message.Request(b'POST', b'/', [], b'', now - age_s),
            deadline_s=now + 60,
            id_text=name,
        )
        task = asyncio.create_task(self.serve(name, req))
        self.addCleanup(task.cancel)
        return task

    async def serve(self, name, req):
        found = await self.admission.engine(req, ENGINE, 5000, frozenset())
        if found is not None:
            self.served.append(name)
            self.page.reservations.add(book.Reservation(0, 5000, False))
        return found

    async def until_served(self, count):
        async with asyncio.timeout(BOUND_S):
            while len(self.served) < count:  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def test_it_waits_until_there_is_room(self):
        """A crowd comes; the engine takes all, and pushes the newest off.

        Held back, each begins when it can stay.
        """
        waiting = self.ask('a')
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        self.page.reservations.discard(self.full)
        self.assertIs(await waiting, self.engine)

    async def test_the_first_in_time_comes_first(self):
        self.ask('late', age_s=100.0)
        await asyncio.sleep(0)
        self.ask('a')
        await asyncio.sleep(0)
        self.ask('b')
        await asyncio.sleep(0.1)
        self.page.reservations.discard(self.full)
        await self.until_served(2)
        await asyncio.sleep(0.1)
        self.assertEqual(self.served, ['a', 'b'])

    async def test_urgent_requests_do_not_wait(self):
        self.assertIs(await self.ask('u', priority=0), self.engine)

    async def test_none_without_an_engine(self):
        self.engine.leaving = True
        self.assertIsNone(await self.ask('a'))

    async def test_a_caller_that_leaves_leaves_the_queue(self):
        gone = self.ask('gone')
        await asyncio.sleep(0.05)
        gone.cancel()
        self.ask('a')
        await asyncio.sleep(0.05)
        self.page.reservations.discard(self.full)
        await self.until_served(1)
        self.assertEqual(self.served, ['a'])


if __name__ == '__main__':
    unittest.main()
