"""Each token is delivered once, in order and from one generation."""

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
    ('cut', lambda proxy: proxy.cut()),
    ('sidecar to router silent', lambda proxy: proxy.silence(up=False)),
    ('router to sidecar silent', lambda proxy: proxy.silence(down=False)),
    ('both directions silent', lambda proxy: proxy.silence()),
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

    def count_links(self):
        """Number of links opened so far."""
        return sum(proxy.accepted for proxy in self.relays.values())

    @fixture.on_cluster
    async def test_link_fails_twice_in_mid_answer(self):
        """An answer has a gap or repeated tokens.

        The link between router and sidecar breaks or stops forwarding, in one
        direction or both, during answers, and so does its replacement.
        """
        for name, fail in FAULTS:
            with self.subTest(name):
                requests = [self.start_request(LONG) for _ in range(4)]
                answers = [answer for answer, _ in requests]
                for _ in range(2):
                    links_before = self.count_links()
                    received = max(len(answer.texts) for answer in answers)
                    await self.wait_for_tokens(received + 10, *answers)
                    self.assertLess(max(len(a.texts) for a in answers), LONG)
                    for proxy in self.relays.values():
                        fail(proxy)
                    await self.wait_until(
                        lambda n=links_before: self.count_links() >= n + 3
                    )
                for answer, task in requests:
                    await task
                    self.assert_whole(answer, LONG)
        runs = await self.new_runs()
        self.assertEqual(len(runs), 4 * len(FAULTS))

    @fixture.on_cluster
    async def test_sidecar_is_killed_in_mid_answer(self):
        """An answer stops, or restarts in the middle.

        The sidecar is killed twice in mid-answer and restarted on its port;
        the engine keeps running, and its generation is resumed.
        """
        answer, task = self.start_request(LONG)
        engine = ''
        for _ in range(2):
            await self.wait_for_tokens(len(answer.texts) + 10, answer)
            # The engine may finish before the second kill, with the rest of
            # the answer at the sidecar; the run stays on that engine.
            engine = engine or await self.running_engine()
            await self.restart_sidecar(engine)
        await task
        self.assert_whole(answer, LONG)
        self.assertEqual(len(await self.new_runs()), 1)

    @fixture.on_cluster
    async def test_engine_is_killed_before_the_first_token(self):
        """A request waits for its deadline, or mixes tokens of two answers.

        The engine is killed after it accepted the request and before the
        first token; the work may be repeated, and the answer of another
        engine is complete.
        """
        for process in self.cluster.upstreams.values():
            await self.cluster.switch(process, stall=True)
        answer, task = self.start_request(50)
        await self.wait_until(self.new_runs)
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
        """An answer continues with the tokens of another generation.

        The engines are killed after the tenth token of both answers.
        Delivered tokens can't be withdrawn, so the streamed answer ends in a
        typed error; the patient one, of which none was delivered, is complete
        and from one generation.
        """
        streamed, streaming = self.start_request(LONG)
        batch_answer, batch_task = self.start_request(LONG, profile='patient')

        async def both_run():
            runs = await self.new_runs()
            return [run['tokens'] > 10 for run in runs] == [True, True]

        await self.wait_until(both_run)
        await self.wait_for_tokens(10, streamed)
        await asyncio.gather(*map(self.restart_engine, self.engines))
        await asyncio.gather(streaming, batch_task)
        (name,) = streamed.generations
        count = len(streamed.texts)
        self.assertEqual(
            streamed.texts, [f'{name}.{index} ' for index in range(count)]
        )
        self.assertLess(count, LONG)
        self.assertIs(streamed.error['error']['not_run'], False)
        self.assert_whole(batch_answer, LONG)
        self.assertNotEqual(batch_answer.generations, streamed.generations)

    @fixture.on_cluster
    async def test_slow_reader_beside_a_fast_one(self):
        """A client that stops reading blocks all others.

        It stops reading a response that is larger than all buffers on the
        path, and a stream; other clients receive theirs to the end over the
        same links. Then it reads all of its own.
        """
        token = board.TOKENS['retailers']
        async with (
            caller.open_client(self.url(), token) as client,
            client.stream('GET', f'{SERVICE}/large?bytes={LARGE}') as large,
            client.stream(
                'POST',
                '/v1/completions',
                json=relayed.body(SLOW) | {'stream': True},
            ) as slow,
        ):
            pieces, lines = large.aiter_raw(), slow.aiter_lines()
            size = len(await anext(pieces))
            text = await anext(lines)
            for _ in range(3):
                answer, task = self.start_request(100)
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
