"""The bench of crowded engines draws and compares what it says."""

from __future__ import annotations

import dataclasses
import unittest

from quetzalsill_dev.bench.crowd import figures, mix, report, trial


def outcome(ask: mix.Ask, stall_s: float) -> trial.Outcome:
    return trial.Outcome(
        ask, 200, True, stall_s, stall_s, 0.1, 1.0, ask.at_s + 1, 10, False
    )


class MixTest(unittest.TestCase):
    """Same seed, same requests; a greedy account asks ten times its share."""

    def test_arrivals_repeat_and_keep_their_rate(self):
        for traffic in mix.MIXES.values():
            first = list(mix.arrivals(traffic, 50.0, 40.0, seed=1))
            again = list(mix.arrivals(traffic, 50.0, 40.0, seed=1))
            self.assertEqual(first, again)
            self.assertAlmostEqual(len(first) / 2000, 1.0, delta=0.1)
            self.assertAlmostEqual(sum(k.share for k in traffic.kinds), 1.0)

    def test_greedy_account_asks_ten_times_as_much(self):
        traffic = mix.MIXES['board']
        large, small = traffic.kinds[0].accounts
        asks = mix.greedy(traffic, 50.0, 40.0, seed=1)
        counts = {
            name: sum(ask.account == name for ask in asks)
            for name in (large, small)
        }
        self.assertAlmostEqual(counts[large] / counts[small], 10, delta=1)


class FiguresTest(unittest.TestCase):
    """Figures come from what was asked after the warm-up."""

    def test_warm_up_is_left_out_and_unfinished_counted(self):
        asks = list(mix.arrivals(mix.MIXES['board'], 10.0, 20.0, seed=1))
        outcomes = [outcome(ask, ask.at_s) for ask in asks[:-1]]
        found = figures.figures(asks, outcomes, 5, 10.0, 20.0)
        late = [ask.at_s for ask in asks if ask.at_s >= 10.0]
        self.assertEqual(found.asked, len(late))
        self.assertEqual(found.unfinished, 1)
        self.assertGreaterEqual(found.prompt_stall_p50_s, 10.0)
        self.assertEqual(found.preemptions_per_1000, 5000 / len(asks))

    def test_a_table_needs_no_baseline(self):
        """A run of one contender ends in a traceback instead of its table."""
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
