"""Tests of `quetzalsill.config.follower`."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.config import document, follower, holder, model, revision
from quetzalsill.platform import error

LONG_INTERVAL_S = 3600.0
TIMEOUT_S = 10.0


def _render(headroom):
    policies = model.Policies(headroom=headroom)
    return document.render(model.Configuration(policies=policies))


class _Store:
    """Fake with the read methods of `ConfigStore`."""

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
    """The follower with an in-process fake of the store."""

    def setUp(self):
        self.store = _Store()
        self.holder = holder.Holder()

    def start_follower(self, interval_s):
        config_follower = follower.Follower(self.store, self.holder, interval_s)
        task = asyncio.create_task(config_follower.run())
        self.addAsyncCleanup(asyncio.wait, [task])
        self.addCleanup(task.cancel)
        return config_follower

    async def wait_for_revision(self, number):
        async with asyncio.timeout(TIMEOUT_S):
            await self.holder.wait_for(number)

    async def test_installs_what_is_accepted_later(self):
        self.start_follower(0.01)
        await self.wait_for_revision(1)
        self.store.documents.append(_render(0.2))
        await self.wait_for_revision(2)
        self.assertEqual(self.holder.current.policies.headroom, 0.2)

    async def test_hint_triggers_a_poll(self):
        config_follower = self.start_follower(LONG_INTERVAL_S)
        await self.wait_for_revision(1)
        self.store.documents.append(_render(0.2))
        config_follower.hint(2)
        await self.wait_for_revision(2)

    async def test_continues_during_an_outage(self):
        """The store fails after revision 1 and recovers with revision 2.

        Revision 1 must stay active during the outage, and revision 2 must be
        installed after the recovery without intervention.
        """
        self.start_follower(0.01)
        await self.wait_for_revision(1)
        self.store.down = True
        self.store.documents.append(_render(0.2))
        polls = self.store.heads
        async with asyncio.timeout(TIMEOUT_S):
            while self.store.heads < polls + 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertEqual(self.holder.revision, 1)
        self.store.down = False
        await self.wait_for_revision(2)

    async def test_ignores_an_older_revision(self):
        """A lagging replica of the store returns an old head.

        A router that installed it would serve requests with an outdated
        configuration.
        """
        self.holder.install(_render(0.3), 5)
        config_follower = follower.Follower(
            self.store, self.holder, LONG_INTERVAL_S
        )
        self.assertFalse(await config_follower.refresh())
        self.assertEqual(self.holder.revision, 5)

    async def test_keeps_what_it_has_when_a_document_is_invalid(self):
        self.start_follower(0.01)
        await self.wait_for_revision(1)
        self.store.documents.append(b'{"unheard_of": 1}')
        polls = self.store.heads
        async with asyncio.timeout(TIMEOUT_S):
            while self.store.heads < polls + 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertEqual(self.holder.revision, 1)
        self.store.documents.append(_render(0.4))
        await self.wait_for_revision(3)


if __name__ == '__main__':
    unittest.main()
