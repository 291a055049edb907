"""Which document of the configuration is in force."""

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
    """Makes a routing table without routes of a document."""
    try:
        version = json.loads(data)['version']
    except ValueError as exc:
        raise error.ConfigurationError('no JSON') from exc
    return routing_table.RoutingTable.build(
        version, [], [], None, listener.Limits()
    )


def document(number, name, epoch, version):
    """Returns a document and where it was written."""
    data = json.dumps({'version': number, 'name': name}).encode()
    return source.Document(data, revision.Revision(epoch, version))


class ActiveDocumentTest(unittest.TestCase):
    """Documents come in any order, and more than once."""

    def setUp(self):
        quiet = mock.patch.object(event, 'note')
        self.note = quiet.start()
        self.addCleanup(quiet.stop)

    def after(self, *found):
        """Returns what is in force after documents in an order."""

        async def work():
            held = active_document.ActiveDocument(
                read, source.RoutingTableHolder()
            )
            for one in found:
                held.install(one)
            return held

        return clock.run(work)

    def test_every_order_ends_with_the_same(self):
        """Some gateways are told by the store, some by others, some late.

        Of two that bear one number each would keep what it heard first.
        """
        documents = [
            document(4, 'old', 2, 90),
            document(5, 'first', 1, 700),
            document(5, 'second', 2, 60),
            document(5, 'first', 1, 650),
        ]
        for order in itertools.permutations(documents):
            self.assertEqual(self.after(*order).data, documents[2].data)

    def test_what_is_written_again_is_the_same(self):
        first, again = document(5, 'a', 1, 7), document(5, 'a', 2, 3)
        held = self.after(first, again, first)
        self.assertEqual(held.mod_revision, again.mod_revision)
        told = [call.args[0] for call in self.note.call_args_list]
        kinds = [type(one) for one in told]
        self.assertEqual(kinds, [event.ConfigurationInstalled])

    def test_one_that_cannot_be_read_counts_for_nothing(self):
        bad = source.Document(b'{', revision.Revision(9, 9))
        good = document(5, 'a', 1, 7)
        self.assertEqual(self.after(good, bad).data, good.data)

    def test_a_revision_that_never_was_does_not_count_for_good(self):
        """A datagram tells the document in force as written far ahead.

        Another with that number would never count here, and does elsewhere.
        """

        async def work():
            held = active_document.ActiveDocument(
                read, source.RoutingTableHolder()
            )
            held.install(document(5, 'first', 1, 7))
            far = revision.Revision(1, 2**50)
            told = update.ConfigurationUpdate(far, 5, mod_revision=far)
            self.assertFalse(held.is_superseded_by(told))
            held.cap_revision(revision.Revision(1, 20))
            held.install(document(5, 'second', 1, 21))
            return held.data

        self.assertIn(b'second', clock.run(work))


if __name__ == '__main__':
    unittest.main()
