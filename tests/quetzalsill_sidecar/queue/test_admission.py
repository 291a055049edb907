"""Admission keeps the planned memory under the engine's capacity."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill_sidecar.queue import (
    admission_predicted,
    order_weighted,
    policy,
    schedule,
)

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
CAPACITY = 20_000
HEADROOM = 0.1
DEMANDS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 4000),
        strategies.integers(1, 8000),
        strategies.booleans(),
    ),
    max_size=40,
)


def queue_of(demands: list[tuple[int, int, bool]]) -> schedule.Schedule:
    queue = schedule.Schedule(
        order_weighted.WeightedOrder(),
        admission_predicted.admit,
        max_running=1000,
        clock=lambda: 0.0,
    )
    queue.capacity_tokens = CAPACITY
    queue.headroom = HEADROOM
    for number, (prompt, tokens, prompt_work) in enumerate(demands):
        queue.push(
            policy.Demand(
                attempt=str(number),
                profile='prompt' if prompt_work else 'patient',
                priority=0 if prompt_work else 8,
                uses_headroom=prompt_work,
                prompt_tokens=prompt,
                max_tokens=tokens,
            )
        )
    return queue


class PredictedTest(unittest.TestCase):
    """Plans hold, and something always runs."""

    @SETTINGS
    @hypothesis.given(DEMANDS)
    def test_planned_memory_stays_under_capacity(self, demands):
        queue = queue_of(demands)
        started = list(queue.start_admitted())
        self.assertEqual(bool(started), bool(demands))
        planned = sum(
            prompt + min(tokens, queue.lengths.remaining('', '', 0, 0.8))
            for prompt, tokens, _ in (demands[int(name)] for name in started)
        )
        self.assertTrue(planned <= CAPACITY or len(started) == 1)

    @SETTINGS
    @hypothesis.given(DEMANDS)
    def test_patient_work_leaves_the_headroom_free(self, demands):
        queue = queue_of([(p, t, False) for p, t, _ in demands])
        started = list(queue.start_admitted())
        planned = sum(
            prompt + min(tokens, queue.lengths.remaining('', '', 0, 0.8))
            for prompt, tokens, _ in (demands[int(name)] for name in started)
        )
        allowed = CAPACITY * (1 - HEADROOM)
        self.assertTrue(planned <= allowed or len(started) <= 1)

    @SETTINGS
    @hypothesis.given(DEMANDS)
    def test_all_are_served_in_the_end(self, demands):
        queue = queue_of(demands)
        served: list[str] = []
        while started := list(queue.start_admitted()):
            served += started
            for attempt in started:
                queue.produce(attempt, 10)
                queue.release(attempt, whole=True)
        self.assertEqual(len(served), len(demands))
        self.assertEqual((queue.queued, queue.running), (0, 0))


if __name__ == '__main__':
    unittest.main()
