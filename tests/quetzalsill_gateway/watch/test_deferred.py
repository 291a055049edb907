"""Tests of announcements of answers that came second."""

from __future__ import annotations

import asyncio
import random
import unittest

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway.fleet import publish_timing, revision
from quetzalsill_gateway.watch import deferred

FIRST, SECOND = revision.Revision(0, 1), revision.Revision(0, 2)


class DeferredAnnouncementTest(unittest.TestCase):
    """What has been announced once all delays are over."""

    def announced(self, scenario, gateways=2, wait_s=2 * deferred.JITTER_S):
        made = []

        async def work():
            one = deferred.DeferredAnnouncement(
                lambda: gateways, random.Random(1)
            )
            scenario(one, made)
            await asyncio.sleep(wait_s)

        clock.run(work)
        return made

    def test_what_nobody_else_announces_is_announced_once(self):
        def scenario(one, made):
            one.note_announced(FIRST)
            for _ in range(2):
                one.schedule(SECOND, lambda: made.append(SECOND))

        self.assertEqual(self.announced(scenario), [SECOND])

    def test_what_another_announces_meanwhile_is_not(self):
        def scenario(one, made):
            one.schedule(SECOND, lambda: made.append(SECOND))
            one.note_announced(SECOND)

        self.assertEqual(self.announced(scenario), [])

    def test_a_large_fleet_waits_for_announcements_on_their_way(self):
        """Otherwise each of many would announce the same, four times over."""

        def scenario(one, made):
            one.schedule(SECOND, lambda: made.append(SECOND))

        arrive_s = publish_timing.spread_s(300, is_urgent=True) / 2
        self.assertEqual(self.announced(scenario, 300, arrive_s), [])
        self.assertEqual(self.announced(scenario, 300, 4 * arrive_s), [SECOND])

    def test_a_false_revision_silences_nobody_for_good(self):
        def scenario(one, made):
            one.note_announced(revision.Revision(0, 1_000_000))
            one.reset()
            one.schedule(SECOND, lambda: made.append(SECOND))

        self.assertEqual(self.announced(scenario), [SECOND])


if __name__ == '__main__':
    unittest.main()
