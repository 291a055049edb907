"""Tests of the soak: schedule, checks, short runs and regression seeds."""

from __future__ import annotations

import asyncio
import pathlib
import types
import unittest

from quetzalsill_dev.soak import checks, load, log_checks, plan, run
from quetzalsill_dev.soak import testbed as testbed_lib
from quetzalsill_dev.users_platform import caller, engine, pause

SEEDS = pathlib.Path(__file__).parent / 'seeds.txt'
SHORT_S = 4.0
SHORT_SEED = 7
# A drill during a rolling restart, two drills within three seconds, and a drill
# with a third of the gateways cut off from the store.
DRILL_SEEDS = (1, 4, 5)
DRILL_S = 4.0
FLEET_KILL_SEEDS = (11, 21)
FLEET_KILL_S = 5.0


def record(
    kind, status=200, body=b'', request_id='a', *, whole=True, **options
):
    answer = caller.Response(status, {}, body, whole)
    return load.RequestRecord(request_id, kind, 'entry-0', answer, **options)


def testbed(runs=(), started=(), concurrent=()):
    """Returns a testbed on which these requests ran."""
    server = types.SimpleNamespace(runs=[(name, '', {}, b'') for name in runs])
    fleet = engine.Fleet(
        started={name: ['e'] * started.count(name) for name in started},
        concurrent=set(concurrent),
    )
    return types.SimpleNamespace(http_servers=[server], fleet=fleet)


class PlanTest(unittest.TestCase):
    """A seed always gives the same faults."""

    def test_a_seed_draws_the_same_again(self):
        self.assertEqual(plan.generate(5, 20.0), plan.generate(5, 20.0))
        self.assertNotEqual(plan.generate(5, 20.0), plan.generate(6, 20.0))

    def test_each_fault_is_drawn(self):
        drawn = {
            injection.fault
            for n in range(50)
            for injection in (
                *plan.generate(n, 20.0),
                *plan.generate_fleet_kills(n, 20.0),
            )
        }
        self.assertEqual(drawn, set(plan.Fault))

    def test_kills_of_all_gateways_come_beside_replacements(self):
        """A kill comes alone, and finds a version and rows that are settled."""
        fault = plan.Fault
        for seed in range(50):
            found = plan.generate_fleet_kills(seed, 20.0)
            self.assertEqual(found, plan.generate_fleet_kills(seed, 20.0))
            kinds = [injection.fault for injection in found]
            self.assertGreater(kinds.count(fault.FLEET_KILL), 2)
            self.assertEqual(
                kinds.count(fault.REPLACEMENT), kinds.count(fault.FLEET_KILL)
            )

    def test_each_seed_has_a_drill_whatever_else_it_draws(self):
        for seed in range(50):
            drills = plan.generate_drills(seed, 4.0)
            self.assertIn(
                plan.Fault.DRILL, [injection.fault for injection in drills]
            )
            self.assertLessEqual(set(drills), set(plan.generate(seed, 4.0)))

    def test_drills_overlap_with_cuts_restarts_and_each_other(self):
        """Each scenario occurs within a few seeds."""
        faults = set()
        for seed in range(50):
            drills = plan.generate_drills(seed, 4.0)
            [first, *others] = sorted(
                drills,
                key=lambda injection: injection.fault is not plan.Fault.DRILL,
            )
            faults.update(
                injection.fault
                for injection in others
                if abs(injection.at_s - first.at_s)
                <= plan.MAX_SECOND_DRILL_DELAY_S
            )
        fault = plan.Fault
        overlapping = {
            fault.DRILL,
            fault.STORE_PARTITION,
            fault.STOP,
            fault.CRASH,
        }
        self.assertEqual(faults, overlapping | set(plan.CHANGE_FAULTS))


