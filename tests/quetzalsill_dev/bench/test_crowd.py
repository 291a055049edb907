"""Tests of the overload benchmark: request mixes, figures and ratios."""

from __future__ import annotations

import dataclasses
import unittest

from quetzalsill_dev.bench.crowd import figures, mix, report, trial


def outcome(request: mix.Request, stall_s: float) -> trial.Outcome:
    return trial.Outcome(
        request,
        200,
        True,
        stall_s,
        stall_s,
        0.1,
        1.0,
        request.at_s + 1,
        10,
        False,
    )


class MixTest(unittest.TestCase):
    """Arrivals depend on the seed only and keep the shares of the mix."""

    def test_arrivals_repeat_and_keep_their_rate(self):
        for traffic in mix.MIXES.values():
            first = list(mix.arrivals(traffic, 50.0, 40.0, seed=1))
            again = list(mix.arrivals(traffic, 50.0, 40.0, seed=1))
            self.assertEqual(first, again)
            self.assertAlmostEqual(len(first) / 2000, 1.0, delta=0.1)
            self.assertAlmostEqual(sum(k.share for k in traffic.kinds), 1.0)

    def test_greedy_account_sends_ten_times_as_much(self):
        traffic = mix.MIXES['board']
        large, small = traffic.kinds[0].accounts
        requests = mix.greedy_arrivals(traffic, 50.0, 40.0, seed=1)
        counts = {
            name: sum(request.account == name for request in requests)
            for name in (large, small)
        }
        self.assertAlmostEqual(counts[large] / counts[small], 10, delta=1)


class FiguresTest(unittest.TestCase):
    """Figures cover the requests sent after the warm-up."""

    def test_warm_up_is_excluded_and_unfinished_counted(self):
        requests = list(mix.arrivals(mix.MIXES['board'], 10.0, 20.0, seed=1))
        outcomes = [outcome(request, request.at_s) for request in requests[:-1]]
        found = figures.compute(requests, outcomes, 5, 10.0, 20.0)
        late = [request.at_s for request in requests if request.at_s >= 10.0]
        self.assertEqual(found.asked, len(late))
        self.assertEqual(found.unfinished, 1)
        self.assertGreaterEqual(found.prompt_stall_p50_s, 10.0)
        self.assertEqual(found.preemptions_per_1000, 5000 / len(requests))

    def test_a_table_needs_no_baseline(self):
        """Guards against a traceback when no baseline was run."""
        fields = {f.name: 1.0 for f in dataclasses.fields(figures.Figures)}
        alone = {'ours': figures.Figures(**fields)}
        cell = report.Cell('board', 0.9, 'calm', 1, alone)
        self.assertEqual(len(list(report.lines(cell))), 3)

    def test_ratio_is_to_the_better_baseline(self):
        fields = {f.name: 1.0 for f in dataclasses.fields(figures.Figures)}
        good = figures.Figures(**(fields | {'goodput_tokens_s': 4.0}))
        bad = figures.Figures(**(fields | {'gap_p99_s': 2.0}))
        ours = figures.Figures(**(fields | {'goodput_tokens_s': 2.0}))
        found = figures.ratios(
            {'rotate': good, 'fewest': bad, 'ours': ours}, 'ours'
        )
        self.assertEqual(found['goodput_tokens_s'], 0.5)
        self.assertEqual(found['gap_p99_s'], 1.0)


if __name__ == '__main__':
    unittest.main()
