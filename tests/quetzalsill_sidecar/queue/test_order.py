"""Weighted order: shares, ranks and ageing."""

from __future__ import annotations

import collections
import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill_sidecar.queue import order_weighted, policy

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
WEIGHTS = strategies.lists(strategies.floats(0.25, 8), min_size=2, max_size=5)


def demand(number: int, account: str, **changes: object) -> policy.Demand:
    made = {'priority': 5, 'ageing_s': 1e9, 'prompt_tokens': 100}
    return policy.Demand(
        attempt=str(number), account=account, **(made | changes)
    )


def serve(order: policy.Order, now: float = 0.0) -> policy.Demand:
    """Takes the first demand in order."""
    first = next(order.heads(now))
    order.take(first)
    return first


class WeightedOrderTest(unittest.TestCase):
    """Shares under contention follow the weights."""

    @SETTINGS
    @hypothesis.given(WEIGHTS)
    def test_backlogged_accounts_share_by_weight(self, weights):
        order = order_weighted.WeightedOrder()
        for number, weight in enumerate(weights):
            for i in range(400):
                account = f'a{number}'
                order.push(demand(1000 * number + i, account, weight=weight))
        served = collections.Counter(
            serve(order).account for _ in range(40 * len(weights))
        )
        shares = [served[f'a{n}'] / w for n, w in enumerate(weights)]
        # Each is at most one request of its own off its share.
        slack = sum(1 / weight for weight in weights)
        self.assertLessEqual(max(shares) - min(shares), slack)

    @SETTINGS
    @hypothesis.given(strategies.integers(1, 300), strategies.integers(1, 10))
    def test_small_account_does_not_wait_for_a_large_one(self, large, small):
        order = order_weighted.WeightedOrder()
        for i in range(large):
            order.push(demand(i, 'large'))
        for _ in range(min(large, 5)):
            serve(order)
        for i in range(small):
            order.push(demand(10_000 + i, 'small'))
        served = [serve(order).account for _ in range(len(order))]
        last = max(i for i, name in enumerate(served) if name == 'small')
        self.assertLessEqual(last, 2 * small + 1)

    @SETTINGS
    @hypothesis.given(strategies.data())
    def test_patient_work_is_served_though_prompt_work_never_ends(self, data):
        """A plan starves behind an endless stream of handset queries."""
        ageing_s = data.draw(strategies.floats(1, 100))
        order = order_weighted.WeightedOrder()
        order.push(demand(0, 'clerk', priority=8, ageing_s=ageing_s))
        for now in range(1, 200):
            order.push(
                demand(now, 'shop', priority=0, arrived=now, profile='prompt')
            )
            if serve(order, now).account == 'clerk':
                break
        self.assertGreaterEqual(now, ageing_s)
        self.assertLessEqual(now, ageing_s + 3)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('abc'),
                strategies.sampled_from(('prompt', 'patient')),
            )
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_everything_pushed_comes_out_once(self, pushed, random):
        order = order_weighted.WeightedOrder()
        waiting = [
            demand(i, account, profile=profile)
            for i, (account, profile) in enumerate(pushed)
        ]
        for one in waiting:
            order.push(one)
        removed = [one for one in waiting if random.random() < 0.3]
        for one in removed:
            order.remove(one)
        served = [serve(order) for _ in range(len(order))]
        self.assertEqual(len(order), 0)
        self.assertCountEqual(
            [one.attempt for one in served + removed],
            [one.attempt for one in waiting],
        )


if __name__ == '__main__':
    unittest.main()
