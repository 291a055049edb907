"""Tests of `quetzalsill.config.follower`."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.config import document, follower, holder, model, revision
from quetzalsill.platform import error

LONG_S = 3600.0
BOUND_S = 10.0


def _render(headroom):
    policies = model.Policies(headroom=headroom)
    return document.render(model.Configuration(policies=policies))


class _Store:
    """Has the reading methods of `ConfigStore`."""

    def __init__(self):
        self.documents = [_render(0.1)]
        self.down = False
        self.heads = 0

    async def head(self):
        self.heads += 1
        if self.down:
            raise error.PlatformUnavailableError('down')
        return revision.Head(len(self.documents))

    async def load(self, number):
        return self.documents[number - 1]


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """The follower over a store that answers in the same process."""

    def setUp(self):
        self.store = _Store()
        self.holder = holder.Holder()

    def follow(self, interval_s):
        followed = follower.Follower(self.store, self.holder, interval_s)
        task = asyncio.create_task(followed.run())
        self.addAsyncCleanup(asyncio.wait, [task])
        self.addCleanup(task.cancel)
        return followed

    async def reach(self, number):
        async with asyncio.timeout(BOUND_S):
            await self.holder.wait_for(number)

    async def test_installs_what_is_accepted_later(self):
        self.follow(0.01)
        await self.reach(1)
        self.store.documents.append(_render(0.2))
        await self.reach(2)
        self.assertEqual(self.holder.current.policies.headroom, 0.2)

    async def test_hint_wakes_at_once(self):
        followed = self.follow(LONG_S)
        await self.reach(1)
        self.store.documents.append(_render(0.2))
        followed.hint(2)
        await self.reach(2)

    async def test_goes_on_through_an_outage(self):
        """The store falls after revision 1 and comes back with revision 2.

        Requests are served under revision 1 throughout, and revision 2 is in
        force soon after the store is back, without anyone's doing.
        """
        self.follow(0.01)
        await self.reach(1)
        self.store.down = True
        self.store.documents.append(_render(0.2))
        polls = self.store.heads
        async with asyncio.timeout(BOUND_S):
            while self.store.heads < polls + 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertEqual(self.holder.revision, 1)
        self.store.down = False
        await self.reach(2)

    async def test_never_steps_down(self):
        """A lagging replica of the store answers with an old head.

        A router that took it would serve requests under a configuration
        that was replaced before.
        """
        self.holder.install(_render(0.3), 5)
        followed = follower.Follower(self.store, self.holder, LONG_S)
        self.assertFalse(await followed.refresh())
        self.assertEqual(self.holder.revision, 5)

    async def test_keeps_what_it_has_when_a_document_is_invalid(self):
        self.follow(0.01)
        await self.reach(1)
        self.store.documents.append(b'{"unheard_of": 1}')
        polls = self.store.heads
        async with asyncio.timeout(BOUND_S):
            while self.store.heads < polls + 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertEqual(self.holder.revision, 1)
        self.store.documents.append(_render(0.4))
        await self.reach(3)


if __name__ == '__main__':
    unittest.main()
