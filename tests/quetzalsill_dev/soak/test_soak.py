"""The soak: its plan, its verdict, a short run, and seeds that once failed."""

from __future__ import annotations

import asyncio
import pathlib
import types
import unittest

from quetzalsill_dev.soak import load, plan, run, stage, verdict
from quetzalsill_dev.users_platform import caller, engine

SEEDS = pathlib.Path(__file__).parent / 'seeds.txt'
SHORT_S = 4.0
SHORT_SEED = 7


def told(kind, status=200, body=b'', request_id='a', *, whole=True):
    answer = caller.Answer(status, {}, body, whole)
    return load.Told(request_id, kind, 'entry-0', answer)


def scene(runs=(), started=(), doubled=()):
    """A stage on which these requests ran."""
    desk = types.SimpleNamespace(runs=[(name, '', {}, b'') for name in runs])
    fleet = engine.Fleet(
        started={name: ['e'] * started.count(name) for name in started},
        doubled=set(doubled),
    )
    return types.SimpleNamespace(desks=[desk], fleet=fleet)


class PlanTest(unittest.TestCase):
    """A seed always means the same faults."""

    def test_a_seed_draws_the_same_again(self):
        self.assertEqual(plan.draw(5, 20.0), plan.draw(5, 20.0))
        self.assertNotEqual(plan.draw(5, 20.0), plan.draw(6, 20.0))

    def test_each_fault_is_drawn(self):
        drawn = {one.fault for n in range(50) for one in plan.draw(n, 20.0)}
        self.assertEqual(drawn, set(plan.Fault))


class VerdictTest(unittest.TestCase):
    """Each promise is seen to be broken where it is."""

    def broken(self, one, **ran):
        return list(verdict.broken(scene(**ran), [one]))

    def test_what_may_run_once_ran_twice(self):
        one = told('unsafe', body=b'desk:a')
        self.assertEqual(self.broken(one, runs=['a']), [])
        self.assertIn('2 times', self.broken(one, runs=['a', 'a'])[0])
        plan_twice = told('plan', 502, whole=False)
        found = self.broken(plan_twice, started=['a', 'a'])
        self.assertIn('2 times', found[0])

    def test_a_refusal_is_false(self):
        one = told('unsafe', 503)
        self.assertEqual(self.broken(one), [])
        self.assertIn('and ran', self.broken(one, runs=['a'])[0])

    def test_an_answer_belongs_to_another_request(self):
        one = told('safe', body=b'desk:b')
        self.assertIn('another body', self.broken(one, runs=['a'])[0])

    def test_an_answer_that_no_server_gave(self):
        one = told('safe', body=b'desk:a')
        self.assertIn('never ran', self.broken(one)[0])

    def test_a_stream_that_is_cut_looks_whole(self):
        part = engine.event('a', 1)
        cut = told('verdict', body=part, whole=False)
        self.assertEqual(self.broken(cut, started=['a']), [])
        false = told('verdict', body=part)
        self.assertIn('looks whole', self.broken(false, started=['a'])[0])

    def test_a_stream_lacks_an_event(self):
        body = engine.event('a', 1) + engine.event('a', 3)
        one = told('plan', body=body, whole=False)
        self.assertIn('other events', self.broken(one, started=['a'])[0])

    def test_a_plan_runs_at_two_engines(self):
        whole = b''.join(
            engine.event('a', n) for n in range(1, stage.EVENTS + 1)
        )
        one = told('plan', body=whole)
        found = self.broken(one, started=['a'], doubled=['a'])
        self.assertIn('two engines', found[0])

    def test_a_traceback_in_a_log(self):
        logs = [('entry-0.0.log', 'event=listening\nTraceback (most\n')]
        self.assertEqual(len(list(verdict.of_logs(logs))), 1)


class SoakTest(unittest.TestCase):
    """Real processes, with faults from outside."""

    def play(self, seed, length_s):
        result = asyncio.run(run.run(seed, length_s))
        self.assertEqual(result.broken, [], f'seed {seed}, {length_s} s')
        self.assertGreater(result.served, 0)

    def test_a_short_soak_holds(self):
        self.play(SHORT_SEED, SHORT_S)

    def test_seeds_that_once_failed_hold(self):
        for line in SEEDS.read_text().splitlines():
            if line.strip() and not line.startswith('#'):
                seed, length_s, *_ = line.split()
                with self.subTest(seed=seed):
                    self.play(int(seed), float(length_s))


if __name__ == '__main__':
    unittest.main()
