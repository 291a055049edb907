"""The bench of failures must see each broken promise."""

from __future__ import annotations

import collections
import hashlib
import unittest

from quetzalsill_dev.bench.faults import (
    callers,
    field,
    figures,
    schedule,
    traffic,
)

KINDS = traffic.KINDS
WHOLE = ['g7.0 ', 'g7.1 ']


def told(kind, status=200, texts=(), **said):
    """What a caller of a kind of request was told."""
    tokens = 0 if kind == traffic.ORDER else 2
    ask = traffic.Ask(0, KINDS[kind], 'name', 'prompt', tokens, '')
    return callers.Told(ask, status=status, texts=list(texts), **said)


def ran(one, count):
    """Upstreams that say that a request ran so often."""
    digest = hashlib.sha256(one.ask.prompt.encode()).hexdigest()
    numbers = set(range(7, 7 + count))
    return field.Ran(
        {digest[: field.DIGEST_LENGTH]: numbers},
        collections.Counter({one.ask.name: count}),
    )


class JudgeTest(unittest.TestCase):
    """Each case: what was told, how often it ran, the verdicts."""

    def test_verdicts(self):
        not_run = {'status': 503, 'code': 'overloaded', 'not_run': True}
        unknown = {'status': 504, 'code': 'outcome_unknown'}
        failed = {'status': 502, 'code': 'upstream_failed', 'not_run': False}
        late = {'status': 202, 'code': 'never_settled'}
        gone = {'status': 404, 'code': 'not_found', 'not_run': True}
        plan = {'accepted': True}
        for expected, count, one in (
            (['whole'], 1, told('slot query', texts=WHOLE)),
            (['whole'], 2, told('slot query', texts=WHOLE)),
            (['foreign'], 0, told('slot query', texts=WHOLE)),
            (['torn'], 1, told('slot query', texts=WHOLE[1:])),
            (['torn'], 2, told('slot query', texts=['g7.0 ', 'g8.1 '])),
            (['torn'], 1, told('slot query', texts=WHOLE[::-1])),
            (['failed'], 1, told('slot query', texts=WHOLE[:1], **failed)),
            (['cut'], 1, told('slot query', 0)),
            (['whole'], 1, told('order')),
            (['whole', 'doubled'], 2, told('order')),
            (['unknown'], 1, told('order', **unknown)),
            (['unknown', 'doubled'], 2, told('order', **unknown)),
            (['refused'], 0, told('order', **not_run)),
            (['refused', 'untrue_refusals'], 1, told('order', **not_run)),
            (['refused'], 0, told('loading plan', **not_run)),
            (['failed', 'lost'], 1, told('loading plan', **plan, **failed)),
            (['unknown', 'lost'], 1, told('loading plan', **plan, **late)),
            (['unknown'], 1, told('scene brief', **plan, **unknown)),
            (['refused', 'lost'], 0, told('scene brief', **plan, **gone)),
            (['refused', 'lost'], 0, told('scene brief', **plan, **not_run)),
        ):
            with self.subTest(one=one):
                found = list(figures.judge(one, ran(one, count)))
                self.assertEqual(found, expected)


class ScheduleTest(unittest.TestCase):
    """The schedule of failures."""

    def test_same_seed_gives_each_fault_and_one_of_them_twice(self):
        struck = schedule.schedule(3, 2.0)
        self.assertEqual(struck, schedule.schedule(3, 2.0))
        singles = collections.Counter(
            strike.name for strike in struck if len(strike.faults) == 1
        )
        self.assertEqual(singles.keys(), schedule.FAULTS.keys())
        self.assertEqual(max(singles.values()), 2)


if __name__ == '__main__':
    unittest.main()
