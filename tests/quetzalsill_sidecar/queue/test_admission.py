"""Admission keeps the planned memory within the engine's capacity."""

from __future__ import annotations

import random
import unittest
from collections.abc import Iterator

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
# Tokens that the engine keeps free before a sequence may join the batch.
RESERVE = 400
BATCH_PRIORITY = 8
DEMANDS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 4000),
        strategies.integers(1, 8000),
        strategies.booleans(),
    ),
    max_size=40,
)
SEEDS = range(5)
ARRIVALS = 60


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
    number: int, prompt: int, tokens: int, is_urgent: bool
) -> policy.Demand:
    return policy.Demand(
        attempt=str(number),
        profile='prompt' if is_urgent else 'patient',
        priority=0 if is_urgent else BATCH_PRIORITY,
        uses_headroom=is_urgent,
        prompt_tokens=prompt,
        max_tokens=tokens,
    )


def generate_work(
    seed: int, prompt_share: float
) -> list[tuple[int, int, bool]]:
    """Returns more work than fits the memory at once, fixed by the seed."""
    rng = random.Random(seed)
    return [
        (
            rng.randint(2, 2000),
            rng.randint(1, 4000),
            rng.random() < prompt_share,
        )
        for _ in range(ARRIVALS)
    ]


def find_preemptions(
    work: list[tuple[int, int, bool]],
) -> Iterator[model.Sequence]:
    """Yields the sequences that an engine preempts, given true lengths."""
    batch = model.Batch(CAPACITY, 1000, model.Costs())
    queue = queue_of([], admission_predicted.admit_declared)
    queue.capacity_tokens = CAPACITY - RESERVE
    arriving = list(enumerate(work))
    sequences: dict[model.Sequence, str] = {}
    ended = 0
    while ended < len(work):
        if arriving:
            number, asked = arriving.pop(0)
            queue.push(demand(number, *asked))
        for attempt in queue.start_admitted():
            prompt, tokens, is_urgent = work[int(attempt)]
            text = f'{attempt:>8}'.ljust(4 * prompt)
            priority = 0 if is_urgent else BATCH_PRIORITY
            sequences[batch.submit(text, tokens, priority)] = attempt
        step = batch.step()
        yield from step.preempted if step else ()
        for token in step.tokens if step else ():
            attempt = sequences[token.sequence]
            queue.produce(attempt, 1)
            if token.last:
                ended += 1
                queue.release(attempt, whole=True)


class PredictedTest(unittest.TestCase):
    """Admission keeps to its plan and serves every demand."""

    def test_true_lengths_of_patient_work_are_never_preempted(self):
        """With known lengths, an engine's memory never fills during decode.

        Any preemption thus comes from a wrong estimate of a length or from
        latency-sensitive work, not from the arithmetic of the plan.
        """
        for seed in SEEDS:
            work = generate_work(seed, prompt_share=0.0)
            self.assertEqual(list(find_preemptions(work)), [], seed)

    def test_only_patient_work_is_preempted(self):
        """Latency-sensitive work starts though memory is full."""
        preempted = [
            seq
            for seed in SEEDS
            for seq in find_preemptions(generate_work(seed, prompt_share=0.5))
        ]
        self.assertEqual({seq.priority for seq in preempted}, {BATCH_PRIORITY})

    @SETTINGS
    @hypothesis.given(DEMANDS)
    def test_patient_work_leaves_the_headroom_free(self, demands):
        queue = queue_of([(p, t, False) for p, t, _ in demands])
        started = [demands[int(name)] for name in queue.start_admitted()]
        held = sum(prompt for prompt, _, _ in started)
        self.assertEqual(bool(started), bool(demands))
        allowed = CAPACITY * (1 - HEADROOM)
        self.assertTrue(held <= allowed or len(started) <= 1)

    def test_prompt_work_starts_beside_patient_work_that_outgrew_its_plan(self):
        """Latency-sensitive requests wait for seconds for no reason.

        A batch attempt runs longer than estimated until memory is full. The
        engine preempts it for latency-sensitive work, but the sidecar, which
        sees no preemption, still counts its memory and starts none of that
        work.
        """
        queue = queue_of([(100, 8000, False)])
        self.assertEqual(list(queue.start_admitted()), ['0'])
        queue.produce('0', CAPACITY)
        queue.push(demand(1, 100, 8000, False))
        queue.push(demand(2, 100, 100, True))
        self.assertEqual(list(queue.start_admitted()), ['2'])

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
