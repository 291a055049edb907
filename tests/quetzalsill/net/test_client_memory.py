"""Tests of the ledger of what clients hold."""

from __future__ import annotations

import unittest

from quetzalsill.net import client_memory
from quetzalsill.settings import section

MB = client_memory.MB
BOUNDS = client_memory.Bounds(16 * MB, 100)


class Holder:
    """A connection that gives back what it holds when it is evicted."""

    def __init__(self, ledger, stalled_s=0.0):
        self.stall_s = stalled_s
        self.is_evicted = False
        self.account = ledger.open(self)

    def stalled_s(self, now_s):
        return self.stall_s

    def evict(self):
        self.is_evicted = True
        self.account.close()


class LedgerTest(unittest.IsolatedAsyncioTestCase):
    """Connections of 16 MB and 100 together."""

    def setUp(self):
        self.ledger = client_memory.Ledger(BOUNDS)

    async def test_all_is_given_back_once(self):
        """A ledger that leaks refuses everybody in the end."""
        holders = [Holder(self.ledger) for _ in range(10)]
        for number, holder in enumerate(holders):
            holder.account.hold(1000 * number)
            self.assertTrue(holder.account.admit_body(100_000 * number))
        for holder in holders[::2]:
            holder.account.release_body()
        for holder in holders:
            holder.account.close()
            holder.account.close()
            holder.account.hold(5000)
            holder.account.release_body()
        self.assertEqual(self.ledger.used_bytes, 0)
        self.assertEqual(self.ledger.body_bytes, 0)
        self.assertEqual(self.ledger.connections, 0)

    async def test_who_holds_most_for_longest_goes_first(self):
        """Not the client that comes next, and none that makes progress."""
        busy = Holder(self.ledger)
        small = Holder(self.ledger, stalled_s=9.0)
        large = Holder(self.ledger, stalled_s=1.0)
        busy.account.hold(6 * MB)
        small.account.hold(MB // 2)
        large.account.hold(6 * MB)
        newcomer = Holder(self.ledger)
        newcomer.account.hold(4 * MB)
        self.assertTrue(large.is_evicted)
        self.assertFalse(small.is_evicted or busy.is_evicted)

    async def test_bodies_leave_room_for_small_requests(self):
        """Large bodies that all make progress are refused in time."""
        holders = [Holder(self.ledger) for _ in range(4)]
        admitted = [one.account.admit_body(4 * MB) for one in holders]
        self.assertEqual(admitted, [True, True, True, False])
        self.assertTrue(Holder(self.ledger).account.admit_body(60_000))

    async def test_requests_that_wait_for_upstreams_are_bounded(self):
        """Small bodies that nobody may evict would fill the memory."""
        holders = [Holder(self.ledger) for _ in range(100)]
        for holder in holders:
            holder.account.hold(100_000)
        admitted = [one.account.admit_body(65_536) for one in holders]
        self.assertIn(True, admitted)
        self.assertLessEqual(self.ledger.used_bytes, BOUNDS.memory_bytes)
        self.assertFalse(holders[-1].account.admit_body(65_536))
        holders[-1].account.release_body()
        self.assertFalse(any(one.is_evicted for one in holders))

    async def test_a_stalled_body_makes_room(self):
        """A body that trickles at its end keeps out no other one."""
        holders = [Holder(self.ledger) for _ in range(3)]
        for holder in holders:
            self.assertTrue(holder.account.admit_body(4 * MB))
        holders[1].stall_s = 3.0
        self.assertTrue(Holder(self.ledger).account.admit_body(4 * MB))
        self.assertEqual([one.is_evicted for one in holders], [0, 1, 0])

    async def test_one_body_is_always_admitted(self):
        """A bound that is too small for one legal body refuses them all."""
        small = client_memory.Ledger(client_memory.Bounds(MB, 100))
        self.assertTrue(Holder(small).account.admit_body(4 * MB))
        self.assertFalse(Holder(small).account.admit_body(4 * MB))

    async def test_connections_are_bounded(self):
        """Idle connections yield to new ones, those with requests do not."""
        holders = [Holder(self.ledger) for _ in range(100)]
        self.assertIsNone(self.ledger.open(holders[0]))
        holders[7].stall_s = 1.0
        self.ledger = client_memory.Ledger(BOUNDS)
        holders = [Holder(self.ledger) for _ in range(100)]
        holders[7].stall_s = 1.0
        self.assertIsNotNone(Holder(self.ledger).account)
        self.assertTrue(holders[7].is_evicted)

    def test_bounds_follow_the_machine(self):
        """The share of a process with 80 MB and 400 descriptors."""
        bounds = client_memory.bounds_of(section.Machine(80, 400), 150)
        self.assertEqual(bounds.memory_bytes, 20 * MB)
        self.assertEqual(bounds.connections, 150)
        unknown = client_memory.bounds_of(section.Machine(), 16)
        self.assertEqual(unknown.memory_bytes, 4 * MB)
        self.assertGreaterEqual(unknown.connections, 16)
