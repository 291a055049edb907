"""Configurations are fetched from one router at a time."""

from __future__ import annotations

import unittest
from unittest import mock

from quetzalsill.config import holder
from quetzalsill.wire import message
from quetzalsill_sidecar import config_fetcher
from tests.quetzalsill_sidecar import support


class FakeRouter:
    """Notes what it is asked."""

    def __init__(self):
        self.requests = []

    def put(self, msg):
        self.requests.append(msg)


class ConfigFetchTest(unittest.IsolatedAsyncioTestCase):
    """A sidecar that starts runs out of memory.

    Hundreds of routers link to it at once and name their revision. Were each
    asked for it, all documents would arrive together.
    """

    async def asyncSetUp(self):
        self.configuration = holder.Holder()
        self.fetcher = config_fetcher.ConfigFetcher(self.configuration)
        self.routers = [FakeRouter() for _ in range(3)]

    def request_counts(self):
        return [len(router.requests) for router in self.routers]

    def offer_all(self, revision):
        for router in self.routers:
            self.fetcher.offer(router, revision)

    async def test_one_of_many_is_asked_and_each_only_once(self):
        self.offer_all(2)
        self.offer_all(2)
        self.assertEqual(self.request_counts(), [1, 0, 0])
        self.configuration.install(support.configuration(), 2)
        self.fetcher.record_reply(self.routers[0])
        self.assertEqual(self.request_counts(), [1, 0, 0])
        self.offer_all(3)
        self.assertEqual(sum(self.request_counts()), 2)
        self.assertIn(message.ConfigFetch(2), self.routers[0].requests)

    async def test_the_next_is_asked_if_an_answer_is_no_use_or_a_link_ends(
        self,
    ):
        self.offer_all(2)
        self.fetcher.record_reply(self.routers[0])
        self.assertEqual(self.request_counts(), [1, 1, 0])
        self.fetcher.offer(self.routers[0], 2)
        self.fetcher.remove_source(self.routers[1])
        self.assertEqual(self.request_counts(), [1, 1, 1])

    async def test_the_next_is_asked_if_a_router_stays_silent(self):
        """An edit is not in force because one router is paused."""
        loop = mock.Mock()
        with mock.patch('asyncio.get_running_loop', return_value=loop):
            self.offer_all(2)
            (_, expire), _ = loop.call_later.call_args
            expire()
            self.assertEqual(self.request_counts(), [1, 1, 0])


if __name__ == '__main__':
    unittest.main()
