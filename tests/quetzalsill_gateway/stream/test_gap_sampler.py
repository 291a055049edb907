"""Samples of the time between events, as relaying takes them."""

from __future__ import annotations

import asyncio
import time
import types
import unittest
from unittest import mock

from quetzalsill_gateway.balance import upstream_stats
from quetzalsill_gateway.fleet import upstream
from quetzalsill_gateway.stream import gap_sampler, live, loop_delay


class GapSamplerTest(unittest.TestCase):
    """One stream beside two others, one of which is being prefilled."""

    def setUp(self):
        found = upstream.Upstream('e', 's', ('10.0.0.1', 1), 'z')
        stats_table = upstream_stats.StatsTable()
        for is_prefilling in (False, False, True):
            stats_table.of(found).reservations.add(
                upstream_stats.Reservation(1000, 2000, is_prefilling)
            )
        self.delay = loop_delay.LoopDelay()
        self.speeds = mock.Mock()
        core = types.SimpleNamespace(
            stats_table=stats_table,
            engine_speeds=self.speeds,
            loop_delay=self.delay,
        )
        self.found = found
        self.sampler = gap_sampler.GapSampler(core, found)

    def gaps(self):
        calls = self.speeds.record_event.call_args_list
        return [round(call.args[1], 3) for call in calls]

    def test_a_gap_is_shared_by_the_events_of_a_read(self):
        """Events that arrive together make an engine look slow."""
        self.sampler.record(1, 1.0)
        self.sampler.record(2, 1.08)
        self.speeds.record_event.assert_called_once_with(
            self.found, mock.ANY, 2, is_prefilling=True
        )
        self.assertEqual(self.gaps(), [0.04])

    def test_one_sample_in_a_tenth_of_a_second(self):
        """Samples of each event cost as much as relaying it."""
        for number in range(101):
            self.sampler.record(1, 1.0 + number * 0.01)
        self.assertLessEqual(len(self.gaps()), 11)

    def test_no_sample_while_the_caller_does_not_read(self):
        """A slow caller makes an engine look slow."""
        self.sampler.record(1, 1.0)
        self.sampler.resume(1.5)
        self.sampler.record(1, 1.51)
        self.assertEqual(self.gaps(), [])
        self.sampler.record(1, 1.55)
        self.assertEqual(self.gaps(), [0.04])

    def test_no_sample_while_the_loop_is_late(self):
        """A pause of this process makes an engine look slow."""

        async def pause():
            task = asyncio.create_task(self.delay.run())
            await asyncio.sleep(0.01)
            clock = asyncio.get_running_loop().time
            self.sampler.record(1, clock())
            time.sleep(0.2)  # noqa: ASYNC251
            self.sampler.record(1, clock())
            await asyncio.sleep(0.02)
            self.sampler.record(1, clock())
            task.cancel()

        asyncio.run(pause())
        self.assertEqual([gap_s for gap_s in self.gaps() if gap_s > 0.1], [])
        self.assertFalse(loop_delay.LoopDelay().was_late(0.0, 1.0))


class PrefillTest(unittest.IsolatedAsyncioTestCase):
    """A stream behind another one at an engine."""

    async def test_tokens_ahead_count(self):
        """An engine with a queue looks slow at prefill."""
        found = upstream.Upstream('e', 's', ('10.0.0.1', 1), 'z')
        table = upstream_stats.StatsTable()
        table.engine_speeds.record_prefill = mock.Mock()
        streams = live.LiveStreams(table)
        first, second = (
            live.Stream(None, None, upstream_stats.Reservation(1000, 2000))
            for _ in range(2)
        )
        streams.place(first, found)
        streams.place(second, found)
        streams.record_prefill(first, is_sample=False)
        streams.record_prefill(second)
        table.engine_speeds.record_prefill.assert_called_once_with(
            found, 2000, mock.ANY
        )
