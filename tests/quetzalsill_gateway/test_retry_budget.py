"""Tests that the retries of all gateways stay within the shared budget."""

from __future__ import annotations

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway import retry_budget

RATIO, ALLOWANCE, WINDOW_S = 0.2, 50, 10.0
STEPS = st.lists(
    st.tuples(
        st.integers(0, 4), st.sampled_from('qqqrrr'), st.floats(0.0, 2.0)
    ),
    max_size=300,
)


class RetryBudgetTest(unittest.TestCase):
    """Retry budgets shared by several gateways."""

    @settings(derandomize=True, deadline=None)
    @given(STEPS)
    def test_the_sum_over_gateways_holds_in_every_window(self, steps):
        """Servers fail a burst of requests of all five gateways at once.

        If each gateway spent the whole allowance, the servers would get five
        times the permitted retries.
        """
        clock = [0.0]
        requests, retries = [], []
        with mock.patch.object(
            retry_budget.RetryBudget, '_now', lambda _self: clock[0]
        ):
            budgets = [
                retry_budget.RetryBudget(RATIO, ALLOWANCE, WINDOW_S, 5)
                for _ in range(5)
            ]
            for node, action, pause_s in steps:
                clock[0] += pause_s
                if action == 'q':
                    budgets[node].record_request('s')
                    requests.append(clock[0])
                elif budgets[node].try_spend('s'):
                    retries.append(clock[0])
        for end in retries:
            retried = sum(end - WINDOW_S < at <= end for at in retries)
            # Requests from this window and the previous one count.
            requested = sum(end - 2 * WINDOW_S < at <= end for at in requests)
            self.assertLessEqual(retried, RATIO * requested + ALLOWANCE)

    def test_a_fleet_larger_than_its_settings_shares_the_allowance(self):
        """68 gateways are configured for 16, and servers fail every request.

        If each spent a sixteenth of the allowance, the servers would get twice
        the permitted retries.
        """
        with mock.patch.object(
            retry_budget.RetryBudget, '_now', lambda _self: 0.0
        ):
            spent = 0
            for _ in range(68):
                budget = retry_budget.RetryBudget(0.0, 176, WINDOW_S, 16)
                budget.set_gateway_count(68)
                while budget.try_spend('s'):
                    spent += 1
        self.assertLessEqual(spent, 176)

    def test_requests_refused_by_another_incarnation_count(self):
        """Servers restart during a partition and refuse the requests sent.

        These are retried regardless of the budget. Not counted, they added to
        the other retries: 223 arrived in ten seconds where 155 are allowed.
        """
        with mock.patch.object(
            retry_budget.RetryBudget, '_now', lambda _self: 0.0
        ):
            budget = retry_budget.RetryBudget(0.0, 8, WINDOW_S, 1)
            for _ in range(4):
                budget.record_retry('s')
            self.assertFalse(budget.try_spend('s'))
            self.assertTrue(budget.try_spend('other'))

    def test_services_do_not_share(self):
        with mock.patch.object(
            retry_budget.RetryBudget, '_now', lambda _self: 0.0
        ):
            budget = retry_budget.RetryBudget(0.0, 2, WINDOW_S, 1)
            self.assertTrue(budget.try_spend('a'))
            self.assertFalse(budget.try_spend('a'))
            self.assertTrue(budget.try_spend('b'))


if __name__ == '__main__':
    unittest.main()
