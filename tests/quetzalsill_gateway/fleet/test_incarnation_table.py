"""Facts about incarnations: how long they are kept, and how many."""

from __future__ import annotations

import types
import unittest
from unittest import mock

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import incarnation_table, upstream

RETENTION_S = 60.0
LAPSE_S = 10.0


class IncarnationTableTest(unittest.TestCase):
    """The facts are the loop times at which they were observed."""

    def setUp(self):
        self.now = 100.0
        loop = types.SimpleNamespace(time=lambda: self.now)
        patched = mock.patch('asyncio.get_running_loop', return_value=loop)
        patched.start()
        self.addCleanup(patched.stop)
        self.found = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        self.table = incarnation_table.IncarnationTable(
            lambda observed_s: observed_s, RETENTION_S, LAPSE_S
        )
        self.table.put('u', self.now)

    def expire_at(self, now, *known, **options):
        self.now = now
        self.table.expire(known, **options)
        return self.table.get('u')

    def test_it_is_kept_while_the_upstream_is_known(self):
        self.assertIsNotNone(self.expire_at(1000.0, self.found))

    def test_it_outlasts_an_entry_that_lapsed(self):
        """A fact would be forgotten as soon as an old entry lapses."""
        self.expire_at(1000.0, self.found)
        self.assertIsNotNone(self.expire_at(1005.0))
        self.assertIsNone(self.expire_at(1011.0))

    def test_what_peers_repeat_expires(self):
        """Facts that gateways repeat to each other would never expire."""
        self.table.put('u', 100.0)
        self.assertIsNotNone(self.expire_at(160.0))
        self.assertIsNone(self.expire_at(161.0))

    def test_what_is_not_needed_expires(self):
        self.assertIsNone(
            self.expire_at(161.0, self.found, is_needed=lambda _: False)
        )

    def test_another_incarnation_is_another_key(self):
        self.found.incarnation = 2
        self.assertIsNone(self.table.get(self.found.key))

    def test_the_number_of_facts_is_bounded(self):
        for number in range(incarnation_table.MAX_INCARNATIONS):
            self.table.put(f'v-{number}', self.now)
        self.assertEqual(len(self.table), incarnation_table.MAX_INCARNATIONS)
        self.assertIsNone(self.table.get('u'))

    def test_invalid_values_are_logged_once_in_a_while(self):
        log = incarnation_table.InvalidValueLog(
            lambda name, value: event.ServerLimitInvalid(name, value, '')
        )
        with mock.patch.object(event, 'note') as note:
            for at_s in (100.0, 110.0, 161.0):
                self.now = at_s
                log.note(self.found, [b'\xff' * 100, b'x'])
        self.assertEqual(note.call_count, 2)
        self.assertEqual(len(note.call_args.args[0].value), 80)


if __name__ == '__main__':
    unittest.main()
