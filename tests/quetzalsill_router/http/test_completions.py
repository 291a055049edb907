"""Tests of the completions API."""

from __future__ import annotations

import asyncio
import json
import unittest

import openai

from tests.quetzalsill_router.http import served
from tests.quetzalsill_router.request import fake

PATH = '/v1/completions'
BODY = {'model': fake.MODEL, 'prompt': 'slots for kiosk 7?'}
STREAMED = {**BODY, 'stream': True}


def openai_client(client):
    """Returns an unmodified OpenAI client of the same server."""
    return openai.AsyncOpenAI(
        api_key=served.TOKEN, base_url=f'{client.base_url}/v1'
    )


class OpenAiClientTest(unittest.IsolatedAsyncioTestCase):
    """The API as seen by an unmodified OpenAI client."""

    async def test_whole_and_streamed(self):
        peer = fake.Peer(
            'one',
            served.complete_attempt('a', 'b'),
            served.complete_attempt('c', 'd'),
        )
        async with (
            served.serve(fake.make_context(peer)) as client,
            openai_client(client) as api,
        ):
            completion = await api.completions.create(**BODY)
            self.assertEqual(completion.choices[0].text, 'ab')
            self.assertEqual(completion.usage.completion_tokens, 2)
            stream = await api.completions.create(
                **BODY, stream=True, stream_options={'include_usage': True}
            )
            events = [event async for event in stream]
        texts = [event.choices[0].text for event in events[:-1]]
        self.assertEqual(texts, ['c', 'd'])
        self.assertEqual(events[-1].usage.completion_tokens, 2)

    async def test_chat(self):
        items = [
            json.dumps({'choices': [{'delta': {'content': text}}]}).encode()
            for text in ('pass', ' or hold')
        ]
        script = (fake.chunk(0, *items), fake.finished(2))
        async with (
            served.serve(fake.make_context(fake.Peer('one', script))) as client,
            openai_client(client) as api,
        ):
            answer = await api.chat.completions.create(
                model=fake.MODEL, messages=[{'role': 'user', 'content': 'note'}]
            )
        self.assertEqual(answer.choices[0].message.content, 'pass or hold')

    async def test_events_carry_the_id_of_the_request(self):
        """A caller can cancel a request by the id in its events.

        Events used to carry the engine's id, which the router does not know,
        and the usage event carried a different one.
        """
        texts = ('a', '"entry-1/7/1"', 'b')
        items = [fake.event(text, id='entry-1/7/1') for text in texts]
        script = (fake.started(), fake.chunk(0, *items), fake.finished(3))
        body = {**STREAMED, 'stream_options': {'include_usage': True}}
        peer = fake.Peer('one', script)
        async with served.serve(fake.make_context(peer)) as client:
            response = await client.post(PATH, json=body)
        lines = [line[6:] for line in response.text.split('\n') if '{' in line]
        events = [json.loads(line) for line in lines]
        ids = {event['id'] for event in events}
        self.assertEqual(ids, {response.headers['x-request-id']})
        texts_received = [
            c['text'] for event in events for c in event['choices']
        ]
        self.assertEqual(tuple(texts_received), texts)

    async def test_truncated_answer_is_not_taken_for_complete(self):
        """An engine fails after the first token of a streamed answer.

        The stream must end with an error event and without [DONE], so that
        the client does not take a partial answer for a complete one.
        """
        script = (
            fake.chunk(0, fake.event('a')),
            fake.failed('yes', gone=True),
        )
        async with (
            served.serve(fake.make_context(fake.Peer('one', script))) as client,
            openai_client(client) as api,
        ):
            stream = await api.completions.create(**BODY, stream=True)
            with self.assertRaises(openai.APIError):
                async for _ in stream:
                    pass

    async def test_unknown_outcome_is_not_resent_by_the_client(self):
        """The link breaks after the Dispatch of work that must run once.

        The OpenAI library retries on a 504 by default, which would run the
        work twice; the response disables the retry. The outcome can be
        fetched later.
        """
        lost = fake.failed('unknown', code='outcome_unknown')
        peer = fake.Peer('one', (lost,), served.complete_attempt('done'))
        ctx = fake.make_context(peer, cfg=fake.configuration(idempotent=False))
        async with (
            served.serve(ctx) as client,
            openai_client(client) as api,
        ):
            with self.assertRaises(openai.InternalServerError) as caught:
                await api.completions.create(**BODY)
            await ctx.active.wait_idle(served.TIMEOUT_S)
            settled = await client.get(
                f'/v1/requests/{caught.exception.body["request_id"]}'
            )
        self.assertIsNone(caught.exception.body['not_run'])
        recovers = [one.dispatch.recover for one in peer.attempts]
        self.assertEqual(recovers, [False, True])
        self.assertEqual(settled.json()['choices'][0]['text'], 'done')


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Requests that are refused."""

    async def test_bad_requests_name_field_and_advice(self):
        cases = [
            ({'prompt': 'x'}, 400, 'model'),
            ({'model': 7, 'prompt': 'x'}, 400, 'model'),
            ({'model': 'none', 'prompt': 'x'}, 404, None),
            ({**BODY, 'prompt': ''}, 400, 'prompt'),
            ({**BODY, 'prompt': ['a', 'b']}, 400, 'prompt'),
            ({**BODY, 'n': 2}, 400, 'n'),
            ({**BODY, 'max_tokens': 0}, 400, 'max_tokens'),
            ({**BODY, 'max_tokens': True}, 400, 'max_tokens'),
            ({**BODY, 'max_tokens': 10**30}, 400, 'max_tokens'),
            ({**BODY, 'temperature': '1'}, 400, 'temperature'),
            ({**BODY, 'temperature': 1e300}, 400, 'temperature'),
            ({**BODY, 'stream': 'yes'}, 400, 'stream'),
            ({**BODY, 'stop': [1]}, 400, 'stop'),
            ([], 400, 'body'),
        ]
        raw = [
            (b'{"model":', 400, 'body'),
            (b'\xff\xfe', 400, 'body'),
            (b'{"prompt": NaN}', 400, 'body'),
            (b'[' * 100_000, 400, 'body'),
            (b'{"a":' + b'9' * 10_000 + b'}', 400, 'body'),
            (b'x' * 4_100_000, 413, None),
        ]
        cases = [(json.dumps(body).encode(), *rest) for body, *rest in cases]
        peer = fake.Peer('one', served.complete_attempt('alive'))
        async with served.serve(fake.make_context(peer)) as client:
            for data, status, param in cases + raw:
                with self.subTest(data[:40]):
                    response = await client.post(PATH, content=data)
                    self.assertEqual(
                        response.status_code, status, response.text
                    )
                    error = response.json()['error']
                    self.assertEqual(error['param'], param)
                    self.assertIs(error['not_run'], True)
                    self.assertTrue(error['advice'])
                    self.assertTrue(response.headers['x-request-id'])
            response = await client.post(PATH, json=BODY)
        self.assertEqual(response.json()['choices'][0]['text'], 'alive')

    async def test_bad_headers(self):
        cases = [
            ({'authorization': 'Bearer nobody'}, 401),
            ({'authorization': 'Basic x'}, 401),
            ({'x-quetzalsill-profile': 'none'}, 400),
            ({'x-quetzalsill-profile': 'a b'}, 400),
            ({'idempotency-key': 'k' * 256}, 400),
            ({'idempotency-key': 'a b'}, 400),
        ]
        async with served.serve(fake.make_context()) as client:
            for headers, status in cases:
                with self.subTest(headers):
                    response = await client.post(
                        PATH, json=BODY, headers=headers
                    )
                    self.assertEqual(
                        response.status_code, status, response.text
                    )

    async def test_overload_sets_retry_after(self):
        script = (fake.refused(retry_after_ms=2400),)
        ctx = fake.make_context(fake.Peer('one', script))
        async with served.serve(ctx) as client:
            for stream in (False, True):
                ctx.peers = fake.Peers(fake.Peer('one', script))
                response = await client.post(
                    PATH, json={**BODY, 'stream': stream}
                )
                self.assertEqual(response.status_code, 503)
                self.assertEqual(response.headers['retry-after'], '3')
                self.assertEqual(response.headers['retry-after-ms'], '2400')
                self.assertEqual(response.headers['x-should-retry'], 'true')
                self.assertIs(response.json()['error']['not_run'], True)

    async def test_refusal_after_a_lost_run_is_not_called_not_run(self):
        """The first attempt ran and was lost; the second is refused.

        If the response stated "not run", the caller would retry work that
        did run.
        """
        one = fake.Peer('one', (fake.failed('yes', gone=True),))
        two = fake.Peer('two', (fake.refused(),))
        ctx = fake.make_context(one, two, cfg=fake.configuration(retries=1))
        ctx.routing = lambda _query, candidates: candidates[0]
        async with served.serve(ctx) as client:
            response = await client.post(PATH, json=BODY)
        self.assertIs(response.json()['error']['not_run'], False)
        self.assertEqual(response.headers['x-should-retry'], 'false')

    async def test_stopping_router_refuses_and_is_not_ready(self):
        ctx = fake.make_context(fake.Peer('one'))
        async with served.serve(ctx) as client:
            self.assertEqual((await client.get('/readyz')).status_code, 200)
            ctx.stopping = True
            self.assertEqual((await client.get('/readyz')).status_code, 503)
            self.assertEqual((await client.get('/healthz')).status_code, 200)
            response = await client.post(PATH, json=BODY)
        self.assertEqual(response.json()['error']['code'], 'shutting_down')


class DeliveryTest(unittest.IsolatedAsyncioTestCase):
    """Callers that read slowly, wait or disconnect."""

    async def test_slow_caller_slows_only_its_own_attempt(self):
        """One caller stops reading midway while another continues.

        If credit were granted before the slow caller received its tokens,
        the router would buffer the complete answer or stall the shared link.
        """
        count = 400
        items = [fake.event('x' * 65536)] * count
        slow = fake.Peer('one', (fake.started(), fake.chunk(0, *items)))
        ctx = fake.make_context(slow)
        async with (
            served.serve(ctx) as client,
            client.stream('POST', PATH, json=STREAMED) as response,
        ):
            lines = response.aiter_lines()
            await anext(lines)
            fast = fake.Peer('two', served.complete_attempt(*'abc'))
            ctx.peers = fake.Peers(fast)
            fast_response = await client.post(PATH, json=BODY)
            self.assertEqual(fast_response.json()['choices'][0]['text'], 'abc')
            (attempt,) = slow.attempts
            self.assertEqual(attempt.granted, [])
            attempt.put(fake.finished(count))
            rest = [line async for line in lines if line]
        self.assertEqual(len(rest), count)
        self.assertEqual(attempt.granted, [(count, count)])

    async def test_caller_that_leaves_cancels_its_attempt(self):
        peer = fake.Peer('one', (fake.started(),))
        ctx = fake.make_context(peer)
        async with served.serve(ctx) as client:
            task = asyncio.create_task(client.post(PATH, json=BODY))
            await peer.opened.wait()
            task.cancel()
            await peer.attempts[0].closed.wait()
            await ctx.active.wait_idle(served.TIMEOUT_S)
        self.assertEqual(len(ctx.active), 0)

    async def test_durable_request_continues_without_its_caller(self):
        """The caller of a durable request disconnects during generation.

        The request was accepted, so it continues and its answer is stored.
        """
        peer = fake.Peer('one', (fake.started(),))
        ctx = fake.make_context(peer, cfg=fake.configuration(durable=True))
        async with served.serve(ctx) as client:
            task = asyncio.create_task(client.post(PATH, json=BODY))
            await peer.opened.wait()
            task.cancel()
            (running,) = ctx.active
            await running.watcher
            for msg in served.complete_attempt('plan'):
                peer.attempts[0].put(msg)
            await ctx.active.wait_idle(served.TIMEOUT_S)
        (answer,) = ctx.journal.settled.values()
        self.assertEqual(answer.events, [fake.event('plan')])

    async def test_keep_alive_comments_are_sent_while_idle(self):
        peer = fake.Peer('one', (fake.started(),))
        ctx = fake.make_context(peer, cfg=fake.configuration(delivery='whole'))
        ctx.settings.requests.keep_alive_s = 0.01
        async with (
            served.serve(ctx) as client,
            client.stream('POST', PATH, json=STREAMED) as response,
        ):
            lines = response.aiter_lines()
            self.assertTrue((await anext(lines)).startswith(':'))
            for msg in served.complete_attempt('a', 'b'):
                peer.attempts[0].put(msg)
            rest = [line async for line in lines if line[:1] == 'd']
        self.assertEqual(len(rest), 3)
        self.assertEqual(rest[-1], 'data: [DONE]')


if __name__ == '__main__':
    unittest.main()