class ChecksTest(unittest.TestCase):
    """Each violation is detected."""

    def violations(self, request, **observed):
        return list(checks.find_violations(testbed(**observed), [request]))

    def test_what_may_run_once_ran_twice(self):
        request = record('unsafe', body=b'desk:a')
        self.assertEqual(self.violations(request, runs=['a']), [])
        self.assertIn('2 times', self.violations(request, runs=['a', 'a'])[0])
        plan_twice = record('plan', 502, whole=False)
        found = self.violations(plan_twice, started=['a', 'a'])
        self.assertIn('2 times', found[0])

    def test_a_refusal_is_false(self):
        request = record('unsafe', 503)
        self.assertEqual(self.violations(request), [])
        self.assertIn('and ran', self.violations(request, runs=['a'])[0])

    def test_an_answer_belongs_to_another_request(self):
        request = record('safe', body=b'desk:b')
        self.assertIn(
            'mismatched body', self.violations(request, runs=['a'])[0]
        )

    def test_an_answer_that_no_server_gave(self):
        request = record('safe', body=b'desk:a')
        self.assertIn('never ran', self.violations(request)[0])

    def test_a_stream_that_is_cut_looks_whole(self):
        part = engine.event('a', 1)
        cut = record('verdict', body=part, whole=False)
        self.assertEqual(self.violations(cut, started=['a']), [])
        false = record('verdict', body=part)
        self.assertIn(
            'looks complete', self.violations(false, started=['a'])[0]
        )

    def test_a_stream_lacks_an_event(self):
        body = engine.event('a', 1) + engine.event('a', 3)
        request = record('plan', body=body, whole=False)
        self.assertIn(
            'unexpected events', self.violations(request, started=['a'])[0]
        )

    def test_a_plan_runs_at_two_engines(self):
        whole = b''.join(
            engine.event('a', n)
            for n in range(1, testbed_lib.EVENTS_PER_STREAM + 1)
        )
        request = record('plan', body=whole)
        found = self.violations(request, started=['a'], concurrent=['a'])
        self.assertIn('two engines', found[0])

    def test_a_process_goes_back_to_a_configuration_before(self):
        """A route is served, and a second later it is unknown."""
        served = record('edit', 200, version=4, incarnation=1, ended_s=1.0)
        for late in (
            record('edit', 404, version=4, incarnation=1, sent_s=2.0),
            record('edit', 404, version=3, incarnation=1, sent_s=2.0),
            record('revoked', 200, version=3, incarnation=1, sent_s=2.0),
        ):
            [found] = checks.find_config_rollbacks([late, served])
            self.assertIn('after version 4', found)

    def test_what_is_no_step_back(self):
        """Newer versions, concurrent requests and another process."""
        served = record('edit', 200, version=4, incarnation=1, ended_s=1.0)
        for late in (
            record('edit', 404, version=5, incarnation=1, sent_s=2.0),
            record('edit', 404, version=4, incarnation=1, sent_s=1.1),
            record('edit', 404, version=4, incarnation=2, sent_s=2.0),
            record('edit', 404, version=4, incarnation=0, sent_s=2.0),
            record('edit', 503, version=4, incarnation=1, sent_s=2.0),
            record('revoked', 200, version=4, incarnation=1, sent_s=2.0),
            record('revoked', 401, version=3, incarnation=1, sent_s=2.0),
        ):
            self.assertEqual(
                list(checks.find_config_rollbacks([served, late])), []
            )

    def test_more_is_lost_than_in_outages(self):
        self.assertTrue(
            checks.is_significantly_above_zero([0.02, 0.03, 0.02, 0.03, 0.02])
        )
        self.assertFalse(
            checks.is_significantly_above_zero([0.02, -0.03, 0.02, 0.0, 0.0])
        )
        self.assertFalse(checks.is_significantly_above_zero([0.02, 0.03]))

    def test_a_request_that_crashes_engines_reaches_too_many(self):
        gateway = testbed_lib.Gateway('entry-0')
        fleet = engine.Fleet(
            crash_times_s=[1.0, 2.0, 3.0],
            arrivals=[
                engine.Arrival(at_s, 'c', b'')
                for at_s in (5.9, 6.1, 7.0, 8.0, 9.0)
            ],
        )
        found = types.SimpleNamespace(fleet=fleet, gateways=[gateway])
        sends = {'c': 'entry-0'}
        [line] = checks.find_crashing_sends(found, sends)
        self.assertIn('reached 4 engines', line)
        gateway.disturbed_s = [3.0, 5.0]
        self.assertEqual(list(checks.find_crashing_sends(found, sends)), [])

    def test_a_server_gets_more_than_its_limit_allows(self):
        gateway = testbed_lib.Gateway('entry-0')
        found = types.SimpleNamespace(gateways=[gateway])
        server = types.SimpleNamespace(id='desk-1', arrivals=[])
        limited = checks.LimitedServer(server, 0.5, 0.0, until_s=100.0)
        server.arrivals = [(10.0 + n / 4, 'a') for n in range(9)]
        self.assertEqual(limited.allowed, 8)
        [line] = checks.find_excess_calls(found, [limited], [record('safe')])
        self.assertIn('got 9 in 4 s', line)
        for change in (
            {'arrivals': server.arrivals[:8]},
            {'arrivals': [(at_s - 9, one) for at_s, one in server.arrivals]},
            {'arrivals': [(at_s + 95, one) for at_s, one in server.arrivals]},
        ):
            limited.server = types.SimpleNamespace(id='desk-1', **change)
            found_lines = checks.find_excess_calls(
                found, [limited], [record('safe')]
            )
            self.assertEqual(list(found_lines), [])

    def test_a_leaving_server_gets_a_request(self):
        gateway = testbed_lib.Gateway('entry-0')
        server = types.SimpleNamespace(id='desk-1', arrivals=[(5.0, 'b')])
        found = types.SimpleNamespace(
            gateways=[gateway], http_servers=[server], fleet=engine.Fleet()
        )
        notice = record('safe', ended_s=1.0)
        notice.answer.headers = {
            'server-leaving': '1',
            'x-quetzalsill-server-stamp': 'desk-1.a',
        }
        late = record('safe', request_id='b', sent_s=3.1)
        [line] = checks.find_sends_to_leaving(found, [notice, late])
        self.assertIn('b reached desk-1 from entry-0, sent 2.10 s', line)
        early = record('safe', request_id='b', sent_s=2.9)
        self.assertEqual(
            list(checks.find_sends_to_leaving(found, [notice, early])), []
        )
        gateway.disturbed_s = [1.5, 2.0]
        self.assertEqual(
            list(checks.find_sends_to_leaving(found, [notice, late])), []
        )

    def test_a_server_gets_requests_in_a_pause(self):
        gateway = testbed_lib.Gateway('entry-0')
        server = types.SimpleNamespace(
            id='desk-1',
            arrivals=[(at_s, 'a') for at_s in (1.0, 1.4, 2.0, 3.0, 3.9, 4.1)],
            pauses=[pause.Pause('desk-1', 1.0, 'a', 3.0)],
        )
        found = types.SimpleNamespace(
            gateways=[gateway], http_servers=[server], fleet=engine.Fleet()
        )

        def lines(*disrupted):
            return list(
                checks.find_sends_in_pauses(found, [record('safe')], disrupted)
            )

        [line] = lines()
        self.assertIn('asked entry-0 for 3 s without requests and got 3', line)
        self.assertEqual(lines(checks.Disruption('desk-1', 0.0, 9.0)), [])
        self.assertEqual(len(lines(checks.Disruption('desk-2', 0.0, 9.0))), 1)
        gateway.disturbed_s = [1.5, 2.0]
        self.assertEqual(lines(), [])
        gateway.disturbed_s = []
        del server.arrivals[3]
        self.assertEqual(lines(), [])

    def test_a_request_is_refused_for_the_crashes_of_another(self):
        request = record('plan', 503, body=b'quarantined\n')
        self.assertIn('as if it crashed', self.violations(request)[0])

    def test_who_left_or_asked_for_what_changes_has_lost_nothing(self):
        over = {'ended_s': 1.0}
        self.assertTrue(record('safe', 503, **over).lost)
        self.assertTrue(record('safe', whole=False, **over).lost)
        self.assertFalse(record('safe', **over).lost)
        self.assertFalse(record('safe', 0, abandoned=True, **over).lost)
        self.assertFalse(record('edit', 404, version=2, **over).lost)
        self.assertFalse(record('safe', 0).lost)

    def test_what_a_process_knows_by_its_log(self):
        lines = (
            'event=upstream_added node=entry-0 upstream=desk-1 service=desk',
            'event=upstream_added node=entry-0 upstream=desk-2 service=desk',
            'event=upstream_lapsed node=entry-0 upstream=desk-2 version=3',
            'event=upstream_removed node=entry-0 upstream=desk-1 version=4',
        )
        known = log_checks.upstreams_in_log('\n'.join(lines))
        self.assertEqual(known, {'desk-2'})

    def test_a_traceback_in_a_log(self):
        logs = [('entry-0.0.log', 'event=listening\nTraceback (most\n')]
        self.assertEqual(
            len(list(log_checks.find_unexpected_log_lines(logs))), 1
        )

    def test_a_stream_that_an_exit_cuts_off(self):
        """Guards against a soak that ignores what a stop has cost callers."""
        ended = 'event=request_ended node=e request=a route=plan outcome='
        chosen = 'event=upstream_chosen node=e request=a upstream=writers-1'
        cut = f'{ended}stopped sends=1 first_ms=3.0 exit_in_ms=500.0 number=3'
        disrupted = [checks.Disruption('writers-1', 0.0, 1.0)]

        def found(*lines, disrupted=()):
            logs = [('entry-0', '\n'.join(lines))]
            return list(log_checks.find_runs_cut_by_exit(logs, disrupted))

        self.assertIn('500.0 ms before the exit', found(chosen, cut)[0])
        self.assertEqual(found(chosen, cut, disrupted=disrupted), [])
        # It arrived before the stop, it was not sent, or it was served.
        self.assertEqual(found(cut.replace('500.0', 'None')), [])
        self.assertEqual(
            found(cut.replace('first_ms=3.0', 'first_ms=None')), []
        )
        self.assertEqual(found(cut.replace('stopped', 'served')), [])


