"""Pauses that an upstream asks for, and the return from them."""

from __future__ import annotations

import asyncio
import functools
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import event, source
from quetzalsill_gateway.fleet import backoff, members, quota, upstream

REJECTED = 503
PAUSE_S = 3.0
ANSWER_S = 0.03
DATE = b'Wed, 21 Oct 2015 07:28:00 GMT'
LATER = b'Wed, 21 Oct 2015 07:28:05 GMT'


class ParseTest(unittest.TestCase):
    """Headers of any content."""

    def test_valid_and_invalid_values(self):
        for values, expected in (
            ([b'3'], 3.0),
            ([b' 0.25 '], 0.25),
            ([b'.5'], 0.5),
            ([b'0'], 0.0),
            ([b'3', b'5'], 5.0),
            ([b'3, 5'], 5.0),
            ([b'x', b'2'], 2.0),
            ([b'9' * 400], backoff.MAX_PAUSE_S),
            ([LATER], 5.0),
            ([DATE], 0.0),
            ([b''], None),
            ([b'-3'], None),
            ([b'nan'], None),
            ([b'inf'], None),
            ([b'1e3'], None),
            ([b'soon'], None),
            ([b'\xff'], None),
            ([], None),
        ):
            with self.subTest(values=values):
                self.assertEqual(backoff.parse(values, DATE), expected)

    def test_a_date_counts_from_that_of_the_response(self):
        """The clock of this host may differ, or jump."""
        for date in (None, b'', b'yesterday', b'Wed, 21 Oct 2015 07:28:00'):
            self.assertIsNone(backoff.parse([LATER], date))

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.binary(max_size=30), max_size=3), st.binary(max_size=30))
    def test_any_bytes_give_a_time_or_none(self, values, date):
        found = backoff.parse(values, date)
        self.assertTrue(found is None or 0.0 <= found <= backoff.MAX_PAUSE_S)

    def test_a_year_out_of_range_is_no_date(self):
        value = b'Wed, 21 Oct ' + b'9' * 30 + b' 07:28:00 GMT'
        self.assertIsNone(backoff.parse([value], DATE))


def on_virtual_time(method):
    """Makes a test of a coroutine method, which runs on virtual time."""

    @functools.wraps(method)
    def test(self):
        async def work():
            await self.set_up()
            await method(self)

        clock.run(work)

    return test


class VirtualTimeTest(unittest.TestCase):
    """Two upstreams, and one gateway that has not been asked for a pause."""

    async def set_up(self):
        self.found = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        self.other = upstream.Upstream('v', 's', ('10.0.0.1', 2), 'z')
        self.members = members.Members('entry-1')
        self.members.add_listed((), 0.0)
        self.backoffs = backoff.Backoffs(self.members)
        await asyncio.sleep(10.0)

    def now(self):
        return asyncio.get_running_loop().time()

    def respond(self, *values, status=REJECTED, sent_s=None, found=None):
        self.backoffs.record_response(
            found or self.found,
            status,
            values,
            None,
            self.now() if sent_s is None else sent_s,
        )

    def allows(self):
        return self.backoffs.allows(self.found)


class PauseTest(VirtualTimeTest):
    """One gateway and one upstream."""

    @on_virtual_time
    async def test_it_holds_until_its_end(self):
        self.respond(b'3')
        await asyncio.sleep(2.99)
        self.assertFalse(self.allows())
        await asyncio.sleep(0.02)
        self.assertTrue(self.allows())

    @on_virtual_time
    async def test_a_shorter_one_does_not_shorten_it(self):
        self.respond(b'3')
        await asyncio.sleep(0.1)
        self.respond(b'0.2')
        await asyncio.sleep(1.0)
        self.assertFalse(self.allows())

    @on_virtual_time
    async def test_a_longer_one_extends_it(self):
        self.respond(b'1')
        self.respond(b'3')
        await asyncio.sleep(2.9)
        self.assertFalse(self.allows())

    @on_virtual_time
    async def test_a_success_in_flight_does_not_end_it(self):
        """A call that was sent before is answered within the pause."""
        self.respond(b'3')
        for _ in range(20):
            self.respond(status=200, sent_s=self.now() - 1.0)
        self.assertFalse(self.allows())

    @on_virtual_time
    async def test_other_rejections_ask_for_no_pause(self):
        for status, values in (
            (REJECTED, ()),
            (REJECTED, (b'0',)),
            (REJECTED, (b'-3',)),
            (REJECTED, (b'soon',)),
            (429, (b'3',)),
            (500, (b'3',)),
            (200, (b'3',)),
        ):
            self.respond(*values, status=status)
            self.assertTrue(self.allows(), (status, values))

    @on_virtual_time
    async def test_it_is_of_one_incarnation(self):
        self.respond(b'1000000')
        self.found.incarnation = 2
        self.assertTrue(self.allows())

    @on_virtual_time
    async def test_one_run_may_resume_within_it(self):
        """A stopped run is lost if no engine takes it."""
        self.assertTrue(self.backoffs.try_resume(self.found))
        self.respond(b'3')
        self.assertTrue(self.backoffs.try_resume(self.found))
        self.assertFalse(self.backoffs.try_resume(self.found))

    @on_virtual_time
    async def test_its_begin_and_end_are_logged(self):
        with mock.patch.object(event, 'note') as note:
            for _ in range(3):
                self.respond(b'3')
            self.respond(b'2.5')
            await asyncio.sleep(10.0)
        names = [type(call.args[0]).__name__ for call in note.call_args_list]
        self.assertEqual(names, ['ServerBackoff', 'ServerBackoffEnded'])

    @on_virtual_time
    async def test_a_pause_without_end_costs_no_memory(self):
        """It ends with the incarnation at the latest."""
        self.respond(b'9' * 30)
        await asyncio.sleep(1e6)
        self.backoffs.expire([self.found])
        self.assertFalse(self.allows())
        self.backoffs.expire([])
        self.assertTrue(self.backoffs)


