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

    def __init__(self, report, holders=None, dead=(), cut_off=()):
        """Creates the gateways.

        Args:
          report: Returns the outcome for a gateway at a time.
          holders: Gateways with runs at the engine; all if None.
          dead: Gateways that never ask.
          cut_off: Gateways that receive nothing from the others.
        """
        self.names = [f'entry-{n}' for n in range(GATEWAYS)]
        self.holders = self.names if holders is None else holders
        self.report = report
        self.dead = dead
        self.cut_off = cut_off
        self.asked = []
        self.upstreams = {}
        self.gateways = {}
        self.grace_s = GRACE_S

    def order(self):
        return lapsed_engines.rank('u-1', self.holders or self.names)

    def run(self, at_s=4.0):
        """Returns the gateways that asked, with the times."""

        async def work():
            for name in self.names:
                if name not in self.dead:
                    self.add(name)
            for name, gateway in self.gateways.items():
                gateway.start(self.upstreams[name])
            await asyncio.sleep(at_s)

        with mock.patch.object(event, 'note') as note:
            clock.run(work)
        self.events = [call.args[0] for call in note.call_args_list]
        return self.asked

    def add(self, name):
        upstream = upstream_lib.Upstream('u-1', 's', ('10.0.0.1', 80), 'z')
        self.upstreams[name] = upstream

        async def ask(_):
            now = asyncio.get_running_loop().time()
            self.asked.append((name, round(now, 2)))
            await asyncio.sleep(CALL_S)
            outcome = self.report(name, now)
            if outcome is Outcome.LEAVING:
                upstream.leaving = True
                self.deliver(name, lambda other: self.mark_leaving(other))
            return lapsed_engines.Answer(outcome)

        gateway = lapsed_engines.LapsedEngines(
            name, ask, lambda _: self.holders or self.names, self.is_lapsed
        )
        gateway.set_announcer(
            lambda update: self.deliver(
                name, lambda other: self.gateways[other].receive(update)
            )
        )
        self.gateways[name] = gateway

    def is_lapsed(self, _):
        return asyncio.get_running_loop().time() < self.grace_s

    def mark_leaving(self, name):
        self.upstreams[name].leaving = True

    def deliver(self, sender, action):
        for other in self.gateways:
            if other != sender and other not in self.cut_off:
                asyncio.get_running_loop().call_later(CALL_S, action, other)


class LapsedEnginesTest(unittest.TestCase):
    """One gateway at a time asks."""

    def test_one_request_for_each_missing_row(self):
        """Each of 28 gateways asking would load a busy engine."""
        fleet = Fleet(lambda *_: Outcome.LEAVING)
        self.assertEqual(fleet.run(), [(fleet.order()[0], 0.0)])
        [found] = fleet.events
        self.assertEqual((found.leaving, found.asked_by_turn), (True, 0))

    def test_first_gateway_is_lost(self):
        """The first two gateways have crashed, so the third asks."""
        fleet = Fleet(lambda *_: Outcome.LEAVING)
        order = fleet.order()
        fleet.dead = order[:2]
        self.assertEqual(fleet.run(), [(order[2], 0.3)])

    def test_old_report_is_checked_once(self):
        """The report dates from before the notice, which is 0.4 s old."""
        fleet = Fleet(
            lambda _, now: Outcome.LEAVING if now > 0.5 else Outcome.SERVING
        )
        first = fleet.order()[0]
        self.assertEqual(fleet.run(), [(first, 0.0), (first, 0.56)])

    def test_serving_engine_is_asked_twice_in_all(self):
        """A live engine whose entry is late isn't asked all the time."""
        fleet = Fleet(lambda *_: Outcome.SERVING)
        self.assertEqual([at_s for _, at_s in fleet.run()], [0.0, 0.56])

    def test_answers_of_the_same_report_are_no_check(self):
        """Another gateway that has heard nothing asks 0.15 s later."""
        fleet = Fleet(lambda *_: Outcome.SERVING)
        order = fleet.order()
        fleet.cut_off = order[1:2]
        asked = [at_s for name, at_s in fleet.run() if name == order[0]]
        self.assertEqual(asked, [0.0, 0.56])

    def test_only_gateways_with_runs_ask(self):
        """A gateway without runs there has nothing to lose."""
        holders = ['entry-3', 'entry-9']
        fleet = Fleet(lambda *_: Outcome.NO_ANSWER, holders)
        self.assertEqual({name for name, _ in fleet.run()}, set(holders))

    def test_nobody_has_runs_there(self):
        """New work may still go to the engine, so one of all asks."""
        fleet = Fleet(lambda *_: Outcome.LEAVING, holders=[])
        self.assertEqual(len(fleet.run()), 1)

    def test_engine_does_not_answer(self):
        """The engine hangs, or some gateways can't reach it."""
        fleet = Fleet(lambda *_: Outcome.NO_ANSWER)
        asked = fleet.run()
        times = [at_s for _, at_s in asked]
        self.assertEqual(times[:3], [0.0, RETRY_S, 2 * RETRY_S])
        self.assertEqual(asked[1][0], fleet.order()[1])
        self.assertLess(times[-1], GRACE_S)
        self.assertLess(len(asked), 10)

    def test_unreachable_from_the_first_gateway(self):
        """A partition between one gateway and the engine hides no notice."""
        fleet = Fleet(lambda *_: Outcome.LEAVING)
        order = fleet.order()
        fleet.report = lambda name, _: (
            Outcome.NO_ANSWER if name == order[0] else Outcome.LEAVING
        )
        self.assertEqual(fleet.run(), [(order[0], 0.0), (order[1], RETRY_S)])

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
