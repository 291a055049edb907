"""Tests of plain services."""

from __future__ import annotations

import asyncio
import unittest

import httpx2
import hypothesis
from hypothesis import strategies

from quetzalsill.config import model
from quetzalsill.wire import message
from quetzalsill_router.http import relay, services
from quetzalsill_router.request import ident
from quetzalsill_router.request import route as route_module
from tests.quetzalsill_router.http import served
from tests.quetzalsill_router.request import fake

ORDERS = '/services/ordering/orders'


def head(status=200, *headers):
    """Head of a call's answer."""
    return message.Head('', status, [list(pair) for pair in headers])


def call(*pieces, status=200):
    """Script of a call that is answered."""
    return (
        fake.started(),
        head(status),
        fake.chunk(0, *pieces),
        fake.finished(len(pieces)),
    )


class ServicesTest(unittest.IsolatedAsyncioTestCase):
    """Calls on their way to the app server and back."""

    async def test_call_keeps_method_path_and_body(self):
        peer = fake.Peer('one', call(b'ok', status=201))
        async with served.serve(fake.make_context(peer)) as client:
            found = await client.put(
                f'{ORDERS}/a%2Fb%0d%0ax?q=1%202', content=b'{"id": 7}'
            )
        self.assertEqual((found.status_code, found.content), (201, b'ok'))
        sent = peer.attempts[0].dispatch
        self.assertEqual(sent.method, 'PUT')
        self.assertEqual(sent.path, '/orders/a%2Fb%0d%0ax?q=1%202')
        self.assertEqual(sent.payload, b'{"id": 7}')
        self.assertFalse(sent.body_open)
        self.assertFalse(sent.idempotent)

    async def test_token_and_hop_headers_stay_here(self):
        peer = fake.Peer('one', call(b''))
        async with served.serve(fake.make_context(peer)) as client:
            await client.get('/services/ordering/x', headers={'x-shop': '7'})
        sent = dict(map(tuple, peer.attempts[0].dispatch.headers))
        self.assertEqual(sent['x-shop'], '7')
        self.assertFalse(sent.keys() & {'authorization', 'host', 'connection'})

    async def test_forged_header_of_the_upstream_is_dropped(self):
        script = (
            head(200, ('x-a', 'b\r\nset-cookie: c'), ('x-ok', 'd')),
            fake.finished(0),
        )
        ctx = fake.make_context(fake.Peer('one', script))
        async with served.serve(ctx) as client:
            found = await client.get('/services/ordering/x')
        self.assertEqual(found.headers['x-ok'], 'd')
        self.assertNotIn('x-a', found.headers)

    async def test_large_body_follows_once_the_call_has_started(self):
        """A big upload is refused by the first app server.

        Its later pieces are sent only after Started, so nothing of it was
        used up and the second server gets all of it.
        """
        size = services.MAX_FIRST_BYTES + 100_000
        cfg = fake.configuration()
        cfg.services['ordering'].routes[1].max_body_bytes = size
        one = fake.Peer('one', (fake.refused(),))
        two = fake.Peer('two', (fake.started(),))
        ctx = fake.make_context(one, two, cfg=cfg)
        ctx.routing = lambda _query, candidates: candidates[0]
        async with served.serve(ctx) as client:
            content = body_in_parts(
                b'x' * services.MAX_FIRST_BYTES, two.opened, b'x' * 100_000
            )
            task = asyncio.create_task(client.post(ORDERS, content=content))
            await two.opened.wait()
            attempt = two.attempts[0]
            await attempt.body_ended.wait()
            for msg in call(b'ok')[1:]:
                attempt.put(msg)
            self.assertEqual((await task).status_code, 200)
        self.assertTrue(attempt.dispatch.body_open)
        whole = attempt.dispatch.payload + b''.join(attempt.body)
        self.assertEqual(len(whole), size)

    async def test_body_over_its_bound(self):
        ctx = fake.make_context(fake.Peer('one'))
        async with served.serve(ctx) as client:
            for content in (b'x' * 5000, chunked(b'x' * 5000)):
                found = await client.post(ORDERS, content=content)
                self.assertEqual(found.status_code, 413)
                self.assertIs(found.json()['error']['not_run'], True)

    async def test_order_of_unknown_outcome_is_told_and_not_repeated(self):
        one = fake.Peer(
            'one', (fake.failed('unknown', code='outcome_unknown'),)
        )
        two = fake.Peer('two', call(b'ok'))
        ctx = fake.make_context(one, two)
        ctx.routing = lambda _query, candidates: candidates[0]
        async with served.serve(ctx) as client:
            found = await client.post(ORDERS, json={'id': 1})
        self.assertEqual(found.status_code, 504)
        self.assertIsNone(found.json()['error']['not_run'])
        self.assertEqual(found.headers['x-should-retry'], 'false')
        self.assertEqual(two.attempts, [])

    async def test_answer_that_breaks_off_is_cut(self):
        """An app server dies while a proof is on its way to a portal.

        Ended properly, the half of a picture would be taken for it.
        """
        script = (head(), fake.chunk(0, b'half'), fake.failed('yes'))
        ctx = fake.make_context(fake.Peer('one', script))
        async with served.serve(ctx) as client:
            with self.assertRaises(httpx2.RemoteProtocolError):
                await client.post(ORDERS, json={})

    async def test_unknown_paths(self):
        async with served.serve(fake.make_context()) as client:
            for path in ('/services/none/x', '/services/', '/nowhere'):
                found = await client.get(path)
                self.assertEqual(found.status_code, 404)
                self.assertEqual(found.json()['error']['code'], 'not_found')


