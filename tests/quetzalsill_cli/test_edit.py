"""Tests of edits: conflicts, lost responses and waiting for rollout."""

from __future__ import annotations

import json
import unittest
from unittest import mock

import click

from quetzalsill_cli import failure, rollout
from tests.quetzalsill_cli import fixture
from tests.quetzalsill_router.admin import fake


class EditTest(fixture.CommandTestCase):
    """Valid and invalid edits."""

    def test_a_profile_edit_is_in_force_when_the_command_ends(self):
        result = self.invoke(
            'profile', 'edit', 'prompt', '--set', 'deadline_s=5',
            '--set', 'delivery=whole', '--note', 'kürzer',
        )  # fmt: skip
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn('revision 2 accepted', result.stdout)
        self.assertIn('in force on 2 nodes', result.stdout)
        profile = self.router.holder.current.profiles['prompt']
        self.assertEqual((5, 'whole'), (profile.deadline_s, profile.delivery))
        self.assertIn('kürzer', self.invoke('config', 'history').stdout)

    def test_a_profile_is_edited_in_an_editor(self):
        def edit(text, **_):
            return text.replace('"retries": 3,', '"retries": 9, // more')

        with mock.patch.object(click, 'edit', edit):
            result = self.invoke('profile', 'edit', 'prompt')
        self.assertEqual(0, result.exit_code, result.output)
        self.assertEqual(
            9, self.router.holder.current.profiles['prompt'].retries
        )
        with mock.patch.object(click, 'edit', lambda *_, **__: None):
            result = self.invoke('profile', 'edit', 'prompt')
        self.assertIn('no change', result.stdout)

    def test_an_invalid_value_names_what_is_allowed(self):
        result = self.invoke(
            'profile', 'edit', 'prompt', '--set', 'deadline_s=-1',
            '--set', 'delivry=whole',
        )  # fmt: skip
        self.assertEqual(failure.ExitCode.INVALID, result.exit_code)
        self.assertIn('profiles.prompt.deadline_s', result.stderr)
        self.assertIn('delivry', result.stderr)

    def test_a_new_profile_needs_create(self):
        words = ('profile', 'edit', 'new', '--set', 'priority=1')
        self.assertEqual(failure.ExitCode.USAGE, self.invoke(*words).exit_code)
        result = self.invoke(*words, '--create')
        self.assertEqual(0, result.exit_code, result.output)

    def test_a_note_cannot_carry_a_header(self):
        result = self.invoke(
            'upstream', 'drain', 'ikeja-1', '--note', 'a\r\nIf-Match: 9'
        )
        self.assertEqual(failure.ExitCode.USAGE, result.exit_code)

    def test_limits_and_drains(self):
        for words in (
            ('account', 'limits', 'lagos', '--set', 'concurrency=7'),
            ('upstream', 'drain', 'ikeja-1'),
        ):
            result = self.invoke(*words)
            self.assertEqual(0, result.exit_code, result.output)
        cfg = self.router.holder.current
        self.assertEqual(7, cfg.accounts['lagos'].limits.concurrency)
        self.assertTrue(cfg.upstreams['ikeja-1'].draining)
        self.invoke('upstream', 'undrain', 'ikeja-1')
        cfg = self.router.holder.current
        self.assertFalse(cfg.upstreams['ikeja-1'].draining)

    def test_a_file_is_checked_compared_and_applied(self):
        shown = self.invoke('config', 'show').stdout
        path = self.file(
            '// ours\n' + shown.replace('"retries": 3', '"retries": 4')
        )
        result = self.invoke('config', 'check', path)
        self.assertEqual(0, result.exit_code, result.output)
        result = self.invoke('config', 'diff', path, '--json')
        paths = [c['path'] for c in json.loads(result.stdout)['changes']]
        self.assertEqual(
            ['profiles.patient.retries', 'profiles.prompt.retries'], paths
        )
        result = self.invoke('config', 'apply', path)
        self.assertEqual(0, result.exit_code, result.output)
        result = self.invoke('config', 'apply', path)
        self.assertEqual(failure.ExitCode.CONFLICT, result.exit_code)

    def test_a_file_with_faults(self):
        for text in ('{', '[]', '{"profiles": {"p": {"retries": "x"}}}'):
            path = self.file(text)
            for action in ('check', 'apply', 'diff'):
                result = self.invoke('config', action, path)
                self.assertEqual(failure.ExitCode.INVALID, result.exit_code)


