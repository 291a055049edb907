"""Which gateway asks an engine whose entry is missing, and when."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import upstream as upstream_lib
from quetzalsill_gateway.watch import lapsed_engines

GATEWAYS = 28
GRACE_S = 2.2
# Duration of a request, and of a datagram.
CALL_S = 0.01
RETRY_S = 0.27
Outcome = lapsed_engines.Outcome


class Fleet:
    """Gateways that notice at the same time that an entry is missing."""

    def __init__(self, report, holders=None):
        self.names = [f'entry-{n}' for n in range(GATEWAYS)]
        self.order = lapsed_engines.rank('u-1', holders or self.names)
        self.report = report
        self.dead = []
        self.deaf = []
        self.late = ''
        self.grace_s = GRACE_S

    def run(self):
        """Returns the gateways that asked, with the times."""
        self.asked = []
        self.upstreams = {}
        self.gateways = {}

        async def work():
            for name in self.names:
                if name not in self.dead:
                    self.add(name)
            for name, gateway in self.gateways.items():
                delay_s = 0.2 if name == self.late else 0.0
                upstream = self.upstreams[name]
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, gateway.start, upstream)
            await asyncio.sleep(4.0)

        with mock.patch.object(event, 'note') as note:
            clock.run(work)
        self.events = [call.args[0] for call in note.call_args_list]
        return self.asked

    def add(self, name):
        self.upstreams[name] = upstream_lib.Upstream('u-1', 's', ('h', 1), 'z')

        def deliver(action):
            for other in {*self.gateways} - {name, *self.deaf}:
                loop = asyncio.get_running_loop()
                loop.call_later(CALL_S, action, other)

        def mark(other):
            self.upstreams[other].leaving = True

        async def ask(_):
            now = asyncio.get_running_loop().time()
            self.asked.append((name, round(now, 2)))
            await asyncio.sleep(CALL_S)
            outcome = self.report(name, now)
            if outcome is Outcome.LEAVING:
                mark(name)
                deliver(mark)
            return lapsed_engines.Answer(outcome)

        self.gateways[name] = lapsed_engines.LapsedEngines(
            name,
            ask,
            lambda _: self.order,
            lambda _: asyncio.get_running_loop().time() < self.grace_s,
        )
        self.gateways[name].set_announcer(
            lambda update: deliver(lambda to: self.gateways[to].receive(update))
        )


class LapsedEnginesTest(unittest.TestCase):
    """One gateway at a time asks."""

    def test_one_request_for_each_missing_row(self):
        """Each of 28 gateways asking would load a busy engine."""
        fleet = Fleet(lambda *_: Outcome.LEAVING)
        self.assertEqual(fleet.run(), [(fleet.order[0], 0.0)])
        [found] = fleet.events
        self.assertEqual((found.leaving, found.asked_by_turn), (True, 0))

    def test_first_gateways_are_lost(self):
        """The first two gateways have crashed, so the third asks."""
        fleet = Fleet(lambda *_: Outcome.LEAVING)
        fleet.dead = fleet.order[:2]
        self.assertEqual(fleet.run(), [(fleet.order[2], 0.3)])

    def test_gateway_hears_of_the_notice_first(self):
        """The first gateway learns late that the entry is missing."""
        fleet = Fleet(lambda *_: Outcome.LEAVING)
        fleet.late = fleet.order[0]
        self.assertEqual(fleet.run(), [(fleet.order[1], 0.15)])

    def test_old_report_is_checked_once(self):
        """The report dates from before the notice, or there is no notice."""
        for later in (Outcome.LEAVING, Outcome.SERVING):
            fleet = Fleet(
                lambda _, now, later=later: (
                    later if now > 0.5 else Outcome.SERVING
                )
            )
            first = fleet.order[0]
            self.assertEqual(fleet.run(), [(first, 0.0), (first, 0.56)])

    def test_answers_of_the_same_report_are_no_check(self):
        """Another gateway that has heard nothing asks 0.15 s later."""
        fleet = Fleet(lambda *_: Outcome.SERVING)
        fleet.deaf = fleet.order[1:2]
        first = [at_s for name, at_s in fleet.run() if name == fleet.order[0]]
        self.assertEqual(first, [0.0, 0.56])

    def test_only_gateways_with_runs_ask(self):
        """A gateway without runs there has nothing to lose."""
        fleet = Fleet(lambda *_: Outcome.NO_ANSWER, ['entry-3', 'entry-9'])
        self.assertEqual({name for name, _ in fleet.run()}, {*fleet.order})

    def test_engine_does_not_answer(self):
        """It hangs, or a link is down: another gateway asks each time."""
        fleet = Fleet(lambda *_: Outcome.NO_ANSWER)
        asked = fleet.run()
        self.assertEqual([name for name, _ in asked], fleet.order[: len(asked)])
        times = [at_s for _, at_s in asked]
        self.assertEqual(times[:3], [0.0, RETRY_S, 2 * RETRY_S])
        self.assertTrue(GRACE_S - RETRY_S <= times[-1] < GRACE_S)

    def test_entry_is_back(self):
        """An engine whose entry is back within the grace isn't asked again."""
        fleet = Fleet(lambda *_: Outcome.SERVING)
        fleet.grace_s = 0.2
        self.assertEqual(len(fleet.run()), 1)

    def test_order_differs_between_engines(self):
        """One gateway would get all requests if many entries are missing."""
        names = [f'entry-{n}' for n in range(GATEWAYS)]
        first = {lapsed_engines.rank(f'u-{n}', names)[0] for n in range(21)}
        self.assertGreater(len(first), 7)
        self.assertEqual(
            lapsed_engines.rank('u-1', names),
            lapsed_engines.rank('u-1', reversed(names)),
        )


if __name__ == '__main__':
    unittest.main()
