"""Tests of the batching model."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies as st

from quetzalsill_dev.engine_standin import model

CAPACITY = 400
MAX_STEPS = 20_000
COSTS = model.Costs(base_s=0.01)

prompts = st.builds(
    lambda head, tail: 'h' * 64 * 4 * head + tail,
    st.integers(0, 3),
    st.text('ab', min_size=1, max_size=300),
)
requests = st.lists(
    st.tuples(prompts, st.integers(1, 300), st.integers(0, 2)),
    min_size=1,
    max_size=12,
)


def run_to_end(batch, arrivals):
    """Submits a request per step; returns the tokens of each sequence."""
    made = {}
    pending = list(arrivals)
    for _ in range(MAX_STEPS):
        if pending:
            made[batch.submit(*pending.pop(0))] = []
        step = batch.step()
        if step is None and not pending:
            return made
        for token in step.tokens if step else ():
            made[token.sequence].append((token.index, token.last))
        assert batch.used_tokens + batch.cached_tokens <= CAPACITY
    raise AssertionError('sequences are left after the last step')


class BatchTest(unittest.TestCase):
    """Properties that hold for all orders of requests."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(requests, st.integers(1, 6))
    def test_every_token_once_in_order_within_memory(self, arrivals, size):
        batch = model.Batch(CAPACITY, size, COSTS)
        made = run_to_end(batch, arrivals)
        self.assertEqual(len(made), len(arrivals))
        for seq, tokens in made.items():
            last = seq.target - 1
            self.assertEqual(tokens, [(i, i == last) for i in range(last + 1)])
        self.assertEqual(batch.used_tokens, 0)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(requests, st.data())
    def test_cancelled_sequence_makes_no_more_and_frees_memory(
        self, arrivals, data
    ):
        batch = model.Batch(CAPACITY, 4, COSTS)
        sequences = [batch.submit(*arrival) for arrival in arrivals]
        for _ in range(data.draw(st.integers(0, 50))):
            batch.step()
        cancelled = data.draw(st.sampled_from(sequences))
        batch.cancel(cancelled)
        while step := batch.step():
            self.assertNotIn(cancelled, [t.sequence for t in step.tokens])
        self.assertEqual(batch.used_tokens, 0)

    def test_full_memory_preempts_newest_of_lowest_priority(self):
        batch = model.Batch(100, 8, COSTS)
        prompt = batch.submit('p', 60, 0)
        older = batch.submit('p', 60, 5)
        newer = batch.submit('p', 60, 5)
        preempted = []
        while step := batch.step():
            preempted += step.preempted
        self.assertEqual(preempted[0], newer)
        self.assertIn(older, preempted)
        self.assertEqual(prompt.preemptions, 0)
        self.assertEqual(batch.preemptions, len(preempted))

    def test_cached_prefix_shortens_the_first_step(self):
        batch = model.Batch(10_000, 8, COSTS)
        durations = []
        for _ in range(2):
            batch.submit('x' * 4000, 1, 0)
            durations.append(batch.step().duration_s)
        self.assertLess(durations[1], durations[0])

    def test_length_is_limited_by_the_memory_of_an_empty_engine(self):
        batch = model.Batch(100, 8, COSTS)
        seq = batch.submit('x' * 360, 1000, 0)
        self.assertEqual(seq.target, 10)
        with self.assertRaises(model.PromptTooLongError):
            batch.submit('x' * 400, 1, 0)


if __name__ == '__main__':
    unittest.main()
