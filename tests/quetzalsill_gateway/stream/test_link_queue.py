"""Tests the order of moves off a leaving engine.

Failure: an engine with eight runs shuts down within two seconds, and its link
transfers one run in a quarter of a second. If gateways request copies without
coordination, runs that were copied in time are lost behind runs that were not.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway.stream import link_queue

ENGINE = 'e-1'
TIMEOUT_S = 0.5
RUNS = st.dictionaries(
    st.uuids().map(str), st.integers(1, 9000), min_size=1, max_size=9
)


def make_queues(runs, count=3):
    """Returns gateways that share an engine's runs and know all moves."""
    queues = [link_queue.LinkQueue() for _ in range(count)]
    for number, (request, tokens) in enumerate(sorted(runs.items())):
        queues[number % count].add(ENGINE, request, tokens)
    exchange_moves(queues)
    return queues


def exchange_moves(queues):
    for number, queue in enumerate(queues):
        for other in queues:
            if other is not queue:
                other.receive(f'gateway-{number}', queue.own_moves())


def next_runs(queues, now=0.0):
    """Returns the runs whose turn it is, with the queues of their gateways."""
    return [
        (queue, request)
        for queue in queues
        for request in queue.own_moves().get(ENGINE, {})
        if queue.is_next(ENGINE, request, now, TIMEOUT_S)
    ]


class LinkQueueTest(unittest.TestCase):
    """Each move is completed before the next one starts."""

    @settings(derandomize=True, deadline=None)
    @given(RUNS)
    def test_all_gateways_agree_and_the_smallest_run_is_first(self, runs):
        """Runs are moved one at a time by size, whichever gateway has them."""
        queues = make_queues(runs)
        moved = []
        while any(queue.own_moves() for queue in queues):
            ((queue, request),) = next_runs(queues)
            moved.append(request)
            queue.remove(ENGINE, request)
            exchange_moves(queues)
        self.assertEqual(
            moved, sorted(runs, key=lambda request: (runs[request], request))
        )

    @settings(derandomize=True, deadline=None)
    @given(RUNS)
    def test_a_move_in_progress_stays_first(self, runs):
        """A smaller run is added while a larger one is being copied.

        If it were started in between, its copy would delay the final copy of
        the larger run, and the caller of that run would see a pause.
        """
        queues = make_queues(runs)
        ((queue, request),) = next_runs(queues)
        queue.start(ENGINE, request)
        queues[0].add(ENGINE, 'late', 1)
        exchange_moves(queues)
        self.assertEqual(next_runs(queues), [(queue, request)])

    def test_a_failed_gateway_blocks_others_for_a_limited_time(self):
        """The gateway of the first run fails during the move."""
        alive, dead = make_queues({'a': 10, 'b': 20}, count=2)
        self.assertEqual(next_runs([dead]), [])
        dead.remove(ENGINE, 'b')
        alive.remove(ENGINE, 'a')
        alive.add(ENGINE, 'c', 30)
        self.assertFalse(alive.is_next(ENGINE, 'c', 1.0, TIMEOUT_S))
        self.assertFalse(alive.is_next(ENGINE, 'c', 1.4, TIMEOUT_S))
        alive.is_next(ENGINE, 'c', 1.6, TIMEOUT_S)
        self.assertTrue(alive.is_next(ENGINE, 'c', 1.6, TIMEOUT_S))

    def test_a_gateway_without_pending_moves_is_dropped(self):
        first, second = make_queues({'a': 10, 'b': 20}, count=2)
        self.assertFalse(second.is_next(ENGINE, 'b', 0.0, TIMEOUT_S))
        first.remove(ENGINE, 'a')
        exchange_moves([first, second])
        self.assertTrue(second.is_next(ENGINE, 'b', 0.0, TIMEOUT_S))

    def test_engines_do_not_wait_for_each_other(self):
        queue = link_queue.LinkQueue()
        queue.add(ENGINE, 'a', 10)
        queue.add('e-2', 'b', 20)
        self.assertTrue(queue.is_next('e-2', 'b', 0.0, TIMEOUT_S))


if __name__ == '__main__':
    unittest.main()
