"""Tests of a gateway on a store with an invalid era or without history."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev.users_platform import store as store_lib
from tests.quetzalsill_platform import drill as drill_lib

# Time for which the gateway is observed during a fault.
OBSERVATION_S = 2.0
# Above the largest integer that JSON decoders with doubles represent exactly.
HUGE_VERSION = 2**53 + 1


class FaultTest(drill_lib.DrillTestCase):
    """A store that sends an invalid era, or never has any history."""

    async def call_rate_while_serving(self):
        """Sends requests for a while; returns the store's calls per second."""
        before = sum(self.store.calls.values())
        end_s = asyncio.get_running_loop().time() + OBSERVATION_S
        while asyncio.get_running_loop().time() < end_s:
            responses = await asyncio.gather(
                self.request('/safe/'), self.request('/plan/', method='POST')
            )
            self.assertEqual({one.status for one in responses}, {drill_lib.OK})
            await asyncio.sleep(0.02)
        return (sum(self.store.calls.values()) - before) / OBSERVATION_S

    async def check(self, fault, *, expected):
        """Removes a server during a fault, then ends the fault.

        Args:
          fault: Name of the fault in the simulated store.
          expected: HTTP servers that the gateway must know during the fault.
        """
        self.store.era_fault = fault
        self.store.remove('servers', 'desk-1')
        self.assertLess(
            await self.call_rate_while_serving(), drill_lib.MAX_CALLS_PER_S
        )
        self.assertEqual(self.known_servers(), expected)
        self.store.era_fault = ''
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})
        self.assertTrue(self.process.is_ready())

    async def test_a_header_that_is_missing_once_it_was_sent(self):
        """A proxy responds in place of the store, with rows of its own.

        A response without the era that was sent before must change nothing.
        """
        await self.check('absent', expected={'desk-1', 'desk-2'})

    async def test_a_header_that_is_no_whole_number(self):
        """A faulty store sends text, a fraction and a negative number."""
        for fault in ('text', 'fraction', 'negative'):
            with self.subTest(fault):
                self.register_server(1)
                both = {'desk-1', 'desk-2'}
                await self.wait_until(
                    lambda both=both: self.known_servers() == both
                )
                await self.check(fault, expected=both)

    async def test_a_header_that_falls(self):
        """A response of an earlier era arrives late, or is faulty."""
        await self.check('falls', expected={'desk-1', 'desk-2'})

    async def test_a_header_that_is_huge(self):
        """If an era of 400 digits were accepted, no later era would count."""
        await self.check('huge', expected={'desk-1', 'desk-2'})

    async def test_an_era_that_jumps_is_accepted(self):
        """Several restores happen while the gateway cannot reach the store."""
        self.store.era = 8
        self.store.remove('servers', 'desk-1')
        self.assertLess(
            await self.call_rate_while_serving(), drill_lib.MAX_CALLS_PER_S
        )
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})

    async def test_a_version_beyond_exact_doubles(self):
        """The counter jumps beyond 2^53, and a restore resets it.

        However the gateway treats such a version, it serves requests, and
        applies what is written in the next era.
        """
        snapshot = self.store.snapshot()
        self.store.skip(HUGE_VERSION)
        self.register_server(1)
        self.assertLess(
            await self.call_rate_while_serving(), drill_lib.MAX_CALLS_PER_S
        )
        self.store.load_snapshot(snapshot)
        self.store.remove('servers', 'desk-1')
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})

    async def test_the_same_list_under_two_eras(self):
        """A restore without any writes since the snapshot."""
        before = self.process.core.upstreams.all()
        for _ in range(3):
            self.store.load_snapshot(self.store.snapshot())
            self.assertLess(
                await self.call_rate_while_serving(), drill_lib.MAX_CALLS_PER_S
            )
        unavailable = [one.id for one in before if one.removed or one.leaving]
        self.assertEqual(unavailable, [])

    async def test_history_that_is_gone_for_ever(self):
        """Each watch gets 410; listing without pauses would flood the store."""
        self.store.always_gone = True
        self.store.remove('servers', 'desk-1')
        self.assertLess(
            await self.call_rate_while_serving(), drill_lib.MAX_CALLS_PER_S
        )
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})
        self.store.always_gone = False
        self.register_server(1)
        await self.wait_until(
            lambda: self.known_servers() == {'desk-1', 'desk-2'}
        )

    async def test_a_store_that_starts_to_send_its_era(self):
        """The store is upgraded to a release that sends its era."""
        self.store.era = None
        self.process = await self.start_gateway()
        await self.wait_for_marker('before')
        self.store.era = 1
        self.store.remove('servers', 'desk-1')
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})

    def test_each_fault_of_the_stand_in_is_played(self):
        covered = {'absent', 'text', 'fraction', 'negative', 'falls', 'huge'}
        self.assertEqual(set(store_lib.ERA_FAULTS) - covered, {'jumps'})


if __name__ == '__main__':
    unittest.main()
