"""Each token once, in order and from one generation, whatever fails."""

from __future__ import annotations

import asyncio
import re
import unittest

from quetzalsill_dev import board, caller
from tests.failure import fixture, relayed

LINK = {'idle_s': 0.1, 'silence_s': 0.4}
LONG = 650
SLOW = 500
LARGE = 48 << 20
FAULTS = (
    ('cut', lambda middle: middle.cut()),
    ('no word from the sidecar', lambda middle: middle.silence(up=False)),
    ('no word from the router', lambda middle: middle.silence(down=False)),
    ('silent both ways', lambda middle: middle.silence()),
)
SERVICE = f'/services/{board.SERVICE}'


def _layout():
    layout = board.board_layout(engines=2, services=1, routers=1)
    for engine in layout.engines:
        engine.token_s = 0.004
    return layout


class TokensOnceTest(relayed.RelayedTestCase):
    """Two engines and a service, their sidecars behind relays; one router."""

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
                    await self.until(lambda n=links: self.links() >= n + 3)
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
        engine = ''
        for _ in range(2):
            await self.until_tokens(len(answer.texts) + 10, answer)
            # The engine may be through before the second kill, and the rest of
            # the answer still with the sidecar; the run stays where it is.
            engine = engine or await self.running_engine()
            await self.restart_sidecar(engine)
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
        await asyncio.gather(*map(self.restart_engine, self.engines))
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
        """Every handset waits for one merchant's stalled browser.

        One caller stops reading a proof that is too long for all buffers on
        the way, and an answer; others read theirs to the end meanwhile, over
        the same links. Then the slow one gets all of its own.
        """
        token = board.TOKENS['retailers']
        async with (
            caller.open_client(self.url(), token) as client,
            client.stream('GET', f'{SERVICE}/large?bytes={LARGE}') as proof,
            client.stream(
                'POST',
                '/v1/completions',
                json=relayed.body(SLOW) | {'stream': True},
            ) as slow,
        ):
            pieces, lines = proof.aiter_raw(), slow.aiter_lines()
            size = len(await anext(pieces))
            text = await anext(lines)
            for _ in range(3):
                answer, task = self.ask(100)
                fast = await client.get(f'{SERVICE}/stock')
                self.assertEqual(fast.json()['target'], '/stock')
                await task
                self.assert_whole(answer, 100)
            text += ''.join([line async for line in lines])
            size += sum([len(piece) async for piece in pieces])
        self.assertEqual(size, LARGE)
        found = re.findall(r'(g\d+)\.(\d+) ', text)
        (name,) = {generation for generation, _ in found}
        self.assertEqual(found, [(name, str(i)) for i in range(SLOW)])
        self.assertTrue(text.endswith('[DONE]'))


if __name__ == '__main__':
    unittest.main()
