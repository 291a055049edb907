"""Updates in datagrams of this release and of the previous one."""

from __future__ import annotations

import contextlib
import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill_dev.simulation import legacy
from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import revision, upstream, zones
from quetzalsill_gateway.peers import frame, lapse_codec, update_codec
from quetzalsill_gateway.watch import lapsed_engines
from quetzalsill_gateway.watch import update as update_lib

AT = revision.Revision(3, 7)
ENGINE = upstream.Upstream('u-1', 's', ('10.0.0.1', 80), 'z')
MEMBERSHIP = update_lib.MembershipUpdate(
    revision.Revision(3, 5),
    AT,
    (
        upstream.Change('u-1', AT, ENGINE),
        upstream.Change('u-2', revision.Revision(3, 6), None),
    ),
    1.5,
)
CONFIGURATION = update_lib.ConfigurationUpdate(
    AT,
    9,
    b'patch',
    (zones.Drain('z', revision.Revision(2, 90), True),),
    mod_revision=revision.Revision(3, 2),
    digest=b'12345678',
)

VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=300),
    strategies.binary(max_size=8),
    strategies.lists(strategies.integers(0, 1), max_size=3),
)


def decode_update(data):
    """Returns the update in a datagram."""
    return update_codec.decode(*frame.unpack(data))[1]


class UpdateCodecTest(unittest.TestCase):
    """Fields of updates."""

    def test_epochs_round_trip(self):
        update = decode_update(update_codec.encode('entry-1', CONFIGURATION))
        self.assertEqual(update, CONFIGURATION)
        self.assertEqual(update.sender, 'entry-1')
        update = decode_update(update_codec.encode('entry-1', MEMBERSHIP))
        self.assertEqual(
            (update.since, update.revision), (MEMBERSHIP.since, AT)
        )
        revisions = [one.revision for one in update.changes]
        self.assertEqual(revisions, [AT, revision.Revision(3, 6)])

    def test_legacy_update_has_epoch_zero(self):
        """A gateway of the previous release sends versions without epochs.

        Decoded as of the newest epoch, they would hide what is newer there.
        """
        update = decode_update(legacy.encode('entry-1', MEMBERSHIP))
        self.assertEqual(update.since, revision.Revision(0, 5))
        self.assertEqual(update.revision, revision.Revision(0, 7))
        self.assertEqual(update.changes[1].revision, revision.Revision(0, 6))
        self.assertEqual(update.changes[0].upstream.address, ENGINE.address)
        self.assertEqual(update.grace_s, 1.5)

    def test_legacy_configuration_is_decoded(self):
        legacy_update = update_lib.ConfigurationUpdate(
            revision.Revision(0, 8),
            9,
            b'patch',
            (zones.Drain('z', revision.Revision(0, 6), True),),
        )
        self.assertEqual(
            decode_update(legacy.encode('entry-1', legacy_update)),
            legacy_update,
        )

    def test_legacy_gateway_drops_new_kinds(self):
        """A gateway of the previous release doesn't know the new kinds.

        Without the epoch, it would take a lower version of a later epoch for
        older than what was lost, and a higher one would hide what it lacks.
        """
        known = {1, 2, 3, 4, 5}
        for update in (MEMBERSHIP, CONFIGURATION):
            kind, _ = frame.unpack(update_codec.encode('entry-1', update))
            self.assertNotIn(int(kind), known)
        self.assertEqual(frame.VERSION, 8)

    def test_impossible_values_are_rejected_or_clamped(self):
        def configuration(at, drains=(), written=(0, 0), digest=b''):
            fields = ('e', at, 1, b'', drains, False, written, digest)
            return frame.pack(frame.Kind.CONFIGURATION, fields)

        update = decode_update(configuration((2**60, -4)))
        self.assertEqual(update.revision, revision.Revision(revision.MAX, 0))
        update = decode_update(configuration((1, 5), written=(9, 9)))
        self.assertEqual(update.mod_revision, revision.Revision(1, 5))
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
                decode_update(data)

    def test_answers_of_lapsed_engines_round_trip(self):
        for outcome in lapse_codec.CODES:
            sent = lapsed_engines.AnswerUpdate('u-1', outcome)
            update = decode_update(update_codec.encode('entry-1', sent))
            self.assertEqual((update, update.sender), (sent, 'entry-1'))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(VALUES, max_size=4))
    def test_malformed_answers_are_rejected(self, fields):
        """A faulty gateway must not stop the others from asking engines."""
        with contextlib.suppress(error.PeerError):
            _, update = update_codec.decode(frame.Kind.LAPSED, fields)
            self.assertIs(type(update.key), str)
            self.assertLessEqual(len(update.key), frame.MAX_KEY_LENGTH)
            self.assertIn(update.outcome, lapse_codec.CODES)


if __name__ == '__main__':
    unittest.main()
