"""Tests of the router's peers with the real sidecar and an engine stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import json
import unittest

from quetzalsill.config import holder, model
from quetzalsill.settings import section
from quetzalsill.wire import message
from quetzalsill_dev import relay
from quetzalsill_router.peer import peers
from tests.quetzalsill_sidecar import support

BOUND_S = 60.0
ATTEMPTS = 16
TOKENS = 60
TIMING = section.LinkTiming(idle_s=0.1, silence_s=0.6, connect_s=1.0)


class WithSidecarTest(unittest.IsolatedAsyncioTestCase):
    """Many concurrent answers while their link and their sidecar fail."""

    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.stack = stack
        self.engine, self.url = await stack.enter_async_context(
            support.engine()
        )
        first = await self.start_sidecar()
        self.relay = relay.Relay('127.0.0.1', first.port)
        await self.relay.start()
        stack.push_async_callback(self.relay.stop)
        self.peers = peers.Peers(
            section.Node('entry-1', 'ikeja-hall'),
            7,
            support.CREDENTIAL,
            holder.Holder(),
            TIMING,
        )
        stack.push_async_callback(self.peers.stop)
        spec = model.Upstream(
            'model',
            f'127.0.0.1:{self.relay.port}',
            'ikeja-hall',
            models=[support.MODEL],
        )
        cfg = model.Configuration(upstreams={'ikeja-planner-1': spec})
        self.peers.reconcile(cfg, None)
        self.count = 0
        self.count_changed = asyncio.Condition()

    async def start_sidecar(self):
        self.sidecar = await self.stack.enter_async_context(
            # Queued attempts must also survive the links that stop responding.
            support.sidecar(self.url, queued_orphan_s=BOUND_S)
        )
        return self.sidecar

    async def run_attempt(self):
        """Reads one complete answer and returns its events."""
        peer = self.peers.candidates(support.MODEL)[0]
        dispatch = support.make_dispatch(peer.incarnation, TOKENS, credit=8)
        attempt = peer.open(dispatch)
        items = []
        while True:
            msg = await attempt.receive()
            if isinstance(msg, message.Chunk):
                items += msg.items
                end = msg.seq + len(msg.items)
                attempt.grant(end, len(msg.items))
                await self.count_items(len(msg.items))
            elif not isinstance(msg, message.Started):
                self.assertIsInstance(msg, message.Finished, msg)
                attempt.close()
                return [json.loads(item) for item in items]

    async def count_items(self, count):
        async with self.count_changed:
            self.count += count
            self.count_changed.notify_all()

    async def wait_for_fraction(self, fraction):
        """Waits until that fraction of all tokens was received."""
        goal = fraction * ATTEMPTS * TOKENS
        async with self.count_changed:
            await self.count_changed.wait_for(lambda: self.count >= goal)

    async def inject_faults(self):
        """Injects each fault twice: cut, one-way silence, sidecar restart."""
        faults = (
            self.relay.cut,
            lambda: self.relay.silence(down=False),
            lambda: self.relay.silence(up=False),
            self.replace_sidecar,
        ) * 2
        for number, fault in enumerate(faults, start=1):
            await self.wait_for_fraction(number / (len(faults) + 1))
            result = fault()
            if result is not None:
                await result

    async def replace_sidecar(self):
        """Replaces the sidecar by a new incarnation."""
        old = self.sidecar
        new = await self.start_sidecar()
        self.relay.target = ('127.0.0.1', new.port)
        self.relay.cut()
        await old.stop()

    async def test_each_answer_is_whole_and_of_one_generation(self):
        """Answers have missing or repeated items, or mix two generations.

        While many answers stream over one link, it is cut and made
        unresponsive in each direction, and the sidecar is replaced midway.
        """
        async with asyncio.timeout(BOUND_S):
            while not self.peers.candidates(support.MODEL):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            async with asyncio.TaskGroup() as group:
                group.create_task(self.inject_faults())
                answers = [
                    group.create_task(self.run_attempt())
                    for _ in range(ATTEMPTS)
                ]
        for answer in answers:
            events = answer.result()
            indexes = [event['index'] for event in events]
            self.assertEqual(indexes, [*range(len(indexes))])
            self.assertGreaterEqual(len(indexes), TOKENS)
            self.assertEqual(len({e['generation'] for e in events}), 1)
        self.assertEqual(len(self.engine.audit()['runs']), ATTEMPTS)


if __name__ == '__main__':
    unittest.main()
