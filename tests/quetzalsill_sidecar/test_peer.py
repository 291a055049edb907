"""Request bodies from the router's real end."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.config import document, holder
from quetzalsill.settings import section
from quetzalsill.wire import message
from quetzalsill_dev import service_standin
from quetzalsill_router.peer import peers
from tests.quetzalsill_sidecar import support

CREDIT = 8
UPSTREAM = 'ikeja-planner-1'


async def read(attempt):
    """Takes the whole answer, granting credit as it goes."""
    items: list[bytes] = []
    while True:
        msg = await attempt.receive()
        if isinstance(msg, message.Chunk):
            items += msg.items
            attempt.grant(len(items), len(msg.items))
        elif isinstance(msg, message.Finished | message.Failed):
            attempt.close()
            return items, msg


class PeerTest(unittest.IsolatedAsyncioTestCase):
    """A router's peer beside one sidecar."""

    async def link(self, port: int):
        """Links a peer to a sidecar beside an app server."""
        cfg = document.parse(support.configuration(), 1)
        cfg.upstreams[UPSTREAM] = support.upstream(
            kind='app', sidecar=f'127.0.0.1:{port}', services=[support.MODEL]
        )
        configuration = holder.Holder()
        configuration.install(document.render(cfg), 1)
        router_peers = peers.Peers(
            section.Node('entry-1', 'ikeja-hall'),
            7,
            support.CREDENTIAL,
            configuration,
            section.LinkTiming(),
        )
        router_peers.reconcile(configuration.current, None)
        self.addAsyncCleanup(router_peers.stop)
        peer = router_peers.get(UPSTREAM)
        await support.wait_until(lambda: peer.linked and peer.status.healthy)
        return peer

    async def test_body_is_paced_to_its_end(self):
        """An upload stands still, or fills the sidecar's memory."""
        service = service_standin.Service()
        url = await self.enterAsyncContext(
            support.serve_app(service_standin.make_app(service))
        )
        sidecar = await self.enterAsyncContext(support.sidecar(url, 'app'))
        peer = await self.link(sidecar.port)
        attempt = peer.open(
            support.make_dispatch(
                peer.incarnation,
                kind='call',
                path='/echo',
                payload=b'first',
                body_open=True,
                credit=CREDIT,
            )
        )
        reading = asyncio.create_task(read(attempt))
        rest = b'proof' * 200_000
        async with asyncio.timeout(support.TIMEOUT_S):
            await attempt.send_body(rest, True)
            items, terminal = await reading
        self.assertIsInstance(terminal, message.Finished, terminal)
        self.assertEqual(b''.join(items), b'first' + rest)


if __name__ == '__main__':
    unittest.main()
