"""Tests of edits of the command line: races, lost answers and the wait."""

from __future__ import annotations

import json
import unittest
from unittest import mock

import click

from quetzalsill_cli import failure, rollout
from tests.quetzalsill_cli import fixture
from tests.quetzalsill_router.admin import fake


class EditTest(fixture.CommandCase):
    """Edits and their outcomes."""

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


class RaceTest(fixture.CommandCase):
    """Edits that race, or whose answers are lost."""

    def test_a_lost_race_names_the_winner_and_the_mend(self):
        """Two operators read revision 1; the other one is accepted first.

        The loser must see the current revision, who made it and what to do;
        the winner's edit stays.
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

    def test_a_drain_is_made_again_after_an_edit_of_something_else(self):
        """An operator edits a profile between the drain's read and write.

        The drain concerns one upstream only; refused, it would leave an
        upstream in use that is about to go.
        """
        rivals = [fake.sample_configuration()]
        store = self.router.store
        store.before_publish = lambda: rivals and store.put(rivals.pop(), 'obi')
        result = self.invoke('upstream', 'drain', 'ikeja-1')
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn('revision 3 accepted', result.stdout)

    def test_a_lost_answer_is_asked_for_again(self):
        """The connection dies after the edit took effect.

        Sent again with the same id, the edit must be found, not doubled.
        """
        self.served.lossy.lose = 1
        result = self.invoke('profile', 'edit', 'prompt', '--set', 'retries=1')
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn('asked again: the edit had taken effect', result.stderr)
        writes = [call for call in self.served.lossy.seen if call[0] == 'PUT']
        self.assertEqual(2, len(writes))
        self.assertEqual(writes[0], writes[1])
        self.assertEqual(2, self.router.holder.revision)

    def test_a_lost_answer_is_asked_for_at_another_router(self):
        second = self.add_router()
        self.served.lossy.lose = 9
        result = self.invoke(
            'profile', 'edit', 'prompt', '--set', 'retries=1', '--no-wait',
            urls=[self.served.url, second.url],
        )  # fmt: skip
        self.assertEqual(0, result.exit_code, result.output)
        self.assertEqual(2, second.router.holder.revision)

    def test_an_outcome_that_stays_unknown(self):
        self.served.lossy.lose = 9
        result = self.invoke('profile', 'edit', 'prompt', '--set', 'retries=1')
        self.assertEqual(failure.ExitCode.UNKNOWN, result.exit_code)
        edit = self.served.lossy.seen[-1][2]
        self.assertIn(edit, result.stderr)
        self.assertIn(edit, self.invoke('config', 'history').stdout)

    def test_a_refused_repetition_does_not_hide_an_accepted_edit(self):
        """An edit takes away its own credential and its answer is lost.

        The repetition is refused as unauthorized although the edit is in
        force; "refused" would be a lie.
        """
        plain = fake.sample_configuration()
        del plain['operators']['ada']
        self.served.lossy.lose = 1
        result = self.invoke('config', 'apply', self.file(json.dumps(plain)))
        self.assertEqual(failure.ExitCode.UNKNOWN, result.exit_code)

    def test_a_store_that_is_down(self):
        self.router.store.down = True
        result = self.invoke('upstream', 'drain', 'ikeja-1')
        self.assertEqual(failure.ExitCode.UNREACHABLE, result.exit_code)
        self.assertIn('nothing was changed', result.stderr)


class WaitTest(fixture.CommandCase):
    """Waiting until an edit is in force everywhere."""

    def test_a_node_that_stays_behind_is_named(self):
        """A sidecar is paused while an operator edits a profile.

        The edit is accepted and stays; the operator must hear that this
        node does not have it yet.
        """
        self.router.peers = [fake.Peer('ikeja-1', load=fake.load(1))]
        with mock.patch.object(rollout, 'BOUND_S', 0.3):
            result = self.invoke(
                'profile', 'edit', 'prompt', '--set', 'retries=1'
            )
        self.assertEqual(failure.ExitCode.NOT_IN_FORCE, result.exit_code)
        self.assertIn('sidecar ikeja-1 (ikeja-hall): revision 1', result.stderr)
        self.assertIn('revision 2 accepted', result.stdout)

    def test_a_node_that_loses_its_link_meanwhile_is_named(self):
        """A sidecar is paused; the router drops its link after a while.

        It wakes with the old configuration, so that "in force" would be
        wrong although no linked node is behind.
        """
        peer = fake.Peer('ikeja-1', load=fake.load(1))
        self.router.peers = [peer]
        looks = iter(range(2))

        def peers():
            peer.linked = next(looks, None) is not None
            return [peer]

        self.router.context.peers = peers
        with mock.patch.object(rollout, 'BOUND_S', 1.5):
            result = self.invoke(
                'profile', 'edit', 'prompt', '--set', 'retries=1'
            )
        self.assertEqual(failure.ExitCode.NOT_IN_FORCE, result.exit_code)
        self.assertIn('ikeja-1 (ikeja-hall): lost its link', result.stderr)

    def test_the_wait_ends_when_the_last_node_has_it(self):
        peer = fixture.FollowingPeer(self.router, looks=5)
        self.router.peers = [peer]
        result = self.invoke('profile', 'edit', 'prompt', '--set', 'retries=1')
        self.assertEqual(0, result.exit_code, result.output)
        self.assertEqual(0, peer.looks_left)

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
