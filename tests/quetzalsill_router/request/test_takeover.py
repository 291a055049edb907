"""Tests of accepted work that another router has taken over."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill_router.request import active, serve, takeover
from tests.quetzalsill_router.request import fake

BOUND_S = 20.0


class SupersededTest(unittest.IsolatedAsyncioTestCase):
    """A router whose accepted work another one has taken over."""

    async def test_work_that_was_taken_over_is_not_pending_here(self):
        """A caller asks the first router for its plan, and asks for an hour.

        The plan's sidecar sends on to the router that took the work over.
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
        # Closed, it would be cancelled for the router that has it now.
        self.assertFalse(attempt.closed.is_set())
        self.assertTrue(attempt.detached)

    async def test_an_answer_that_is_here_is_delivered(self):
        """A caller gets "unknown" with the whole answer at its router."""
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
