"""Tests of reads, credentials and roles of the administration API."""

from __future__ import annotations

import json
import unittest

from quetzalsill_router.admin import mask, view
from tests.quetzalsill_router.admin import fake


class ReadTest(fake.ApiTestCase):
    """Reading the configuration, history, nodes and requests."""

    async def test_a_viewer_reads_with_secrets_masked(self):
        status, body, resp = await self.call(
            'get', '/config', token=fake.VIEWER
        )
        self.assertEqual(200, status)
        self.assertEqual(b'"1"', resp.get_first_header(b'ETag'))
        self.assertEqual(1, body['revision'])
        self.assertNotIn(fake.digest(fake.OPERATOR), json.dumps(body))
        self.assertEqual(mask.MASK, body['operators']['ada']['token_sha256'])

    async def test_what_an_operator_reads_can_be_put_back(self):
        _, body, _ = await self.call('get', '/config')
        status, accepted, _ = await self.call(
            'put', '/config', body, If_Match='1'
        )
        self.assertEqual((200, 2), (status, accepted['revision']))

    async def test_reads_catch_up_with_another_router(self):
        """A read returns the latest revision, not the one last polled.

        An operator edits through one router and reads through another that
        has not polled the store since. An edit of the old revision would
        conflict with the operator's own.
        """
        other = await fake.Router(self.router.store, 'entry-2').client()
        await self.call('put', '/profiles/quick', {}, If_Match='1')
        _, body, _ = await other('get', '/profiles/quick', token=fake.BOOTSTRAP)
        self.assertEqual(2, body['revision'])

    async def test_reads_go_on_while_the_store_is_down(self):
        self.router.store.down = True
        status, body, _ = await self.call('get', '/profiles/patient')
        self.assertEqual(200, status)
        self.assertTrue(body['value']['durable'])
        _, nodes, _ = await self.call('get', '/nodes')
        self.assertFalse(nodes['complete'])

    async def test_history_and_difference(self):
        await self.call('put', '/profiles/quick', {}, If_Match='1')
        await self.call(
            'put',
            '/profiles/prompt',
            {'retries': 4},
            If_Match='2',
            X_Edit_Note='more retries',
        )
        _, body, _ = await self.call('get', '/history?limit=2')
        self.assertEqual([3, 2], [e['revision'] for e in body['entries']])
        self.assertEqual('more retries', body['entries'][0]['note'])
        _, body, _ = await self.call('get', '/history?path=profiles.prompt')
        self.assertEqual([3, 1], [e['revision'] for e in body['entries']])
        _, body, _ = await self.call('get', '/diff?from=2&to=3')
        self.assertEqual(
            [{'path': 'profiles.prompt.retries', 'before': 3, 'after': 4}],
            body['changes'],
        )
        self.assertEqual(404, (await self.call('get', '/diff?to=9'))[0])

    async def test_nodes_show_revision_and_state(self):
        self.router.peers = [fake.Peer('ikeja-1', load=fake.load(1))]
        _, body, _ = await self.call('get', '/nodes')
        router, sidecar = body['nodes']
        self.assertEqual(('router', 1), (router['kind'], router['revision']))
        self.assertEqual(
            ('live', 1, 3),
            (sidecar['state'], sidecar['revision'], sidecar['incarnation']),
        )
        self.router.peers[0].linked = False
        _, body, _ = await self.call('get', '/nodes')
        self.assertEqual('unlinked', body['nodes'][1]['state'])

    async def test_status_names_who_is_behind(self):
        self.router.peers = [fake.Peer('ikeja-1', load=fake.load(0))]
        _, body, _ = await self.call('get', '/status', token=fake.VIEWER)
        self.assertEqual(['ikeja-1'], body['behind'])
        self.assertEqual(('obi', 'viewer'), (body['operator'], body['role']))

    async def test_a_request_is_shown_and_cancelled(self):
        self.router.requests.found['r1'] = view.RequestView(
            'r1', 'running', 'lagos', 'patient', 'planner', 'ikeja-1', 1,
            2.5, 7, True, '',
        )  # fmt: skip
        _, body, _ = await self.call('get', '/requests/r1', token=fake.VIEWER)
        self.assertEqual('running', body['state'])
        status, _, _ = await self.call(
            'delete', '/requests/r1', token=fake.VIEWER
        )
        self.assertEqual(403, status)
        _, body, _ = await self.call('delete', '/requests/r1')
        self.assertEqual('cancelled', body['code'])
        self.assertEqual(404, (await self.call('get', '/requests/r2'))[0])


class AccessTest(fake.ApiTestCase):
    """Tokens, roles and unknown paths."""

    async def test_missing_and_unknown_tokens_are_refused(self):
        for token in ('', 'x', 'lagos-token', fake.OPERATOR + 'x'):
            status, body, _ = await self.call('get', '/config', token=token)
            self.assertEqual(401, status)
            self.assertEqual('unauthorized', body['error']['code'])

    async def test_a_viewer_may_write_nothing(self):
        for method, path in (
            ('put', '/config'),
            ('put', '/policies'),
            ('delete', '/profiles/prompt'),
            ('post', '/upstreams/ikeja-1/drain'),
        ):
            status, body, _ = await self.call(
                method, path, token=fake.VIEWER, If_Match='1'
            )
            self.assertEqual(
                (403, 'forbidden'), (status, body['error']['code'])
            )
        self.assertEqual(1, self.router.holder.revision)

    async def test_unknown_paths_are_typed(self):
        status, body, _ = await self.call('get', '/nothing')
        self.assertEqual((404, 'not_found'), (status, body['error']['code']))

    async def test_the_first_configuration_needs_the_bootstrap_token(self):
        router = fake.Router()
        call = await router.client()
        wanted = fake.sample_configuration()
        status, _, _ = await call('put', '/config', wanted, If_Match='0')
        self.assertEqual(503, status)
        status, body, _ = await call(
            'put', '/config', wanted, token=fake.BOOTSTRAP, If_Match='0'
        )
        self.assertEqual((200, 1), (status, body['revision']))
        self.assertEqual(200, (await call('get', '/config'))[0])


if __name__ == '__main__':
    unittest.main()
