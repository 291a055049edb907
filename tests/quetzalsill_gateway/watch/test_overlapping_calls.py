"""Answers to calls during which another gateway was answered."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import unittest
from unittest import mock

from quetzalsill_dev.simulation import clock, watchers
from quetzalsill_gateway import event, source
from quetzalsill_gateway.fleet import revision, upstream
from quetzalsill_gateway.watch import configuration, membership

BOUND_S = 3.0
CALL_S = 0.2
# Less than the time in which another gateway asks.
SOON_S = 0.2
BEFORE, AFTER = revision.Revision(0, 5), revision.Revision(0, 6)
LEAVING = upstream.Change(
    'server-1',
    AFTER,
    upstream.Upstream(
        'server-1',
        'engines',
        ('10.0.0.1', 1),
        'z',
        leaving=True,
        incarnation=1,
    ),
)


def document(number, written):
    data = json.dumps({'version': number}).encode()
    return source.Document(data, written)


class OverlappingCallsTest(unittest.TestCase):
    """A gateway hears of another's answer while its own call waits."""

    def setUp(self):
        quiet = mock.patch.object(event, 'note')
        quiet.start()
        self.addCleanup(quiet.stop)
        self.announced = []

    def play(self, follower, answers):
        """Plays two calls; another gateway tells the same during the second.

        Args:
          follower: Makes the follower, of what answers its calls.
          answers: What the source answers; nothing behind the last.
        """
        script = iter(answers)

        async def ask(_, __):
            await asyncio.sleep(CALL_S)
            found = next(script, None)
            if found is None:
                await asyncio.Event().wait()
            return found

        async def work():
            # As if nothing had been heard for a while.
            await asyncio.sleep(1.0)
            one = follower(ask)
            one.set_announcer(self.announced.append)
            task = asyncio.create_task(one.run())
            # The first call; the second begins soon after it.
            await asyncio.sleep(1.75 * CALL_S)
            (told,) = self.announced
            self.announced.clear()
            one.handle_update(dataclasses.replace(told, sender='entry-2'))
            await asyncio.sleep(CALL_S + SOON_S)
            task.cancel()

        clock.run(work)

    def membership(self, ask):
        return membership.Membership(
            ask, upstream.Upstreams(), source.Health(), BOUND_S
        )

    def configuration(self, ask):
        found = upstream.Upstreams()
        return configuration.Configuration(
            ask,
            watchers._parse_document,
            source.RoutingTableHolder(),
            found.zones,
            source.Health(),
            lambda: 2,
            BOUND_S,
        )

    def notice(self):
        """A list of upstreams, and a notice in the answer that follows."""
        found = upstream.Upstream(
            'server-1', 'engines', ('10.0.0.1', 1), 'z', incarnation=1
        )
        entry = upstream.Change('server-1', BEFORE, found)
        return (
            source.PollResult([entry], BEFORE, is_snapshot=True),
            source.PollResult([LEAVING], AFTER, is_snapshot=False),
        )

    def test_a_notice_that_nobody_else_tells(self):
        """Callers' work goes on to an engine that has said that it leaves.

        The one that was answered first told that nothing is new.
        """
        self.play(self.membership, self.notice())
        self.assertIn(LEAVING, [c for n in self.announced for c in n.changes])

    def test_an_edit_that_nobody_else_tells(self):
        """An edit is in force late everywhere but here."""
        self.play(
            self.configuration,
            (
                source.PollResult(
                    [document(1, BEFORE)], BEFORE, is_snapshot=True
                ),
                source.PollResult(
                    [document(2, AFTER)], AFTER, is_snapshot=False
                ),
            ),
        )
        self.assertIn(2, [told.number for told in self.announced])


if __name__ == '__main__':
    unittest.main()
