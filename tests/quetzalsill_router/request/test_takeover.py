"""Tests of requests that another router has taken over."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill_router.request import active, serve, takeover
from tests.quetzalsill_router.request import fake

BOUND_S = 20.0


class SupersededTest(unittest.IsolatedAsyncioTestCase):
    """Requests at a router whose journal another router took over."""

    async def test_superseded_work_is_no_longer_pending(self):
        """Superseded work is reported as pending until its deadline.

        The sidecar now sends the answer to the router that took the work
        over, so the first router never receives it.
        """
        peer = fake.Peer('one', (fake.started(),))
        ctx = fake.make_context(peer)
        entry = fake.make_entry()
        work = fake.make_work(ctx, entry=entry, request='entry-1-1-0')
        running = serve.start_detached(ctx, work)
        await peer.opened.wait()
        (attempt,) = peer.attempts
        takeover.release_superseded(ctx)
        await asyncio.sleep(0.05)
        self.assertIs(ctx.active.get(work.request), running)
        ctx.journal.owns = lambda _: False
        takeover.release_superseded(ctx)
        async with asyncio.timeout(BOUND_S):
            await running.task
        self.assertIsNone(ctx.active.get(work.request))
        # Closing it would cancel the run for the router that has it now.
        self.assertFalse(attempt.closed.is_set())
        self.assertTrue(attempt.detached)

    async def test_complete_answer_is_still_delivered(self):
        """A caller gets "unknown" although its router has the whole answer."""
        ctx = fake.make_context(fake.Peer('one'))
        work = fake.make_work(ctx, entry=fake.make_entry())
        running = active.ActiveRequest(work, task=mock.Mock())
        ctx.active.add(running)
        ctx.journal.owns = lambda _: False
        running.has_answer = True
        takeover.release_superseded(ctx)
        running.task.cancel.assert_not_called()


if __name__ == '__main__':
    unittest.main()
