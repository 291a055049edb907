"""Tests that the fault benchmark detects every violated guarantee."""

from __future__ import annotations

import collections
import hashlib
import unittest

from quetzalsill_dev.bench.faults import (
    callers,
    figures,
    schedule,
    traffic,
)
from quetzalsill_dev.bench.faults import testbed as testbed_lib

KINDS = traffic.KINDS
COMPLETE = ['g7.0 ', 'g7.1 ']


def record(kind, status=200, texts=(), **fields):
    """Returns the outcome of a request of a kind, as its caller saw it."""
    tokens = 0 if kind == traffic.ORDER else 2
    request = traffic.Request(0, KINDS[kind], 'name', 'prompt', tokens, '')
    return callers.RequestRecord(
        request, status=status, texts=list(texts), **fields
    )


def executions(one, count):
    """Returns executions in which a request ran `count` times."""
    digest = hashlib.sha256(one.ask.prompt.encode()).hexdigest()
    numbers = set(range(7, 7 + count))
    return testbed_lib.Executions(
        {digest[: testbed_lib.DIGEST_LENGTH]: numbers},
        collections.Counter({one.ask.name: count}),
    )


class ClassifyTest(unittest.TestCase):
    """Each case: expected verdicts, number of runs, outcome for the caller."""

    def test_verdicts(self):
        not_run = {'status': 503, 'code': 'overloaded', 'not_run': True}
        unknown = {'status': 504, 'code': 'outcome_unknown'}
        failed = {'status': 502, 'code': 'upstream_failed', 'not_run': False}
        late = {'status': 202, 'code': 'never_settled'}
        gone = {'status': 404, 'code': 'not_found', 'not_run': True}
        plan = {'accepted': True}
        for expected, count, one in (
            (['whole'], 1, record('slot query', texts=COMPLETE)),
            (['whole'], 2, record('slot query', texts=COMPLETE)),
            (['foreign'], 0, record('slot query', texts=COMPLETE)),
            (['torn'], 1, record('slot query', texts=COMPLETE[1:])),
            (['torn'], 2, record('slot query', texts=['g7.0 ', 'g8.1 '])),
            (['torn'], 1, record('slot query', texts=COMPLETE[::-1])),
            (['failed'], 1, record('slot query', texts=COMPLETE[:1], **failed)),
            (['cut'], 1, record('slot query', 0)),
            (['whole'], 1, record('order')),
            (['whole', 'doubled'], 2, record('order')),
            (['unknown'], 1, record('order', **unknown)),
            (['unknown', 'doubled'], 2, record('order', **unknown)),
            (['refused'], 0, record('order', **not_run)),
            (['refused', 'untrue_refusals'], 1, record('order', **not_run)),
            (['refused'], 0, record('loading plan', **not_run)),
            (['failed', 'lost'], 1, record('loading plan', **plan, **failed)),
            (['unknown', 'lost'], 1, record('loading plan', **plan, **late)),
            (['unknown'], 1, record('scene brief', **plan, **unknown)),
            (['refused', 'lost'], 0, record('scene brief', **plan, **gone)),
            (['refused', 'lost'], 0, record('scene brief', **plan, **not_run)),
        ):
            with self.subTest(one=one):
                found = list(figures.classify(one, executions(one, count)))
                self.assertEqual(found, expected)


class ScheduleTest(unittest.TestCase):
    """Tests of the schedule of fault injections."""

    def test_same_seed_gives_each_fault_and_one_of_them_twice(self):
        injections = schedule.generate(3, 2.0)
        self.assertEqual(injections, schedule.generate(3, 2.0))
        singles = collections.Counter(
            injection.name
            for injection in injections
            if len(injection.faults) == 1
        )
        self.assertEqual(singles.keys(), schedule.FAULTS.keys())
        self.assertEqual(max(singles.values()), 2)


if __name__ == '__main__':
    unittest.main()
