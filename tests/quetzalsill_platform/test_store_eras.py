"""A gateway on a store whose era is none, or that has never any history."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev.users_platform import store as store_lib
from tests.quetzalsill_platform import drill as drill_lib

# How long a store that misbehaves is watched.
OBSERVATION_S = 2.0
# Beyond what a float counts one by one, as other programs' JSON does.
HUGE_VERSION = 2**53 + 1


class FaultTest(drill_lib.DrillTestCase):
    """A store whose era is no era, or that has never any history."""

    async def call_rate_while_serving(self):
        """Asks for a while; returns calls at the store in each second."""
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
        """Plays a fault with a change under it, and the end of the fault.

        Args:
          fault: Its name in the stand-in.
          expected: Plain servers that the gateway must know under the fault.
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

    async def test_a_header_that_is_missing_once_it_was_told(self):
        """Something between answers for the store, with rows of its own.

        An answer without the era that was told before changes nothing.
        """
        await self.check('absent', expected={'desk-1', 'desk-2'})

    async def test_a_header_that_is_no_whole_number(self):
        """A faulty store tells text, a fraction and a negative number."""
        for fault in ('text', 'fraction', 'negative'):
            with self.subTest(fault):
                self.register_server(1)
                both = {'desk-1', 'desk-2'}
                await self.wait_until(
                    lambda both=both: self.known_servers() == both
                )
                await self.check(fault, expected=both)

    async def test_a_header_that_falls(self):
        """An answer of an era that is over arrives late, or is a fault's."""
        await self.check('falls', expected={'desk-1', 'desk-2'})

    async def test_a_header_that_is_huge(self):
        """Four hundred digits: believed, no later era would ever count."""
        await self.check('huge', expected={'desk-1', 'desk-2'})

    async def test_an_era_that_jumps_is_believed(self):
        """Several drills came while the gateway was cut off from the store."""
        self.store.era = 8
        self.store.remove('servers', 'desk-1')
        self.assertLess(
            await self.call_rate_while_serving(), drill_lib.MAX_CALLS_PER_S
        )
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})

    async def test_a_version_beyond_what_others_can_count(self):
        """The counter jumps beyond 2^53, and a drill brings it back.

        Whatever is made of such a version, callers are served, and what is
        written under the next era counts.
        """
        snapshot = self.store.snapshot()
        self.store.skip(HUGE_VERSION)
        self.register_server(1)
        self.assertLess(
            await self.call_rate_while_serving(), drill_lib.MAX_CALLS_PER_S
        )
        self.store.come_back(snapshot)
        self.store.remove('servers', 'desk-1')
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})

    async def test_the_same_list_under_two_eras(self):
        """A drill in which nothing was written since the copy."""
        before = self.process.core.upstreams.all()
        for _ in range(3):
            self.store.come_back(self.store.snapshot())
            self.assertLess(
                await self.call_rate_while_serving(), drill_lib.MAX_CALLS_PER_S
            )
        unavailable = [one.id for one in before if one.removed or one.leaving]
        self.assertEqual(unavailable, [])

    async def test_history_that_is_gone_for_ever(self):
        """Each watch gets 410; read anew without pause, it would be a storm."""
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

    async def test_a_store_that_begins_to_tell_its_era(self):
        """Its program is replaced by one that has drills."""
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
