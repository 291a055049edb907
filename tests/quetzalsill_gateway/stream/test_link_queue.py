"""The order of the moves away from an engine that leaves.

Pattern: an engine with eight runs leaves within two seconds, and its link
carries one run in a quarter of a second. Gateways that order their copies each
for itself lose runs that were copied in time behind those that were not.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway.stream import link_queue

ENGINE = 'e-1'
PATIENCE_S = 0.5
RUNS = st.dictionaries(
    st.uuids().map(str), st.integers(1, 9000), min_size=1, max_size=9
)


def gateways(runs, count=3):
    """Returns gateways with the runs of an engine dealt out, all told."""
    found = [link_queue.LinkQueue() for _ in range(count)]
    for number, (request, tokens) in enumerate(sorted(runs.items())):
        found[number % count].add(ENGINE, request, tokens)
    tell(found)
    return found


def tell(queues):
    for number, queue in enumerate(queues):
        for other in queues:
            if other is not queue:
                other.receive(f'gateway-{number}', queue.own_moves())


def next_ones(queues, now=0.0):
    """Returns the runs whose turn it is, by the gateways that have them."""
    return [
        (queue, request)
        for queue in queues
        for request in queue.own_moves().get(ENGINE, {})
        if queue.is_next(ENGINE, request, now, PATIENCE_S)
    ]


class LinkQueueTest(unittest.TestCase):
    """Every run is moved whole before the next one begins."""

    @settings(derandomize=True, deadline=None)
    @given(RUNS)
    def test_all_agree_and_the_smallest_comes_first(self, runs):
        """Whoever has the runs, one at a time moves, in the order of sizes."""
        queues = gateways(runs)
        moved = []
        while any(queue.own_moves() for queue in queues):
            ((queue, request),) = next_ones(queues)
            moved.append(request)
            queue.remove(ENGINE, request)
            tell(queues)
        self.assertEqual(moved, sorted(runs, key=lambda one: (runs[one], one)))

    @settings(derandomize=True, deadline=None)
    @given(RUNS)
    def test_what_is_on_the_link_stays_first(self, runs):
        """A smaller run is entered while a larger one is being copied.

        Begun in between, it would put its copy before the larger one's last
        tokens, whose caller would see the pause.
        """
        queues = gateways(runs)
        ((queue, request),) = next_ones(queues)
        queue.start(ENGINE, request)
        queues[0].add(ENGINE, 'late', 1)
        tell(queues)
        self.assertEqual(next_ones(queues), [(queue, request)])

    def test_a_gateway_that_died_holds_nobody_up_for_long(self):
        """The first run's gateway is killed in the middle of its move."""
        alive, dead = gateways({'a': 10, 'b': 20}, count=2)
        self.assertEqual(next_ones([dead]), [])
        dead.remove(ENGINE, 'b')
        alive.remove(ENGINE, 'a')
        alive.add(ENGINE, 'c', 30)
        self.assertFalse(alive.is_next(ENGINE, 'c', 1.0, PATIENCE_S))
        self.assertFalse(alive.is_next(ENGINE, 'c', 1.4, PATIENCE_S))
        alive.is_next(ENGINE, 'c', 1.6, PATIENCE_S)
        self.assertTrue(alive.is_next(ENGINE, 'c', 1.6, PATIENCE_S))

    def test_a_gateway_that_has_nothing_left_is_forgotten(self):
        first, second = gateways({'a': 10, 'b': 20}, count=2)
        self.assertFalse(second.is_next(ENGINE, 'b', 0.0, PATIENCE_S))
        first.remove(ENGINE, 'a')
        tell([first, second])
        self.assertTrue(second.is_next(ENGINE, 'b', 0.0, PATIENCE_S))

    def test_engines_do_not_wait_for_each_other(self):
        queue = link_queue.LinkQueue()
        queue.add(ENGINE, 'a', 10)
        queue.add('e-2', 'b', 20)
        self.assertTrue(queue.is_next('e-2', 'b', 0.0, PATIENCE_S))


if __name__ == '__main__':
    unittest.main()