class ReturnTest(VirtualTimeTest):
    """The time after a pause."""

    async def send(self, answers=True):
        """Sends what is allowed at once; returns the number of requests."""
        sent = 0
        while self.allows():
            self.backoffs.consume(self.found)
            sent += 1
        sent_s = self.now()
        await asyncio.sleep(ANSWER_S)
        if answers:
            for _ in range(sent):
                self.respond(status=200, sent_s=sent_s)
        return sent

    @on_virtual_time
    async def test_load_returns_gradually(self):
        """All that waits would be sent at once, and rejected again."""
        self.respond(b'3')
        await asyncio.sleep(PAUSE_S)
        self.assertEqual([await self.send() for _ in range(3)], [1, 2, 4])

    @on_virtual_time
    async def test_it_is_complete_after_some_answers(self):
        self.respond(b'3')
        await asyncio.sleep(PAUSE_S)
        for _ in range(4):
            await self.send()
            if not self.backoffs.is_active(self.found):
                break
        self.assertFalse(self.backoffs.is_active(self.found))

    @on_virtual_time
    async def test_an_upstream_that_answers_nothing_is_tried_again(self):
        """A lost request would keep all others away for good."""
        self.respond(b'3')
        await asyncio.sleep(PAUSE_S)
        self.assertEqual(await self.send(answers=False), 1)
        self.assertEqual(await self.send(answers=False), 0)
        await asyncio.sleep(0.25)
        self.assertEqual(await self.send(answers=False), 1)

    @on_virtual_time
    async def test_a_rejection_begins_the_next_pause(self):
        self.respond(b'3')
        await asyncio.sleep(PAUSE_S)
        self.backoffs.consume(self.found)
        self.respond(b'3')
        self.assertFalse(self.allows())


class QuotaTest(VirtualTimeTest):
    """When calls may be sent, and when refused ones may come again."""

    async def set_up(self):
        await super().set_up()
        self.quota = quota.Quota(
            source.RoutingTableHolder(),
            self.members,
            quota.Warmup(),
            lambda _: quota.Connections(0, 0),
            backoffs=self.backoffs,
        )
        self.both = [self.found, self.other]

    @on_virtual_time
    async def test_the_earliest_end_counts_where_all_pause(self):
        self.respond(b'3')
        self.assertFalse(self.quota.is_limited(self.both))
        self.assertEqual(self.quota.pause_s(self.both), 0.0)
        self.respond(b'5', found=self.other)
        self.assertTrue(self.quota.is_limited(self.both))
        self.assertAlmostEqual(self.quota.pause_s(self.both), 3.0)
        self.assertAlmostEqual(self.quota.wait_s(self.both), 3.0)
        self.assertFalse(any(map(self.quota.allows, self.both)))

    @on_virtual_time
    async def test_those_behind_others_wait_longer(self):
        self.respond(b'3')
        waits_s = [self.quota.wait_s([self.found], n) for n in range(4)]
        self.assertEqual(waits_s, sorted(set(waits_s)))


class FleetTest(VirtualTimeTest):
    """Gateways that were all asked for a pause at the same moment."""

    async def return_times(self, gateways):
        """Returns how long after the pause each gateway sends again."""
        names = [f'entry-{n}' for n in range(gateways)]
        found = []
        for name in names:
            known = members.Members(name)
            known.add_listed(names, self.now())
            self.backoffs = backoff.Backoffs(known)
            self.respond(b'3')
            found.append(self.backoffs.left_s(self.found) - PAUSE_S)
        return found

    @on_virtual_time
    async def test_they_do_not_return_together(self):
        """The first requests of all at once would be rejected again."""
        for gateways in (5, 68, 480):
            times_s = await self.return_times(gateways)
            self.assertGreaterEqual(min(times_s), 0.0)
            self.assertLessEqual(max(times_s), 5.0)
            width_s = max(0.75, 0.01 * gateways)
            early = sum(at_s < width_s / 4 for at_s in times_s)
            self.assertLessEqual(early, gateways / 2)

    @on_virtual_time
    async def test_one_alone_returns_at_the_end(self):
        self.assertEqual(
            [round(at_s, 6) for at_s in await self.return_times(1)], [0.0]
        )


if __name__ == '__main__':
    unittest.main()
