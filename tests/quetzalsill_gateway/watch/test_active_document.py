"""Tests of which configuration document is active."""

from __future__ import annotations

import itertools
import json
import unittest
from unittest import mock

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import error, event, routing_table, source
from quetzalsill_gateway.fleet import revision
from quetzalsill_gateway.http import listener
from quetzalsill_gateway.watch import active_document, update


def read(data):
    """Builds a routing table without routes from a document."""
    try:
        version = json.loads(data)['version']
    except ValueError as exc:
        raise error.ConfigurationError('no JSON') from exc
    return routing_table.RoutingTable.build(
        version, [], [], None, listener.Limits()
    )


def document(number, name, epoch, version):
    """Returns a document that was written at the given revision."""
    data = json.dumps({'version': number, 'name': name}).encode()
    return source.Document(data, revision.Revision(epoch, version))


class ActiveDocumentTest(unittest.TestCase):
    """Documents arrive in any order, and more than once."""

    def setUp(self):
        patcher = mock.patch.object(event, 'note')
        self.note = patcher.start()
        self.addCleanup(patcher.stop)

    def after(self, *found):
        """Returns the active document after documents in the given order."""

        async def work():
            held = active_document.ActiveDocument(
                read, source.RoutingTableHolder()
            )
            for one in found:
                held.install(one)
            return held

        return clock.run(work)

    def test_every_order_ends_with_the_same(self):
        """Gateways receive documents from the store or from peers, some late.

        Without a rule for two documents with the same number, each gateway
        would keep the one that it received first.
        """
        documents = [
            document(4, 'old', 2, 90),
            document(5, 'first', 1, 700),
            document(5, 'second', 2, 60),
            document(5, 'first', 1, 650),
        ]
        for order in itertools.permutations(documents):
            self.assertEqual(self.after(*order).data, documents[2].data)

    def test_a_document_written_again_is_the_same(self):
        first, again = document(5, 'a', 1, 7), document(5, 'a', 2, 3)
        held = self.after(first, again, first)
        self.assertEqual(held.mod_revision, again.mod_revision)
        events = [call.args[0] for call in self.note.call_args_list]
        kinds = [type(one) for one in events]
        self.assertEqual(kinds, [event.ConfigurationInstalled])

    def test_an_invalid_document_is_ignored(self):
        bad = source.Document(b'{', revision.Revision(9, 9))
        good = document(5, 'a', 1, 7)
        self.assertEqual(self.after(good, bad).data, good.data)

    def test_a_revision_that_never_existed_does_not_count_for_good(self):
        """An update has a revision of the document far ahead of the source.

        A later document with the same number would then never become active
        here, but would elsewhere.
        """

        async def work():
            held = active_document.ActiveDocument(
                read, source.RoutingTableHolder()
            )
            held.install(document(5, 'first', 1, 7))
            far = revision.Revision(1, 2**50)
            received = update.ConfigurationUpdate(far, 5, mod_revision=far)
            self.assertFalse(held.is_superseded_by(received))
            held.cap_revision(revision.Revision(1, 20))
            held.install(document(5, 'second', 1, 21))
            return held.data

        self.assertIn(b'second', clock.run(work))


if __name__ == '__main__':
    unittest.main()
