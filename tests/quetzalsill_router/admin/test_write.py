"""Tests of edits, conflicts and lost responses of the administration API."""

from __future__ import annotations

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from tests.quetzalsill_router.admin import fake

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8)
            | strategies.sampled_from(
                ['profiles', 'prompt', 'accounts', 'limits', 'revision']
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


class EditTest(fake.ApiTestCase):
    """Valid and invalid edits."""

    async def test_an_accepted_edit_is_active_and_announced_at_once(self):
        announced = []
        self.router.holder.on_change(lambda cfg: announced.append(cfg.revision))
        status, body, resp = await self.call(
            'put',
            '/profiles/prompt',
            {'deadline_s': 5},
            If_Match='"1"',
            X_Edit_Id='edit-a',
        )
        self.assertEqual((200, 2, False), (
            status, body['revision'], body['earlier'],
        ))  # fmt: skip
        self.assertEqual(b'edit-a', resp.get_first_header(b'X-Edit-Id'))
        self.assertEqual(2, self.router.holder.revision)
        profile = self.router.holder.current.profiles['prompt']
        self.assertEqual(5, profile.deadline_s)
        self.assertEqual([2], announced)

    async def test_each_kind_of_edit(self):
        edits = (
            ('put', '/accounts/lagos/limits', {'concurrency': 7}),
            ('put', '/policies', {'headroom': 0.2}),
            ('post', '/upstreams/ikeja-1/drain', None),
            ('put', '/services/orders', {'routes': [{'path': '/'}]}),
            ('delete', '/services/orders', None),
        )
        for number, (method, path, body) in enumerate(edits, start=1):
            status, _, _ = await self.call(
                method, path, body, If_Match=str(number)
            )
            self.assertEqual(200, status, path)
        cfg = self.router.holder.current
        self.assertEqual(7, cfg.accounts['lagos'].limits.concurrency)
        self.assertEqual(0.2, cfg.policies.headroom)
        self.assertTrue(cfg.upstreams['ikeja-1'].draining)
        self.assertEqual({}, cfg.services)

    async def test_names_that_do_not_exist(self):
        for method, path, body in (
            ('delete', '/profiles/none', None),
            ('post', '/upstreams/none/drain', None),
            ('put', '/accounts/none/limits', {}),
        ):
            status, answer, _ = await self.call(
                method, path, body, If_Match='1'
            )
            self.assertEqual(404, status)
            self.assertTrue(answer['error']['not_run'])

    async def test_a_write_must_name_its_revision(self):
        status, body, _ = await self.call('put', '/profiles/prompt', {})
        self.assertEqual(428, status)
        self.assertEqual('precondition_required', body['error']['code'])
        for text in ('x', '-1', '1.5', '*', '1' * 30):
            status, _, _ = await self.call(
                'put', '/profiles/prompt', {}, If_Match=text
            )
            self.assertEqual(400, status)
        status, _, _ = await self.call(
            'put', '/profiles/prompt?expected_revision=1', {}
        )
        self.assertEqual(200, status)

    async def test_every_fault_is_listed_and_nothing_changes(self):
        wanted = fake.sample_configuration()
        wanted['profiles']['prompt'] = {'deadline_s': -1, 'delivry': 'whole'}
        wanted['accounts']['lagos']['default_profile'] = 'none'
        status, body, _ = await self.call(
            'put', '/config', wanted, If_Match='1'
        )
        self.assertEqual(422, status)
        paths = [fault['path'] for fault in body['error']['faults']]
        self.assertIn('profiles.prompt.deadline_s', paths)
        self.assertTrue(any('delivry' in path for path in paths), paths)
        self.assertEqual(1, self.router.holder.revision)

    async def test_a_reference_to_what_is_removed_is_a_fault(self):
        status, body, _ = await self.call(
            'delete', '/profiles/patient', If_Match='1'
        )
        self.assertEqual(422, status)
        self.assertEqual(
            'models.planner.profile', body['error']['faults'][0]['path']
        )

    async def test_masked_secrets_cannot_be_put_back(self):
        _, body, _ = await self.call('get', '/config', token=fake.VIEWER)
        status, _, _ = await self.call('put', '/config', body, If_Match='1')
        self.assertEqual(422, status)

    async def test_bodies_that_are_no_objects(self):
        bodies = (
            b'',
            b'{',
            b'[]',
            b'{"a": NaN}',
            b'{"a": 1, "a": 2}',
            b'{"a": "\\ud800"}',
            b'\xff',
            b'[' * 100_000,
        )
        for raw in bodies:
            status, body, _ = await self.call(
                'put', '/profiles/prompt', raw=raw, If_Match='1'
            )
            self.assertEqual(400, status, raw[:20])
            self.assertEqual('bad_request', body['error']['code'])
        status, _, _ = await self.call(
            'put', '/config', raw=b' ' * 5_000_000, If_Match='1'
        )
        self.assertEqual(413, status)

    def test_arbitrary_json_never_gives_an_internal_error(self):
        @SETTINGS
        @hypothesis.given(
            path=strategies.sampled_from(
                ['/config', '/profiles/prompt', '/accounts/a', '/policies',
                 '/accounts/lagos/limits', '/upstreams/u', '/operators/o']
            ),
            body=JSON,
        )  # fmt: skip
        def check(path, body):
            status = asyncio.run(self._put_anywhere(path, body))
            self.assertIn(status, (200, 400, 422))

        check()

    async def _put_anywhere(self, path, body):
        router = fake.Router()
        router.install()
        call = await router.client()
        status, _, _ = await call('put', path, body, If_Match='1')
        return status


class RaceTest(fake.ApiTestCase):
    """Concurrent edits of several operators."""

    async def test_the_second_of_two_operators_is_told_who_was_first(self):
        """A conflict names the current revision and its author.

        Two operators edit the same revision through two routers. The second
        edit must not overwrite the first, and its operator needs to know
        whose edit was accepted.
        """
        other = fake.Router(self.router.store, 'entry-2')
        other.holder.install(
            *self.router.store.put(fake.sample_configuration())
        )
        second = await other.client()
        await self.call('put', '/profiles/a', {}, If_Match='2')
        status, body, _ = await second(
            'put',
            '/profiles/b',
            {},
            token=fake.BOOTSTRAP,
            If_Match='2',
        )
        self.assertEqual(
            (409, 'edit_conflict'), (status, body['error']['code'])
        )
        self.assertEqual(3, body['error']['current_revision'])
        self.assertEqual('ada', body['error']['author'])
        self.assertTrue(body['error']['not_run'])

    async def test_an_edit_accepted_between_read_and_publication(self):
        """Another router publishes between this one's read and its write."""
        self.router.store.before_publish = lambda: self.router.store.put(
            fake.sample_configuration(), 'obi'
        )
        status, body, _ = await self.call(
            'put', '/profiles/a', {}, If_Match='1'
        )
        self.assertEqual(409, status)
        self.assertEqual('obi', body['error']['author'])

    async def test_a_revision_of_the_future_is_a_conflict(self):
        status, _, _ = await self.call('put', '/profiles/a', {}, If_Match='7')
        self.assertEqual(409, status)


class LostResponseTest(fake.ApiTestCase):
    """Edits while the store fails or its response is lost."""

    async def test_a_repeated_edit_is_accepted_once(self):
        """A retry of an accepted edit returns that edit's revision.

        The response to the first attempt is lost and another edit follows.
        The retry must neither conflict with the first attempt nor be applied
        again.
        """
        edit = {'If_Match': '1', 'X_Edit_Id': 'edit-a'}
        self.router.store.responses_to_lose = 1
        status, body, _ = await self.call('put', '/profiles/a', {}, **edit)
        self.assertEqual(504, status)
        self.assertEqual('outcome_unknown', body['error']['code'])
        self.assertIsNone(body['error']['not_run'])
        await self.call('put', '/profiles/b', {}, If_Match='2')
        status, body, _ = await self.call('put', '/profiles/a', {}, **edit)
        self.assertEqual(
            (200, 2, True), (status, body['revision'], body['earlier'])
        )
        self.assertEqual(3, (await self.router.store.head()).revision)

    async def test_an_edit_id_used_for_another_edit_is_refused(self):
        await self.call(
            'put', '/profiles/a', {}, If_Match='1', X_Edit_Id='edit-a'
        )
        status, body, _ = await self.call(
            'put', '/profiles/b', {}, If_Match='1', X_Edit_Id='edit-a'
        )
        self.assertEqual(409, status)
        self.assertIn('edit-a', body['error']['message'])

    async def test_a_store_that_is_down_changes_nothing(self):
        self.router.store.down = True
        status, body, resp = await self.call(
            'put', '/profiles/a', {}, If_Match='1'
        )
        self.assertEqual(503, status)
        self.assertEqual('store_unavailable', body['error']['code'])
        self.assertTrue(body['error']['not_run'])
        self.assertIsNotNone(resp.get_first_header(b'Retry-After'))


if __name__ == '__main__':
    unittest.main()
