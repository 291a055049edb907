"""News in datagrams, of gateways of this release and of the one before."""

from __future__ import annotations

import unittest

from quetzalsill_dev.simulation import legacy
from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import revision, upstream, zones
from quetzalsill_gateway.peers import frame, update_codec
from quetzalsill_gateway.watch import update

AT = revision.Revision(3, 7)
ENGINE = upstream.Upstream('u-1', 's', ('10.0.0.1', 80), 'z')
MEMBERSHIP = update.MembershipUpdate(
    revision.Revision(3, 5),
    AT,
    (
        upstream.Change('u-1', AT, ENGINE),
        upstream.Change('u-2', revision.Revision(3, 6), None),
    ),
    1.5,
)
CONFIGURATION = update.ConfigurationUpdate(
    AT,
    9,
    b'patch',
    (zones.Drain('z', revision.Revision(2, 90), True),),
    mod_revision=revision.Revision(3, 2),
    digest=b'12345678',
)


def heard(data):
    """Returns the news of a datagram."""
    return update_codec.decode(*frame.unpack(data))[1]


class UpdateCodecTest(unittest.TestCase):
    """Fields of news."""

    def test_epochs_are_told(self):
        told = heard(update_codec.encode('entry-1', CONFIGURATION))
        self.assertEqual(told, CONFIGURATION)
        self.assertEqual(told.sender, 'entry-1')
        told = heard(update_codec.encode('entry-1', MEMBERSHIP))
        self.assertEqual((told.since, told.revision), (MEMBERSHIP.since, AT))
        revisions = [one.revision for one in told.changes]
        self.assertEqual(revisions, [AT, revision.Revision(3, 6)])

    def test_news_of_the_release_before_is_of_no_epoch(self):
        """A gateway that knows no epochs tells bare versions.

        Misread as of the newest epoch, they would hide what is newer there.
        """
        told = heard(legacy.encode('entry-1', MEMBERSHIP))
        self.assertEqual(told.since, revision.Revision(0, 5))
        self.assertEqual(told.revision, revision.Revision(0, 7))
        self.assertEqual(told.changes[1].revision, revision.Revision(0, 6))
        self.assertEqual(told.changes[0].upstream.address, ENGINE.address)
        self.assertEqual(told.grace_s, 1.5)

    def test_its_configuration_is_told_all_the_same(self):
        plain_news = update.ConfigurationUpdate(
            revision.Revision(0, 8),
            9,
            b'patch',
            (zones.Drain('z', revision.Revision(0, 6), True),),
        )
        self.assertEqual(
            heard(legacy.encode('entry-1', plain_news)), plain_news
        )

    def test_it_leaves_out_what_it_would_misread(self):
        """To it, the kinds of this release are none that it knows.

        In the form that it knows, a lower version of a later epoch would be
        older to it than what is lost, and a higher one hide what it lacks.
        """
        known = {1, 2, 3, 4, 5}
        for told in (MEMBERSHIP, CONFIGURATION):
            kind, _ = frame.unpack(update_codec.encode('entry-1', told))
            self.assertNotIn(int(kind), known)
        self.assertEqual(frame.VERSION, 8)

    def test_figures_that_make_no_sense_are_a_failure_or_bounded(self):
        def configuration(at, drains=(), written=(0, 0), digest=b''):
            fields = ('e', at, 1, b'', drains, False, written, digest)
            return frame.pack(frame.Kind.CONFIGURATION, fields)

        told = heard(configuration((2**60, -4)))
        self.assertEqual(told.revision, revision.Revision(revision.MAX, 0))
        told = heard(configuration((1, 5), written=(9, 9)))
        self.assertEqual(told.mod_revision, revision.Revision(1, 5))
        wrong = (
            configuration(7),
            configuration((1,)),
            configuration((1, 2, 3)),
            configuration(('x', 2)),
            configuration((1, 2), drains=[('z', (1, 3), True)]),
            configuration((1, 2), drains=[('z', 1, True)]),
            configuration((1, 2), digest='text'),
            configuration((1, 2), digest=b'x' * 100),
        )
        for data in wrong:
            with self.assertRaises(error.PeerError):
                heard(data)


if __name__ == '__main__':
    unittest.main()
