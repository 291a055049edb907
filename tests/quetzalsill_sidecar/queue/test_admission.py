"""Admission keeps the planned memory under the engine's capacity."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill_dev.engine_standin import model
from quetzalsill_sidecar.queue import (
    admission_predicted,
    order_weighted,
    policy,
    schedule,
)

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
CAPACITY = 20_000
HEADROOM = 0.1
# What the engine itself keeps free before a sequence may join.
RESERVE = 400
DEMANDS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 4000),
        strategies.integers(1, 8000),
        strategies.booleans(),
    ),
    max_size=40,
)
RUNS = strategies.lists(
    strategies.tuples(
        strategies.integers(2, 2000),
        strategies.integers(1, 3000),
        strategies.booleans(),
    ),
    max_size=30,
)


def queue_of(
    demands: list[tuple[int, int, bool]],
    admit: policy.Admit = admission_predicted.admit,
) -> schedule.Schedule:
    queue = schedule.Schedule(
        order_weighted.WeightedOrder(),
        admit,
        max_running=1000,
        clock=lambda: 0.0,
    )
    queue.capacity_tokens = CAPACITY
    queue.headroom = HEADROOM
    for number, asked in enumerate(demands):
        queue.push(demand(number, *asked))
    return queue


def demand(
    number: int, prompt: int, tokens: int, prompt_work: bool
) -> policy.Demand:
    return policy.Demand(
        attempt=str(number),
        profile='prompt' if prompt_work else 'patient',
        priority=0 if prompt_work else 8,
        uses_headroom=prompt_work,
        prompt_tokens=prompt,
        max_tokens=tokens,
    )


class PredictedTest(unittest.TestCase):
    """Plans hold, and something always runs."""

    @SETTINGS
    @hypothesis.given(RUNS)
    def test_true_lengths_are_never_preempted(self, run):
        """With lengths known, an engine's memory never fills in mid-decode.

        So every preemption that is seen comes from a wrong guess of a length,
        not from the arithmetic of the plan.
        """
        batch = model.Batch(CAPACITY, 1000, model.Costs())
        queue = queue_of([], admission_predicted.admit_declared)
        queue.capacity_tokens = CAPACITY - RESERVE
        arriving = list(enumerate(run))
        sequences: dict[model.Sequence, str] = {}
        ended = 0
        while ended < len(run):
            if arriving:
                number, (prompt, tokens, prompt_work) = arriving.pop(0)
                queue.push(demand(number, prompt, tokens, prompt_work))
            for attempt in queue.start_admitted():
                prompt, tokens, prompt_work = run[int(attempt)]
                text = f'{attempt:>8}'.ljust(4 * prompt)
                priority = 0 if prompt_work else 8
                sequences[batch.submit(text, tokens, priority)] = attempt
            step = batch.step()
            for token in step.tokens if step else ():
                attempt = sequences[token.sequence]
                queue.produce(attempt, 1)
                if token.last:
                    ended += 1
                    queue.release(attempt, whole=True)
        self.assertEqual(batch.preemptions, 0)

    @SETTINGS
    @hypothesis.given(DEMANDS)
    def test_patient_work_leaves_the_headroom_free(self, demands):
        queue = queue_of([(p, t, False) for p, t, _ in demands])
        started = [demands[int(name)] for name in queue.start_admitted()]
        held = sum(prompt for prompt, _, _ in started)
        self.assertEqual(bool(started), bool(demands))
        allowed = CAPACITY * (1 - HEADROOM)
        self.assertTrue(held <= allowed or len(started) <= 1)

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
