"""Tests of the selection of upstreams."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies as st

from quetzalsill.config import model
from quetzalsill_router.peer import subset

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300
)
ZONES = st.dictionaries(
    st.integers(0, 60).map('engine-{}'.format),
    st.sampled_from(['ikeja-hall', 'apapa-hall', 'lekki-hall', 'dha-hall']),
    max_size=30,
)
SIZES = st.integers(1, 12)
NODES = st.integers(0, 9).map('router-{}'.format)


class SubsetTest(unittest.TestCase):
    """Rendezvous hashing by availability zone."""

    @SETTINGS
    @hypothesis.given(NODES, ZONES, SIZES)
    def test_size_and_zones(self, node, zones, size):
        chosen = subset.choose(node, 'ikeja-hall', zones, size)
        self.assertEqual(len(chosen), min(size, len(zones)))
        local = {name for name in zones if zones[name] == 'ikeja-hall'}
        spare = max(1, size // subset.REMOTE_PART) if size > 1 else 0
        self.assertGreaterEqual(
            len(chosen & local), min(len(local), size - spare)
        )
        if size > 1 and len(zones) > len(local):
            self.assertTrue(chosen - local)

    @SETTINGS
    @hypothesis.given(NODES, ZONES, SIZES, st.data())
    def test_one_that_leaves_moves_at_most_one_other(
        self, node, zones, size, data
    ):
        hypothesis.assume(zones)
        gone = data.draw(st.sampled_from(sorted(zones)))
        before = subset.choose(node, 'ikeja-hall', zones, size)
        rest = {name: zone for name, zone in zones.items() if name != gone}
        after = subset.choose(node, 'ikeja-hall', rest, size)
        self.assertLessEqual(len(before - after - {gone}), 1)
        self.assertLessEqual(len(after - before), 1)
        if gone not in before:
            self.assertLessEqual(before, after | {gone})

    def test_routers_spread_over_upstreams(self):
        zones = {f'engine-{number}': 'dha-hall' for number in range(20)}
        counts = dict.fromkeys(zones, 0)
        for number in range(400):
            for name in subset.choose(f'r{number}', 'dha-hall', zones, 5):
                counts[name] += 1
        self.assertGreater(min(counts.values()), 60)
        self.assertLess(max(counts.values()), 140)

    def test_upstreams_that_take_no_work_do_not_use_up_the_subset(self):
        cfg = model.Configuration(policies=model.Policies(subset=2))
        for number in range(8):
            cfg.upstreams[f'e{number}'] = model.Upstream(
                'model', '127.0.0.1:1', 'dha-hall', models=['plan']
            )
        first = subset.select_upstreams('r', 'dha-hall', cfg, ())
        passive = sorted(first)[:1]
        second = subset.select_upstreams('r', 'dha-hall', cfg, passive)
        self.assertLess(first, second)
        self.assertEqual(len(second), 3)


if __name__ == '__main__':
    unittest.main()
