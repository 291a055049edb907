"""Tests of keyed requests, and of requests that another router runs."""

from __future__ import annotations

import asyncio
import dataclasses
import unittest

from quetzalsill.config import model
from quetzalsill.error import request as request_error
from quetzalsill.platform import table as platform_table
from quetzalsill.settings import section
from quetzalsill_router.durable import lookup, registration
from tests.quetzalsill_router.http import served
from tests.quetzalsill_router.request import fake

PATH = '/v1/completions'
BODY = {'model': fake.MODEL, 'prompt': 'slots for kiosk 7?'}
STREAMED = {**BODY, 'stream': True}


class KeyedTest(unittest.IsolatedAsyncioTestCase):
    """Durable requests and idempotency keys."""

    async def test_repeat_gets_the_stored_answer(self):
        peer = fake.Peer('one', served.complete_attempt('a', 'b'))
        ctx = fake.make_context(peer)
        ctx.answers = Answers(ctx.journal)
        headers = {'idempotency-key': 'order-1'}
        async with served.serve(ctx) as client:
            first = await client.post(PATH, json=BODY, headers=headers)
            again = await client.post(PATH, json=BODY, headers=headers)
            ctx.table = Rows({'request': first.headers['x-request-id']})
            fetched = await client.get(
                f'/v1/requests/{first.headers["x-request-id"]}'
            )
            by_key = await client.get(
                '/v1/requests', params={'idempotency_key': 'order-1'}
            )
        for answer in (first, again, fetched, by_key):
            self.assertEqual(answer.json()['choices'][0]['text'], 'ab')
        self.assertEqual(len(peer.attempts), 1)

    async def test_repeat_during_the_first_is_a_conflict(self):
        peer = fake.Peer('one', (fake.started(),))
        ctx = fake.make_context(peer)
        ctx.answers = Answers(ctx.journal)
        headers = {'idempotency-key': 'order-1'}
        async with served.serve(ctx) as client:
            task = asyncio.create_task(
                client.post(PATH, json=BODY, headers=headers)
            )
            await peer.opened.wait()
            again = await client.post(PATH, json=BODY, headers=headers)
            self.assertEqual(again.status_code, 409)
            self.assertIsNone(again.json()['error']['not_run'])
            self.assertTrue(again.headers['retry-after'])
            for msg in served.complete_attempt('a'):
                peer.attempts[0].put(msg)
            self.assertEqual((await task).status_code, 200)

    async def test_durable_request_is_answered_later(self):
        peer = fake.Peer('one', served.complete_attempt('plan'))
        ctx = fake.make_context(peer, cfg=fake.configuration(durable=True))
        ctx.answers = Answers(ctx.journal)
        async with served.serve(ctx) as client:
            response = await client.post(
                PATH, json=BODY, headers={'prefer': 'respond-async'}
            )
            self.assertEqual(response.status_code, 202)
            await ctx.active.wait_idle(served.TIMEOUT_S)
            response = await client.get(response.headers['location'])
        self.assertEqual(response.json()['choices'][0]['text'], 'plan')

    async def test_store_outage_refuses_durable_requests_only(self):
        """Only durable requests are refused while the store is unavailable.

        They cannot be stored, so they are refused immediately as not run.
        Other requests do not need the store.
        """
        peer = fake.Peer('one', served.complete_attempt('slot'))
        cfg = fake.configuration()
        cfg.profiles['patient'] = fake.model.Profile(durable=True)
        ctx = fake.make_context(peer, cfg=cfg)
        ctx.journal.refusal = request_error.StoreUnavailableError(
            retry_after_s=2.0
        )
        async with served.serve(ctx) as client:
            durable = await client.post(
                PATH, json=BODY, headers={'x-quetzalsill-profile': 'patient'}
            )
            query = await client.post(PATH, json=BODY)
        self.assertEqual(durable.status_code, 503)
        self.assertIs(durable.json()['error']['not_run'], True)
        self.assertEqual(durable.headers['retry-after'], '2')
        self.assertEqual(query.status_code, 200)

    async def test_unknown_outcome_is_settled_later(self):
        """A sidecar is lost while a keyed request runs, then returns.

        The caller receives an unknown outcome immediately. The outcome that
        the upstream reports later is stored, and a repeat of the key gets it.
        """
        peer = fake.Peer(
            'one',
            (fake.started(), fake.failed('unknown', code='outcome_unknown')),
            served.complete_attempt('done'),
        )
        ctx = fake.make_context(peer, cfg=fake.configuration(idempotent=False))
        ctx.answers = Answers(ctx.journal)
        headers = {'idempotency-key': 'order-1'}
        async with served.serve(ctx) as client:
            first = await client.post(PATH, json=BODY, headers=headers)
            self.assertEqual(first.status_code, 504)
            await ctx.active.wait_idle(served.TIMEOUT_S)
            again = await client.post(PATH, json=BODY, headers=headers)
        self.assertEqual(again.json()['choices'][0]['text'], 'done')
        self.assertTrue(peer.attempts[1].dispatch.recover)

    async def test_cancel(self):
        peer = fake.Peer('one', (fake.started(),))
        ctx = fake.make_context(peer, cfg=fake.configuration(durable=True))
        ctx.answers = Answers(ctx.journal)
        async with served.serve(ctx) as client:
            response = await client.post(
                PATH, json=BODY, headers={'prefer': 'respond-async'}
            )
            location = response.headers['location']
            await peer.opened.wait()
            self.assertEqual((await client.delete(location)).status_code, 202)
            await ctx.active.wait_idle(served.TIMEOUT_S)
            response = await client.get(location)
        self.assertEqual(response.json()['error']['code'], 'cancelled')
        self.assertTrue(peer.attempts[0].closed.is_set())


