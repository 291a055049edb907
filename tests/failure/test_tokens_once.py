"""Each token once, in order and from one generation, whatever fails."""

from __future__ import annotations

import asyncio
import re
import socket
import unittest

import httpx2

from quetzalsill_dev import board, caller
from tests.failure import fixture, relayed

LINK = {'idle_s': 0.1, 'silence_s': 0.5}
LONG = 800
FAULTS = (
    ('cut', lambda middle: middle.cut()),
    ('no word from the sidecar', lambda middle: middle.silence(up=False)),
    ('no word from the router', lambda middle: middle.silence(down=False)),
    ('silent both ways', lambda middle: middle.silence()),
)
SMALL_WINDOW = [(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)]


def _layout():
    layout = board.board_layout(engines=2, services=0, routers=1)
    for engine in layout.engines:
        engine.token_s = 0.004
    return layout


class TokensOnceTest(relayed.RelayedTestCase):
    """Two engines with their sidecars behind relays, and one router."""

    LAYOUT = _layout()
    CHANGES = {
        'sidecar': {'link': LINK},
        'router': {'links': LINK},
    }

    def links(self):
        """Links dialled so far."""
        return sum(middle.accepted for middle in self.relays.values())

    @fixture.on_cluster
    async def test_link_fails_twice_in_mid_answer(self):
        """A clerk reads a plan with a hole, or with lines twice.

        The link between router and sidecar breaks or falls silent, one way
        or both, while answers come, and its successor does so too.
        """
        for name, fail in FAULTS:
            with self.subTest(name):
                asked = [self.ask(LONG) for _ in range(4)]
                answers = [answer for answer, _ in asked]
                for _ in range(2):
                    links = self.links()
                    have = max(len(answer.texts) for answer in answers)
                    await self.until_tokens(have + 10, *answers)
                    self.assertLess(max(len(a.texts) for a in answers), LONG)
                    for middle in self.relays.values():
                        fail(middle)
                    await self.until(lambda n=links: self.links() >= n + 2)
                for answer, task in asked:
                    await task
                    self.assert_whole(answer, LONG)
        runs = await self.new_runs()
        self.assertEqual(len(runs), 4 * len(FAULTS))

    @fixture.on_cluster
    async def test_sidecar_is_killed_in_mid_answer(self):
        """A clerk's plan stops, or begins anew in the middle.

        The sidecar is killed twice in mid-answer and started again at its
        port; the engine runs on, and its one generation is taken up.
        """
        answer, task = self.ask(LONG)
        for _ in range(2):
            await self.until_tokens(len(answer.texts) + 10, answer)
            await self.restart_sidecar(await self.running_engine())
        await task
        self.assert_whole(answer, LONG)
        self.assertEqual(len(await self.new_runs()), 1)

    @fixture.on_cluster
    async def test_engine_is_killed_before_the_first_token(self):
        """A handset waits for its deadline, or gets two answers' tokens.

        The engine dies with the request taken and nothing generated; the
        work may be repeated, and the new engine's answer comes whole.
        """
        for process in self.cluster.upstreams.values():
            await self.cluster.switch(process, stall=True)
        answer, task = self.ask(50)
        await self.until(self.new_runs)
        stalled = await self.running_engine()
        for name in self.engines:
            if name != stalled:
                process = self.cluster.upstreams[name]
                await self.cluster.switch(process, stall=False)
        await self.restart_engine(stalled)
        await task
        self.assert_whole(answer, 50)

    @fixture.on_cluster
    async def test_engine_is_killed_after_the_tenth_token(self):
        """A handset's answer goes on with another generation's tokens.

        The engines die after both callers' tenth token. What was delivered
        can't be taken back, so the streamed answer ends in a typed failure;
        the patient one, of which nothing was, comes whole from one
        generation.
        """
        streamed, streaming = self.ask(LONG)
        whole, holding = self.ask(LONG, profile='patient')

        async def both_run():
            runs = await self.new_runs()
            return [run['tokens'] > 10 for run in runs] == [True, True]

        await self.until(both_run)
        await self.until_tokens(10, streamed)
        for name in self.engines:
            await self.restart_engine(name)
        await asyncio.gather(streaming, holding)
        (name,) = streamed.generations
        count = len(streamed.texts)
        self.assertEqual(
            streamed.texts, [f'{name}.{index} ' for index in range(count)]
        )
        self.assertLess(count, LONG)
        self.assertIs(streamed.error['error']['not_run'], False)
        self.assert_whole(whole, LONG)
        self.assertNotEqual(whole.generations, streamed.generations)

    @fixture.on_cluster
    async def test_slow_reader_beside_a_fast_one(self):
        """Every handset waits for one clerk's stalled browser.

        One caller stops reading after its first line, with an answer too
        long for the buffers on the way; others read theirs to the end
        meanwhile, over the same link, and the slow one gets all of its own.
        """
        transport = httpx2.AsyncHTTPTransport(socket_options=SMALL_WINDOW)
        token = board.TOKENS['retailers']
        async with httpx2.AsyncClient(
            base_url=self.url(),
            transport=transport,
            timeout=caller.TIMEOUT_S,
            headers={'authorization': f'Bearer {token}'},
        ) as client:
            sent = relayed.body(1500) | {'stream': True}
            async with client.stream(
                'POST', '/v1/completions', json=sent
            ) as slow:
                lines = slow.aiter_lines()
                text = await anext(lines)
                for _ in range(3):
                    answer, task = self.ask(400)
                    await task
                    self.assert_whole(answer, 400)
                text += ''.join([line async for line in lines])
        found = re.findall(r'(g\d+)\.(\d+) ', text)
        (name,) = {generation for generation, _ in found}
        self.assertEqual(found, [(name, str(i)) for i in range(1500)])
        self.assertTrue(text.endswith('[DONE]'))


if __name__ == '__main__':
    unittest.main()
