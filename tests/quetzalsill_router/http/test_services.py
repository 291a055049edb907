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
    """Returns the head of a call's response."""
    return message.Head('', status, [list(pair) for pair in headers])


def call(*pieces, status=200):
    """Returns the messages of a call that is answered."""
    return (
        fake.started(),
        head(status),
        fake.chunk(0, *pieces),
        fake.finished(len(pieces)),
    )


class ServicesTest(unittest.IsolatedAsyncioTestCase):
    """Calls to an upstream of a service, and its responses."""

    async def test_call_keeps_method_path_and_body(self):
        peer = fake.Peer('one', call(b'ok', status=201))
        async with served.serve(fake.make_context(peer)) as client:
            response = await client.put(
                f'{ORDERS}/a%2Fb%0d%0ax?q=1%202', content=b'{"id": 7}'
            )
        self.assertEqual((response.status_code, response.content), (201, b'ok'))
        sent = peer.attempts[0].dispatch
        self.assertEqual(sent.method, 'PUT')
        self.assertEqual(sent.path, '/orders/a%2Fb%0d%0ax?q=1%202')
        self.assertEqual(sent.payload, b'{"id": 7}')
        self.assertFalse(sent.body_open)
        self.assertFalse(sent.idempotent)

    async def test_token_and_hop_by_hop_headers_are_not_forwarded(self):
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
            response = await client.get('/services/ordering/x')
        self.assertEqual(response.headers['x-ok'], 'd')
        self.assertNotIn('x-a', response.headers)

    async def test_large_body_follows_once_the_call_has_started(self):
        """A large upload is refused by the first upstream.

        Parts after the first are sent only after Started, so none of them is
        consumed and the second upstream receives the complete body.
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
        complete_body = attempt.dispatch.payload + b''.join(attempt.body)
        self.assertEqual(len(complete_body), size)

    async def test_body_over_its_limit(self):
        ctx = fake.make_context(fake.Peer('one'))
        async with served.serve(ctx) as client:
            for content in (b'x' * 5000, chunked(b'x' * 5000)):
                response = await client.post(ORDERS, content=content)
                self.assertEqual(response.status_code, 413)
                self.assertIs(response.json()['error']['not_run'], True)

    async def test_unknown_outcome_is_reported_and_not_retried(self):
        one = fake.Peer(
            'one', (fake.failed('unknown', code='outcome_unknown'),)
        )
        two = fake.Peer('two', call(b'ok'))
        ctx = fake.make_context(one, two)
        ctx.routing = lambda _query, candidates: candidates[0]
        async with served.serve(ctx) as client:
            response = await client.post(ORDERS, json={'id': 1})
        self.assertEqual(response.status_code, 504)
        self.assertIsNone(response.json()['error']['not_run'])
        self.assertEqual(response.headers['x-should-retry'], 'false')
        self.assertEqual(two.attempts, [])

    async def test_truncated_response_closes_the_connection(self):
        """An upstream fails in the middle of a response body.

        If the response ended normally, the caller would take the partial
        body for the complete one.
        """
        script = (head(), fake.chunk(0, b'half'), fake.failed('yes'))
        ctx = fake.make_context(fake.Peer('one', script))
        async with served.serve(ctx) as client:
            with self.assertRaises(httpx2.RemoteProtocolError):
                await client.post(ORDERS, json={})

    async def test_unknown_paths(self):
        async with served.serve(fake.make_context()) as client:
            for path in ('/services/none/x', '/services/', '/nowhere'):
                response = await client.get(path)
                self.assertEqual(response.status_code, 404)
                self.assertEqual(response.json()['error']['code'], 'not_found')


class BodyTest(unittest.IsolatedAsyncioTestCase):
    """Request bodies that are incomplete or too large."""

    async def test_truncated_body_is_not_ended(self):
        """An upload stops midway, another exceeds its limit.

        If the body were ended there, the upstream would take a partial body
        for the complete one.
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
                    response = await task
                    self.assertEqual(response.status_code, 413)
                    self.assertIsNone(response.json()['error']['not_run'])
                task.cancel()
                await peer.attempts[0].closed.wait()
            self.assertFalse(peer.attempts[0].body_ended.is_set())


async def body_in_parts(*parts):
    """Yields a body in parts; waits for the events among them."""
    for part in parts:
        if isinstance(part, bytes):
            yield part
        else:
            await part.wait()


async def chunked(data):
    """Yields a body that has no Content-Length."""
    for start in range(0, len(data), 1000):
        yield data[start : start + 1000]


class RouteTest(unittest.TestCase):
    """Selection of routes, and the format of headers and ids."""

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

    def test_method_must_match(self):
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
        response = {names.next() for _ in range(100)}
        self.assertEqual(len(response), 100)
        self.assertTrue(all(map(ident.is_request_id, response)))
        for bad in ('', '../x', 'a b', 'A', 'a\n', 'x' * 200):
            self.assertFalse(ident.is_request_id(bad))