class SoakTest(unittest.TestCase):
    """Runs with real processes and injected faults."""

    def play(self, seed, length_s, **options):
        result = asyncio.run(run.run(seed, length_s, **options))
        self.assertEqual(result.violations, [], f'seed {seed}, {length_s} s')
        self.assertGreater(result.served, 0)

    def test_a_short_soak_holds(self):
        self.play(SHORT_SEED, SHORT_S)

    def test_no_streams_are_mixed_by_kills_of_all_gateways(self):
        """Gateways that all restart take streams for some of one version."""
        for seed in FLEET_KILL_SEEDS:
            with self.subTest(seed=seed):
                result = asyncio.run(
                    run.run(seed, FLEET_KILL_S, fleet_kills=True)
                )
                self.assertGreater(result.taken_up, 0)
                self.assertEqual(result.mixed, 0, result.violations)

    def test_drills_alone_hold(self):
        for seed in DRILL_SEEDS:
            with self.subTest(seed=seed):
                self.play(seed, DRILL_S, only_drills=True)

    def test_seeds_that_once_failed_hold(self):
        for line in SEEDS.read_text().splitlines():
            if line.strip() and not line.startswith('#'):
                seed, length_s, faults, *_ = line.split()
                with self.subTest(seed=seed):
                    self.play(
                        int(seed),
                        float(length_s),
                        only_drills=faults == 'drills',
                    )


if __name__ == '__main__':
    unittest.main()