class BodyTest(unittest.IsolatedAsyncioTestCase):
    """Request bodies that do not come whole."""

    async def test_body_that_breaks_off_is_not_ended(self):
        """A shop's upload breaks off midway, another grows over its bound.

        Ended at that place, the half of an order list would be taken for
        all of it.
        """
        size = services.MAX_FIRST_BYTES
        cfg = fake.configuration()
        cfg.services['ordering'].routes[1].max_body_bytes = 2 * size
        for rest in (b'x' * 1000, b'x' * 2 * size):
            peer = fake.Peer('one', (fake.started(),))
            async with served.serve(fake.make_context(peer, cfg=cfg)) as client:
                parts = [b'x' * size, peer.opened, rest]
                if len(rest) < size:
                    parts.append(asyncio.Event())
                content = body_in_parts(*parts)
                task = asyncio.create_task(client.post(ORDERS, content=content))
                await peer.opened.wait()
                if len(rest) > size:
                    found = await task
                    self.assertEqual(found.status_code, 413)
                    self.assertIsNone(found.json()['error']['not_run'])
                task.cancel()
                await peer.attempts[0].closed.wait()
            self.assertFalse(peer.attempts[0].body_ended.is_set())


async def body_in_parts(*parts):
    """A body in parts; events among them are waited for."""
    for part in parts:
        if isinstance(part, bytes):
            yield part
        else:
            await part.wait()


async def chunked(data):
    """A body without a Content-Length."""
    for start in range(0, len(data), 1000):
        yield data[start : start + 1000]


class RouteTest(unittest.TestCase):
    """Choice of the route and form of headers and ids."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.text('ab/', min_size=0, max_size=5), max_size=6
        ),
        strategies.text('ab/', max_size=7),
    )
    def test_longest_fitting_prefix_wins(self, paths, path):
        routes = [model.Route(path=f'/{text}') for text in paths]
        found = route_module.pick_route(
            model.Service(routes), 'GET', f'/{path}'
        )
        parts = f'/{path}/'
        fitting = [
            route.path
            for route in routes
            if parts.startswith(route.path.rstrip('/') + '/')
        ]
        longest = max(map(len, fitting), default=None)
        self.assertEqual(found and len(found.path), longest)

    def test_method_is_looked_at(self):
        service = model.Service([model.Route(path='/', methods=['GET'])])
        self.assertIsNone(route_module.pick_route(service, 'POST', '/x'))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.text(), strategies.text())
    def test_no_header_can_forge_another(self, name, value):
        response = relay.response(200, [[name, value]])
        for found in response.headers:
            self.assertNotRegex(found[0] + found[1], rb'[\r\n\0]')

    def test_ids_fit_a_url(self):
        names = ident.RequestIds('entry-1', ident.new_incarnation())
        found = {names.next() for _ in range(100)}
        self.assertEqual(len(found), 100)
        self.assertTrue(all(map(ident.is_request_id, found)))
        for bad in ('', '../x', 'a b', 'A', 'a\n', 'x' * 200):
            self.assertFalse(ident.is_request_id(bad))
