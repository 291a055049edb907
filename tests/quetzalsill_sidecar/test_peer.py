"""The sidecar against the router's real end, over links that fail."""

from __future__ import annotations

import asyncio
import contextlib
import json
import unittest

from quetzalsill.config import document, holder
from quetzalsill.settings import section
from quetzalsill.wire import message
from quetzalsill_dev import relay as relay_lib
from quetzalsill_dev import service_standin
from quetzalsill_router.peer import peers
from tests.quetzalsill_sidecar import support

CREDIT = 8
UPSTREAM = 'ikeja-planner-1'


async def read(attempt, on_item=lambda count: None):
    """Takes the whole answer, granting credit as it goes."""
    items: list[bytes] = []
    async with asyncio.timeout(3 * support.WAIT_S):
        while True:
            msg = await attempt.receive()
            if isinstance(msg, message.Chunk):
                items += msg.items
                attempt.grant(len(items), len(msg.items))
                on_item(len(items))
            elif isinstance(
                msg, message.Finished | message.Failed | message.Refused
            ):
                attempt.close()
                return items, msg


class PeerTest(unittest.IsolatedAsyncioTestCase):
    """A router's peer, a relay, and one sidecar after another."""

    async def asyncSetUp(self):
        self.relay = relay_lib.Relay('127.0.0.1', 1)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.stop)

    async def link(self, kind: str = 'model'):
        """Links a peer through the relay."""
        cfg = document.parse(support.configuration(), 1)
        cfg.upstreams[UPSTREAM] = support.upstream(
            kind=kind,
            sidecar=f'127.0.0.1:{self.relay.port}',
            models=[support.MODEL],
        )
        held = holder.Holder()
        held.install(document.render(cfg), 1)
        made = peers.Peers(
            section.Node('entry-1', 'ikeja-hall'),
            7,
            support.CREDENTIAL,
            held,
            section.LinkTiming(idle_s=0.1, silence_s=0.6),
        )
        made.reconcile(held.current, None)
        self.addAsyncCleanup(made.stop)
        peer = made.get(UPSTREAM)
        await support.until(lambda: peer.linked and peer.status.healthy)
        if kind == 'model':
            await support.until(lambda: peer.status.engine)
        return peer

    @contextlib.asynccontextmanager
    async def sidecar(self, url: str, **kwargs: str):
        async with support.sidecar(url, **kwargs) as sidecar:
            self.relay._target = ('127.0.0.1', sidecar.port)
            yield sidecar

    async def test_answer_survives_cuts_silence_and_a_new_sidecar(self):
        """A clerk's plan breaks off, repeats itself or is begun again.

        Its link is cut, falls silent, and then its sidecar is replaced, all
        in mid-answer.
        """
        async with contextlib.AsyncExitStack() as old:
            engine, url = await self.enterAsyncContext(
                support.engine(costs=support.costs(0.005))
            )
            await old.enter_async_context(self.sidecar(url))
            peer = await self.link()
            attempt = peer.open(
                support.make_dispatch(
                    peer.incarnation, tokens=300, credit=CREDIT
                )
            )
            events = {
                20: self.relay.cut,
                40: self.relay.silence,
                60: lambda: replace.set(),
            }
            replace = asyncio.Event()

            def on_item(count: int) -> None:
                due = [at for at in events if at <= count]
                for at in due:
                    events.pop(at)()

            reading = asyncio.create_task(read(attempt, on_item))
            await replace.wait()
            await old.aclose()
            await self.enterAsyncContext(self.sidecar(url))
            self.relay.cut()
            items, terminal = await reading
        self.assertIsInstance(terminal, message.Finished, terminal)
        indexes = [json.loads(item)['index'] for item in items]
        self.assertEqual(indexes, list(range(300)))
        self.assertEqual(len(engine.audit()['runs']), 1)

    async def test_body_is_paced_to_its_end(self):
        """An upload stands still, or fills the sidecar's memory."""
        service = service_standin.Service()
        url = await self.enterAsyncContext(
            support.serve_app(service_standin.make_app(service))
        )
        await self.enterAsyncContext(self.sidecar(url, kind='app'))
        peer = await self.link(kind='app')
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
        proof = b'proof' * 200_000
        async with asyncio.timeout(support.WAIT_S):
            await attempt.send_body(proof, True)
        items, terminal = await reading
        self.assertIsInstance(terminal, message.Finished, terminal)
        self.assertEqual(b''.join(items), b'first' + proof)


if __name__ == '__main__':
    unittest.main()
