"""Reports of engines while nothing confirms the membership."""

from __future__ import annotations

import asyncio
import types
import unittest

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import dialect, source
from quetzalsill_gateway.balance import upstream_stats
from quetzalsill_gateway.fleet import members, revision, upstream
from quetzalsill_gateway.http import error
from quetzalsill_gateway.stream import engine_poll
from quetzalsill_gateway.watch import lapsed_engines

AT = revision.Revision(0, 1)
Outcome = lapsed_engines.Outcome


class EnginePollTest(unittest.TestCase):
    """Which engines are asked, and what counts as an answer."""

    def run_with(self, scenario, **report):
        """Runs a scenario with an engine that sends a report."""
        fields = {'leaving': False, 'leaving_in_s': None} | report
        self.report = dialect.Report(0, 0, 0, 0, runs=(), **fields)
        self.asked = []

        async def fetch(engine):
            self.asked.append(engine.id)
            if isinstance(self.report, Exception):
                raise self.report
            return self.report

        async def work():
            service = types.SimpleNamespace(engine=object())
            table = types.SimpleNamespace(services={'s': service})
            self.core = types.SimpleNamespace(
                upstreams=upstream.Upstreams(),
                stats_table=upstream_stats.StatsTable(),
                health=source.Health(),
                live=types.SimpleNamespace(of=lambda found: [found]),
                calls=types.SimpleNamespace(report=fetch),
                holder=types.SimpleNamespace(current=table),
                members=members.Members('entry-1'),
            )
            await asyncio.sleep(1.0)
            self.core.upstreams.mark_confirmed()
            entry = upstream.Upstream(
                'u-1', 's', ('10.0.0.1', 80), 'z', incarnation=20
            )
            self.core.upstreams.put(entry, AT)
            self.engine = self.core.upstreams.get('u-1')
            await scenario()

        clock.run(work)

    def test_silent_watch_while_the_store_is_not_known_to_be_down(self):
        """Calls to the store neither fail nor return, and an engine leaves."""

        async def scenario():
            task = asyncio.create_task(engine_poll.run(self.core))
            await asyncio.sleep(0.7)
            self.assertEqual(self.asked, [])
            await asyncio.sleep(0.4)
            self.assertFalse(self.core.health.is_down)
            self.assertTrue(self.engine.leaving)
            self.assertEqual(len(self.asked), 1)
            task.cancel()

        self.run_with(scenario, leaving=True, leaving_in_s=1.4)
        [stats] = [stats for _, stats in self.core.stats_table.items()]
        self.assertAlmostEqual(stats.leaves_at_s, 2.9, delta=0.3)

    def test_polls_are_no_more_frequent_than_in_a_known_outage(self):
        """An outage that is noticed meanwhile must not add polls."""

        async def scenario():
            task = asyncio.create_task(engine_poll.run(self.core))
            await asyncio.sleep(2.0)
            self.core.health.mark_down('membership', 'busy')
            await asyncio.sleep(2.0)
            self.assertLessEqual(len(self.asked), 14)
            self.assertGreater(len(self.asked), 10)
            task.cancel()

        self.run_with(scenario)

    def test_only_the_known_incarnation_counts(self):
        """Another process has the address, or nobody answers there."""

        async def scenario():
            for answer in (self.report, error.CallError('10.0.0.1:80')):
                self.report = answer
                found = await engine_poll.ask(self.core, self.engine)
                self.assertIs(found.outcome, Outcome.NO_ANSWER)
                self.assertFalse(self.engine.leaving)

        self.run_with(scenario, leaving=True, incarnation=10)

    def test_gateways_with_runs_are_the_same_for_all(self):
        """Those with runs there ask; all if nobody has; none if no engine."""

        async def scenario():
            stats = self.core.stats_table.of(self.engine)
            self.core.members.mark_seen(['entry-2'], 1.0)
            self.assertEqual(self.askers(), {'entry-1', 'entry-2'})
            load = upstream_stats.usage_lib.Usage(100, 0, 1)
            stats.set_peer_load('entry-3', load)
            self.assertEqual(self.askers(), {'entry-3'})
            stats.reservations.add(upstream_stats.Reservation())
            self.assertEqual(self.askers(), {'entry-1', 'entry-3'})
            self.core.holder.current.services['s'].engine = None
            self.assertEqual(self.askers(), set())

        self.run_with(scenario)

    def askers(self):
        return set(engine_poll.askers(self.core, self.engine))


if __name__ == '__main__':
    unittest.main()
