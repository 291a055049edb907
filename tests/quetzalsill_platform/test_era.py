"""Tests of the header in which the store sends its epoch."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

from quetzalsill_platform import era, rows
from quetzalsill_platform import store as store_lib

from quetzalsill_dev.simulation import clock
from quetzalsill_dev.users_platform import scripted
from quetzalsill_gateway import error, event
from quetzalsill_gateway.fleet import revision
from quetzalsill_gateway.http import pool
from quetzalsill_gateway.watch import epoch as epoch_lib

HUGE = 2**53 + 1


def header(*values):
    """Returns headers with one epoch header for each value."""
    return [(b'date', b'x')] + [(era.HEADER, value) for value in values]


class ReaderTest(unittest.TestCase):
    """Valid, invalid and missing values of the header."""

    def setUp(self):
        self.reader = era.EpochReader()

    def test_a_store_that_never_sends_it_stays_in_its_first_epoch(self):
        for _ in range(3):
            self.assertEqual(self.reader.read(header(), 0), 0)

    def test_it_is_a_whole_number(self):
        for text, epoch in ((b'0', 0), (b'7', 7), (b'%d' % 2**53, 2**53)):
            self.assertEqual(self.reader.read(header(text), 0), epoch)

    def test_anything_else_is_a_failure_that_names_it(self):
        """Rejects text, signs, fractions, non-ASCII digits and huge numbers.

        Accepting them as some number would start an epoch too early or keep an
        old one.
        """
        wrong = (b'', b'x', b'-1', b'+1', b'1.0', b' 1 2', b'1e3', b'0x1')
        for text in (*wrong, '٣'.encode(), b'%d' % HUGE, b'9' * 5000):
            with self.subTest(text[:20]):
                with self.assertRaises(error.MalformedSourceError) as caught:
                    self.reader.read(header(text), 0)
                self.assertIn('store-era', str(caught.exception))
                self.assertLess(len(str(caught.exception)), 200)
                self.assertTrue(caught.exception.advice)

    def test_two_that_differ_are_a_failure(self):
        self.assertEqual(self.reader.read(header(b'3', b'3'), 0), 3)
        with self.assertRaises(error.MalformedSourceError):
            self.reader.read(header(b'3', b'4'), 3)

    def test_responses_without_it_are_rejected(self):
        """A proxy drops the header from some responses.

        If such a response counted for the previous epoch, the gateway would
        continue from a version that has been assigned again.
        """

        async def scenario():
            self.reader.read(header(b'2'), 0)
            for _ in range(10):
                with self.assertRaises(error.MalformedSourceError) as caught:
                    self.reader.read(header(), 2)
                self.assertIn('store-era', str(caught.exception))
                await asyncio.sleep(era.MISSING_HEADER_GRACE_S / 2)
                self.reader.read(header(b'2'), 2)
                await asyncio.sleep(era.MISSING_HEADER_GRACE_S)

        clock.run(scenario)

    def test_a_store_that_no_longer_sends_it_is_accepted_again(self):
        """A store that never sends the header sends it once by mistake.

        Without a time limit, every later response would be rejected.
        """

        async def scenario():
            self.reader.read(header(b'2'), 0)
            with self.assertRaises(error.MalformedSourceError):
                self.reader.read(header(), 2)
            await asyncio.sleep(era.MISSING_HEADER_GRACE_S + 1.0)
            self.assertEqual(self.reader.read(header(), 2), 2)

        clock.run(scenario)


class RowsTest(unittest.TestCase):
    """Metadata fields that the store itself writes."""

    def test_a_field_of_another_kind_is_a_failure_that_names_it(self):
        row = {'key': 'a', 'ver': 3, 'value': 'e30='}
        valid = {'rows': [row], 'ver': 5}
        expected = revision.Revision(2, 5)
        self.assertEqual(rows.decode(2, valid).revision, expected)
        for version in (HUGE, -1, 1.5, '7', None, True, [], float('inf')):
            for raw in (
                valid | {'ver': version},
                valid | {'rows': [row | {'ver': version}]},
            ):
                with self.subTest(raw):
                    with self.assertRaises(
                        error.MalformedSourceError
                    ) as caught:
                        rows.decode(0, raw)
                    self.assertIn('ver', str(caught.exception))
        for raw in ({}, {'ver': 1}, {'rows': 7, 'ver': 1}, [], None, 7):
            with self.assertRaises(error.MalformedSourceError):
                rows.decode(0, raw)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a store with scripted responses."""

    async def asyncSetUp(self):
        self.status, self.version = 200, 5
        self.headers, self.extra_fields = {}, {}
        self.server = scripted.ScriptedServer(self.answer)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        conns = pool.Pool()
        self.store = store_lib.Store(conns, self.server.address)
        patcher = mock.patch.object(event, 'note')
        self.note = patcher.start()
        self.addCleanup(patcher.stop)

    async def answer(self, call):
        body = {'rows': [], 'ver': self.version} | self.extra_fields
        call.respond(self.status, json.dumps(body).encode(), self.headers)

    def events_of(self, kind):
        events = [call.args[0] for call in self.note.call_args_list]
        return [record for record in events if isinstance(record, kind)]

    def in_epoch(self, epoch, status=200):
        self.headers = {'Store-Era': str(epoch)}
        self.status = status

    async def test_every_response_carries_it(self):
        """Any response may be the first one of a new epoch.

        While the store is unavailable it is a refusal; the epoch of a refusal,
        of lost history and of a write all count.
        """
        epochs = []
        self.store.epochs.on_change(
            lambda: epochs.append(self.store.epochs.newest)
        )
        self.in_epoch(1)
        await self.store.read('t')
        for epoch, status in enumerate((503, 429, 412, 410), 2):
            self.in_epoch(epoch, status)
            with self.assertRaises(error.SourceError):
                await self.store.read('t')
            self.assertEqual(self.store.epochs.newest, epoch)
        self.in_epoch(6)
        await self.store.write('t', 'k', 1)
        self.assertEqual(epochs, [2, 3, 4, 5, 6])

    async def test_a_feed_of_an_epoch_before_is_not_read_on(self):
        after = revision.Revision(1, 3)
        self.in_epoch(1)
        found = await self.store.changes('t', after, 0.0)
        self.assertEqual(found.revision, revision.Revision(1, 5))
        self.in_epoch(2)
        self.assertIsNone(await self.store.changes('t', after, 0.0))

    async def test_an_answer_of_an_epoch_that_ended_changes_nothing(self):
        self.in_epoch(2)
        await self.store.read('t')
        self.in_epoch(1)
        with self.assertRaises(error.StaleResponseError):
            await self.store.read('t')
        self.assertEqual(self.store.epochs.newest, 2)
        self.assertEqual(len(self.events_of(event.AnswerStale)), 1)

    async def test_an_earlier_call_does_not_confirm_a_lower_epoch(self):
        """A response from before a restore arrives long after it.

        A lower epoch is accepted only from calls that were sent later; the
        test sets the delay before it is accepted to zero.
        """
        released = asyncio.Event()
        for module, name, value in (
            (epoch_lib, 'DOWNGRADE_AFTER_S', -1.0),
            (store_lib, 'CALL_TIMEOUT_S', 60.0),
        ):
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)

        at_server = asyncio.Event()

        async def answer(call):
            body = json.dumps({'rows': [], 'ver': 5}).encode()
            if 'slow' not in str(call.target):
                call.respond(200, body, {'Store-Era': '2'})
                return
            at_server.set()
            await released.wait()
            call.respond(200, body, {'Store-Era': '1'})

        self.server._handler = answer
        slow = asyncio.create_task(self.store.read('slow'))
        await at_server.wait()
        await self.store.read('t')
        self.assertEqual(self.store.epochs.newest, 2)
        released.set()
        with self.assertRaises(error.StaleResponseError):
            await slow
        self.assertEqual(self.store.epochs.newest, 2)

    async def test_pages_of_two_epochs_are_rejected(self):
        """The store is restored between two pages of one listing.

        Combined, the pages would lack rows that the snapshot lacks, and hold
        rows that are gone.
        """
        row = {'key': 'a', 'ver': 1, 'value': 'e30='}
        pages = iter(((1, True), (2, False)))

        async def answer(call):
            number, is_truncated = next(pages)
            self.in_epoch(number)
            self.extra_fields = {'rows': [row], 'truncated': is_truncated}
            await type(self).answer(self, call)

        self.server._handler = answer
        with self.assertRaises(error.SourceError):
            await self.store.read('t')

    async def test_a_long_list_is_as_of_its_first_page(self):
        """A row of the first page changes while the second one is read.

        If the listing had the second page's revision, the change feed would
        continue after the change and never report it.
        """
        row = {'key': 'a', 'ver': 1, 'value': 'e30='}
        pages = iter(((5, True), (9, False)))

        async def answer(call):
            self.version, is_truncated = next(pages)
            self.extra_fields = {'rows': [row], 'truncated': is_truncated}
            await type(self).answer(self, call)

        self.server._handler = answer
        found = await self.store.read('t')
        self.assertEqual(found.revision.version, 5)

    async def test_a_write_that_gets_410_fails(self):
        self.status = 410
        with self.assertRaises(error.SourceError):
            await self.store.write('t', 'k', 1)

    async def test_a_faulty_answer_is_logged_once_a_minute(self):
        """Each gateway polls several times a second while the fault lasts."""
        self.in_epoch(1)
        await self.store.read('t')
        self.headers = {}
        for _ in range(5):
            with self.assertRaises(error.MalformedSourceError):
                await self.store.read('t')
        [logged] = self.events_of(event.AnswerMalformed)
        self.assertIn('store-era', logged.reason)
        self.assertTrue(logged.advice)
        self.assertEqual(self.store.epochs.newest, 1)


if __name__ == '__main__':
    unittest.main()
