"""Origins of streams, and questions about them, in datagrams."""

from __future__ import annotations

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import software_versions, stream_origins
from quetzalsill_gateway.peers import frame, origin_codec, update_codec
from tests.quetzalsill_gateway.peers import test_account_codec

KINDS = sorted(origin_codec.DECODERS)
KEY = bytes(range(stream_origins.KEY_BYTES))


class OriginCodecTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams of kinds 15 to 18."""

    async def asyncSetUp(self):
        now = asyncio.get_running_loop().time()
        origins = [
            software_versions.Origin('writers', 'v1'),
            software_versions.Origin('writers', '', 'i-1'),
        ]
        self.records = tuple(
            stream_origins.Record(
                bytes([number]) * stream_origins.KEY_BYTES,
                origins[number % 2],
                now + 30.0,
            )
            for number in range(stream_origins.MAX_ITEMS)
        )
        self.versions = origin_codec.VersionsUpdate(
            (('writers', 'v1', 2.5),), 100.0, is_fresh=True
        )

    async def test_they_round_trip(self):
        for update in (
            origin_codec.OriginQuery(KEY, 'writers'),
            origin_codec.OriginAnswer(KEY, None, self.versions),
            self.versions,
        ):
            data = update_codec.encode('g-1', update)
            found = test_account_codec.decode(data)
            self.assertEqual((found, found.sender), (update, 'g-1'))

    async def test_records_fit_one_datagram(self):
        update = stream_origins.OriginUpdate(self.records)
        data = update_codec.encode('g-1', update)
        self.assertLess(len(data), 1_400)
        found = test_account_codec.decode(data).records
        self.assertEqual(
            {one.key: one.origin for one in found},
            {one.key: one.origin for one in self.records},
        )
        for one in found:
            self.assertAlmostEqual(
                one.expires_s, self.records[0].expires_s, delta=1.0
            )

    async def test_an_answer_about_another_stream(self):
        """A faulty sender gives a stream the origin of another."""
        answer = origin_codec.OriginAnswer(KEY, self.records[0], self.versions)
        with self.assertRaises(error.PeerError):
            test_account_codec.decode(update_codec.encode('g-1', answer))

    async def test_the_decoder_takes_anything(self):
        """A faulty sender must not stop the task that receives datagrams."""

        @test_account_codec.SETTINGS
        @hypothesis.given(
            strategies.sampled_from(KINDS),
            strategies.lists(test_account_codec.VALUES, max_size=4),
        )
        def check(kind, fields):
            try:
                test_account_codec.decode(frame.pack(kind, tuple(fields)))
            except error.PeerError:
                return

        check()


if __name__ == '__main__':
    unittest.main()