class RaceTest(fixture.CommandTestCase):
    """Concurrent edits and lost responses."""

    def test_a_conflict_names_the_author_and_the_remedy(self):
        """A conflict reports the current revision, its author and a remedy.

        Two operators read revision 1 and the other operator's edit is
        accepted first.
        """
        data, revision = self.router.store.put(
            fake.sample_configuration(), 'obi'
        )
        self.router.holder.install(data, revision)
        result = self.invoke(
            'profile', 'edit', 'prompt', '--set', 'retries=1', '--expect', '1'
        )
        self.assertEqual(failure.ExitCode.CONFLICT, result.exit_code)
        for text in ('revision 2', 'obi', 'Read the current revision'):
            self.assertIn(text, result.stderr)

    def test_a_drain_is_retried_after_a_conflicting_edit(self):
        """An edit of a profile between a drain's read and write is no obstacle.

        If the drain were refused, an upstream that is about to be stopped
        would stay in use.
        """
        conflicting = [fake.sample_configuration()]
        store = self.router.store
        store.before_publish = lambda: (
            conflicting and store.put(conflicting.pop(), 'obi')
        )
        result = self.invoke('upstream', 'drain', 'ikeja-1')
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn('revision 3 accepted', result.stdout)

    def test_a_lost_response_is_retried(self):
        """A retry with the same id finds the accepted edit.

        The connection is closed after the edit took effect; the retry must
        not apply it again.
        """
        self.served.app.responses_to_lose = 1
        result = self.invoke('profile', 'edit', 'prompt', '--set', 'retries=1')
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn('asked again: the edit had taken effect', result.stderr)
        writes = [call for call in self.served.app.calls if call[0] == 'PUT']
        self.assertEqual(2, len(writes))
        self.assertEqual(writes[0], writes[1])
        self.assertEqual(2, self.router.holder.revision)

    def test_a_lost_response_is_retried_at_another_router(self):
        second = self.add_router()
        self.served.app.responses_to_lose = 9
        result = self.invoke(
            'profile', 'edit', 'prompt', '--set', 'retries=1', '--no-wait',
            urls=[self.served.url, second.url],
        )  # fmt: skip
        self.assertEqual(0, result.exit_code, result.output)
        self.assertEqual(2, second.router.holder.revision)

    def test_an_outcome_that_stays_unknown(self):
        self.served.app.responses_to_lose = 9
        result = self.invoke('profile', 'edit', 'prompt', '--set', 'retries=1')
        self.assertEqual(failure.ExitCode.UNKNOWN, result.exit_code)
        edit = self.served.app.calls[-1][2]
        self.assertIn(edit, result.stderr)
        self.assertIn(edit, self.invoke('config', 'history').stdout)

    def test_a_refused_retry_does_not_hide_an_accepted_edit(self):
        """An edit that revokes its own credential has an unknown outcome.

        The response is lost, and the retry is refused as unauthorized
        although the edit was accepted; to report it as refused would be wrong.
        """
        plain = fake.sample_configuration()
        del plain['operators']['ada']
        self.served.app.responses_to_lose = 1
        result = self.invoke('config', 'apply', self.file(json.dumps(plain)))
        self.assertEqual(failure.ExitCode.UNKNOWN, result.exit_code)

    def test_a_store_that_is_down(self):
        self.router.store.down = True
        result = self.invoke('upstream', 'drain', 'ikeja-1')
        self.assertEqual(failure.ExitCode.UNREACHABLE, result.exit_code)
        self.assertIn('nothing was changed', result.stderr)


class WaitTest(fixture.CommandTestCase):
    """Waiting until an edit is active on every live node."""

    def test_a_node_that_stays_behind_is_named(self):
        """The command names a live node that does not get the revision.

        A sidecar is paused while an operator edits a profile. The edit
        stays accepted, but this node does not have it yet.
        """
        self.router.peers = [fake.Peer('ikeja-1', load=fake.load(1))]
        with mock.patch.object(rollout, 'WAIT_TIMEOUT_S', 0.3):
            result = self.invoke(
                'profile', 'edit', 'prompt', '--set', 'retries=1'
            )
        self.assertEqual(failure.ExitCode.ROLLOUT_INCOMPLETE, result.exit_code)
        self.assertIn('sidecar ikeja-1 (ikeja-hall): revision 1', result.stderr)
        self.assertIn('revision 2 accepted', result.stdout)

    def test_a_node_that_loses_its_link_meanwhile_is_named(self):
        """A node that loses its link during the wait counts as behind.

        A sidecar is paused until the router drops its link. It resumes with
        the old configuration, so the rollout is incomplete although no
        linked node is behind.
        """
        peer = fake.Peer('ikeja-1', load=fake.load(1))
        self.router.peers = [peer]
        linked_reads = iter(range(2))

        def peers():
            peer.linked = next(linked_reads, None) is not None
            return [peer]

        self.router.context.peers = peers
        with mock.patch.object(rollout, 'WAIT_TIMEOUT_S', 1.5):
            result = self.invoke(
                'profile', 'edit', 'prompt', '--set', 'retries=1'
            )
        self.assertEqual(failure.ExitCode.ROLLOUT_INCOMPLETE, result.exit_code)
        self.assertIn('ikeja-1 (ikeja-hall): lost its link', result.stderr)

    def test_the_wait_ends_when_the_last_node_has_it(self):
        peer = fixture.LaggingPeer(self.router, stale_reads=5)
        self.router.peers = [peer]
        result = self.invoke('profile', 'edit', 'prompt', '--set', 'retries=1')
        self.assertEqual(0, result.exit_code, result.output)
        self.assertEqual(0, peer.stale_reads_left)

    def test_views_of_several_routers_are_merged(self):
        second = self.add_router()
        second.router.holder.install(
            *self.router.store.put(fake.sample_configuration())
        )
        for urls in (
            [self.served.url, second.url],
            [second.url, self.served.url],
        ):
            result = self.invoke('config', 'status', '--json', urls=urls)
            nodes = {n['name']: n for n in json.loads(result.stdout)['nodes']}
            self.assertEqual('live', nodes['ikeja-1']['state'])
            self.assertEqual(1, nodes['entry-1']['revision'])
            self.assertEqual(2, nodes['entry-2']['revision'])


if __name__ == '__main__':
    unittest.main()
