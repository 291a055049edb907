"""A source whose feeds are behind its lists, in one epoch."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill_dev.simulation import clock, watchers
from quetzalsill_gateway import event, source
from quetzalsill_gateway.fleet import revision, upstream
from quetzalsill_gateway.watch import configuration, epoch, membership

FOR_S = 15.0
# As of a source that is away: every two seconds, three quarters of that at the
# least, and here two calls each time.
MOST_CALLS = 2 * (1 + FOR_S / (0.75 * 2.0))


class LowerVersionsTest(unittest.TestCase):
    """One gateway before a source that lists 100 and tells on from 50.

    Lists and feeds come from two copies of a store. Each feed is answered at
    once, what is known is dropped for it, and all is listed again: without a
    pause there is a call at the source all the time.
    """

    def setUp(self):
        quiet = mock.patch.object(event, 'note')
        quiet.start()
        self.addCleanup(quiet.stop)
        self.calls = 0

    async def ask(self, after, wait_s):
        self.calls += 1
        await asyncio.sleep(0.004)
        version = 100 if after is None else 50
        return source.Found([], revision.Revision(1, version), after is None)

    def play(self, follower):
        async def work():
            task = asyncio.create_task(follower().run())
            await asyncio.sleep(FOR_S)
            task.cancel()

        clock.run(work)
        self.assertLess(self.calls, MOST_CALLS)

    def test_membership(self):
        self.play(
            lambda: membership.Membership(
                self.ask,
                upstream.Upstreams(),
                source.Health(),
                2.0,
                epochs=epoch.Epochs(),
            )
        )

    def test_configuration(self):
        self.play(
            lambda: configuration.Configuration(
                self.ask,
                watchers._read,
                source.Holder(),
                upstream.Upstreams().zones,
                source.Health(),
                lambda: 1,
                2.0,
                epochs=epoch.Epochs(),
            )
        )


if __name__ == '__main__':
    unittest.main()
