"""Tests of `quetzalsill.platform.hosts`."""

from __future__ import annotations

import unittest

from quetzalsill.platform import error, hosts
from quetzalsill_dev.platform_standin import host
from tests.quetzalsill.platform import standin

HOST = {
    'name': 'planner-1',
    'kind': 'upstream',
    'address': '127.0.0.1:7201',
    'availability_zone': 'ikeja-hall',
    'state': 'live',
}


class HostListTest(unittest.IsolatedAsyncioTestCase):
    """The client with the stand-in; its lag, with a fake clock."""

    async def asyncSetUp(self):
        self.standin = await standin.start(self, 'hosts')
        opened = await standin.open_clients(self, self.standin.url, 0.5)
        self.list = opened.hosts

    async def test_fetch(self):
        self.assertEqual(await self.list.fetch(), [])
        self.standin.board.set([HOST], 0.0)
        [listed] = await self.list.fetch()
        self.assertEqual(listed.kind, hosts.HostKind.UPSTREAM)
        self.assertEqual(listed.state, hosts.HostState.LIVE)
        self.assertEqual(listed.address, '127.0.0.1:7201')

    async def test_malformed(self):
        for malformed in ({'name': 'x'}, HOST | {'state': 'fine'}, 'text'):
            with self.subTest(malformed):
                self.standin.board.set([malformed], 0.0)
                with self.assertRaises(error.PlatformProtocolError):
                    await self.list.fetch()

    def test_lag_of_the_stand_in(self):
        now = 0.0
        board = host.HostBoard(lambda: now)
        board.set(['old'], 0.0)
        board.set(['new'], 30.0)
        now = 29.0
        self.assertEqual(board.seen(), ['old'])
        now = 30.0
        self.assertEqual(board.seen(), ['new'])


if __name__ == '__main__':
    unittest.main()
