"""Tests of answers to calls during which another gateway was answered."""

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
# Less than the time after which another gateway polls.
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
    """A gateway receives an update from a peer while its own call waits."""

    def setUp(self):
        patcher = mock.patch.object(event, 'note')
        patcher.start()
        self.addCleanup(patcher.stop)
        self.announced = []

    def simulate(self, follower, answers):
        """Runs two calls; a peer sends the same update during the second.

        Args:
          follower: Creates the follower, given the function that polls.
          answers: Answers of the source; there is none after the last.
        """
        script = iter(answers)

        async def poll(_, __):
            await asyncio.sleep(CALL_S)
            found = next(script, None)
            if found is None:
                await asyncio.Event().wait()
            return found

        async def work():
            # As if no update had been received for a while.
            await asyncio.sleep(1.0)
            one = follower(poll)
            one.set_announcer(self.announced.append)
            task = asyncio.create_task(one.run())
            # The first call; the second starts soon after it.
            await asyncio.sleep(1.75 * CALL_S)
            (sent,) = self.announced
            self.announced.clear()
            one.handle_update(dataclasses.replace(sent, sender='entry-2'))
            await asyncio.sleep(CALL_S + SOON_S)
            task.cancel()

        clock.run(work)

    def membership(self, poll):
        return membership.Membership(
            poll, upstream.Upstreams(), source.Health(), BOUND_S
        )

    def configuration(self, poll):
        found = upstream.Upstreams()
        return configuration.Configuration(
            poll,
            watchers._parse_document,
            source.RoutingTableHolder(),
            found.zones,
            source.Health(),
            lambda: 2,
            BOUND_S,
        )

    def notice(self):
        """Returns a list of upstreams, and an answer with a drain notice."""
        found = upstream.Upstream(
            'server-1', 'engines', ('10.0.0.1', 1), 'z', incarnation=1
        )
        entry = upstream.Change('server-1', BEFORE, found)
        return (
            source.PollResult([entry], BEFORE, is_snapshot=True),
            source.PollResult([LEAVING], AFTER, is_snapshot=False),
        )

    def test_a_notice_that_nobody_else_announces(self):
        """Guards against work that goes to an engine after its drain notice.

        The gateway that was answered first has announced that nothing is new.
        """
        self.simulate(self.membership, self.notice())
        self.assertIn(LEAVING, [c for n in self.announced for c in n.changes])

    def test_an_edit_that_nobody_else_announces(self):
        """Guards against an edit that all other gateways apply late."""
        self.simulate(
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
        self.assertIn(2, [sent.number for sent in self.announced])


if __name__ == '__main__':
    unittest.main()