class OtherRouterTest(unittest.IsolatedAsyncioTestCase):
    """Requests that run at another router."""

    async def test_cancel_reaches_the_router_that_runs_it(self):
        peer = fake.Peer('one', (fake.started(),))
        cfg = fake.configuration(durable=True)
        owner, other = fake.make_context(peer, cfg=cfg), fake.make_context()
        owner.answers = other.answers = Answers(owner.journal)
        other.settings.node = section.Node('entry-2', 'apapa-hall')
        async with served.serve(owner) as one, served.serve(other) as two:
            other.registration = Routers(one.base_url.netloc.decode())
            response = await one.post(
                PATH, json=BODY, headers={'prefer': 'respond-async'}
            )
            location = response.headers['location']
            await peer.opened.wait()
            self.assertEqual((await two.get(location)).status_code, 202)
            self.assertEqual((await two.delete(location)).status_code, 202)
            await owner.active.wait_idle(served.TIMEOUT_S)
            response = await two.get(location)
        self.assertEqual(response.json()['error']['code'], 'cancelled')

    async def test_fetch_from_a_router_without_configuration(self):
        """A caller is told "not run" about a request that was accepted.

        A router that starts while the store is unavailable has no
        configuration and knows no account. It refused the fetch as
        unauthorized and as "not run", which the caller applies to the
        request it asked about.
        """
        ctx = fake.make_context()
        cfg, ctx.holder.current = ctx.holder.current, model.Configuration()
        for status, headers in ((503, {}), (401, {'authorization': 'x'})):
            async with served.serve(ctx) as client:
                response = await client.get(
                    '/v1/requests/a-1-0', headers=headers
                )
                self.assertEqual(response.status_code, status, response.text)
                self.assertIsNone(response.json()['error']['not_run'])
                models = await client.get('/v1/models', headers=headers)
                self.assertEqual(models.status_code, status, response.text)
            ctx.holder.current = dataclasses.replace(cfg, revision=1)

    async def test_unreachable_owner_is_reported(self):
        ctx = fake.make_context()
        await ctx.journal.accept(fake.make_entry(request=''))
        ctx.answers = Answers(ctx.journal)
        ctx.registration = Routers('127.0.0.1:1')
        async with served.serve(ctx) as client:
            response = await client.delete('/v1/requests/entry-1-1-0')
        self.assertEqual(response.status_code, 409)
        self.assertIsNone(response.json()['error']['not_run'])


class Routers:
    """A registration with one other live router."""

    def __init__(self, address):
        self._router = registration.Router(
            'entry-9', 1, address, 'ikeja-hall', 1
        )

    def live_routers(self):
        return [self._router]


class Rows:
    """A table with one row."""

    def __init__(self, value):
        self._value = value

    async def get(self, _table, _key):
        return platform_table.Row(1, self._value)


class Answers:
    """Looks up answers in the fake journal."""

    def __init__(self, journal):
        self._journal = journal

    async def get(self, _account, request):
        if request not in [entry.request for entry in self._journal.accepted]:
            raise request_error.NotFoundError(request)
        return lookup.Stored(request, self._journal.settled.get(request))

    async def wait(self, account, request, _within_s):
        return await self.get(account, request)


if __name__ == '__main__':
    unittest.main()
