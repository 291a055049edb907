"""Tests of the host list and of configuration from sidecars."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from quetzalsill.config import document
from quetzalsill.config import holder as config_holder
from quetzalsill.platform import error as platform_error
from quetzalsill.settings import section
from quetzalsill.wire import error as wire_error
from quetzalsill.wire import listen, message
from quetzalsill_router import membership
from quetzalsill_router.peer import error as peer_error
from tests.quetzalsill_router.request import fake

TIMEOUT_S = 20.0


class Seed:
    """A sidecar that returns its configuration, or does not respond."""

    def __init__(self, credential, reply):
        self._reply = reply
        self._server = listen.LinkServer(
            section.Listen(),
            credential,
            lambda _hello: message.Welcome(1, 's', 1, 's', 'z', 0, False),
            self._serve,
            section.LinkTiming(),
        )

    async def __aenter__(self):
        await self._server.start()
        return f'127.0.0.1:{self._server.port}'

    async def __aexit__(self, *_exc):
        await self._server.stop()

    async def _serve(self, link):
        with contextlib.suppress(wire_error.WireError):
            async for msg in link.messages():
                if isinstance(msg, message.ConfigFetch) and self._reply:
                    await link.send(self._reply)


class SeedsTest(unittest.IsolatedAsyncioTestCase):
    """Start of a router while the store is unavailable."""

    async def test_newest_reply_is_used(self):
        """A router that restarts while the store is down uses the newest reply.

        One seed is unreachable, one refuses the credential, and two have
        configurations. Using the older one would revert an accepted edit.
        """
        settings = fake.make_context().settings
        credential = settings.credential
        old = message.ConfigReply(3, b'old')
        new = message.ConfigReply(7, b'new')
        async with (
            asyncio.timeout(TIMEOUT_S),
            Seed(credential, old) as one,
            Seed(credential, new) as two,
            Seed('another-credential-of-16', new) as three,
        ):
            settings.seeds = [one, '127.0.0.1:1', two, three]
            reply = await membership.fetch_newest_from_seeds(settings, 1, None)
            self.assertEqual((reply.revision, reply.document), (7, b'new'))
            settings.seeds = ['127.0.0.1:1', three]
            self.assertIsNone(
                await membership.fetch_newest_from_seeds(settings, 1, None)
            )


class PullerTest(unittest.IsolatedAsyncioTestCase):
    """Fetches of a newer configuration from a peer."""

    async def test_installs_newer_and_ignores_invalid(self):
        holder = config_holder.Holder()
        puller = membership.ConfigPuller(holder)
        fitting = document.render(fake.configuration())
        for reply, revision in (
            (peer_error.ConfigFetchError('link ended'), 0),
            (message.ConfigReply(4, b'{"profiles": 7}'), 0),
            (message.ConfigReply(4, fitting), 4),
            (message.ConfigReply(2, fitting), 4),
        ):
            peer = Peer(reply)
            puller.on_newer_revision(4, peer)
            puller.on_newer_revision(4, peer)
            await peer.fetched.wait()
            await asyncio.sleep(0)
            self.assertEqual(holder.revision, revision)
            self.assertEqual(peer.count, 1)
            await asyncio.sleep(0)


class Peer:
    """A peer that replies to fetches and counts them."""

    upstream = 'one'

    def __init__(self, reply):
        self._reply = reply
        self.fetched = asyncio.Event()
        self.count = 0

    async def fetch_config(self, _revision):
        self.count += 1
        self.fetched.set()
        if isinstance(self._reply, Exception):
            raise self._reply
        return self._reply


class HostsTest(unittest.IsolatedAsyncioTestCase):
    """Polling of the host list, and its outages."""

    async def test_outage_of_the_list_changes_nothing(self):
        hosts, peers = Hosts(), Peers()
        task = asyncio.create_task(
            membership.poll_hosts(hosts, config_holder.Holder(), peers, 0.0)
        )
        async with asyncio.timeout(TIMEOUT_S):
            await peers.reconciled_three_times.wait()
        task.cancel()
        self.assertEqual(peers.given[:3], [['a'], None, ['b']])

    async def test_long_list_is_read_rarely(self):
        for hosts, interval_s in {0: 2.0, 16: 2.0, 1000: 112.0}.items():
            actual = membership.poll_interval_s(2.0, hosts)
            self.assertEqual(actual, interval_s)


class Hosts:
    """A host list whose second read fails."""

    def __init__(self):
        self._answers = [['a'], None]

    async def fetch(self):
        reply = self._answers.pop(0) if self._answers else ['b']
        if reply is None:
            raise platform_error.PlatformUnavailableError('down')
        return reply


class Peers:
    """Records the host lists it is given."""

    def __init__(self):
        self.given = []
        self.reconciled_three_times = asyncio.Event()

    def reconcile(self, _cfg, hosts):
        self.given.append(hosts)
        if len(self.given) == 3:
            self.reconciled_three_times.set()
