"""What is known of a crashing part outlasts the gateways that found it."""

from __future__ import annotations

import asyncio
import random
import unittest

from tests.quetzalsill_platform import fixture, test_crashing_part

GONE = 40


class StateTestCase(test_crashing_part.CrashingPartTestCase):
    """Three gateways; a few crashing requests are enough to find the part."""

    gateway_count = 3
    restart_s = 0.3

    async def find_part(self):
        """Sends crashing requests until all gateways refuse them."""
        for number in range(40):
            await self.prompt(self.bad_parts(number), is_bad=True)
            if all(one.core.quarantine.entries for one in self.gateways):
                break
            await asyncio.sleep(0.1)
        await self.wait_until(lambda: self.store.rows('quarantine'))

    async def count_sent(self, count):
        """Sends crashing requests; returns how many reached engines."""
        before = len(self.fleet.arrivals)
        for number in range(count):
            sent = await self.prompt(self.bad_parts(100 + number), is_bad=True)
            self.assertEqual(sent.response.status, 503)
            self.assertGreater(float(sent.response.headers['retry-after']), 0.5)
        return len(self.fleet.arrivals) - before

    async def restart(self, names, **kwargs):
        return await asyncio.gather(
            *(
                self.start_gateway(
                    name=name, peers=fixture.ANYWHERE, wait=False, **kwargs
                )
                for name in names
            )
        )

    async def restart_all(self):
        for gateway in self.gateways:
            await gateway.close()
        self.gateways = await self.restart(f'node-{n}' for n in range(3))


class StateTest(StateTestCase):
    """Some or all gateways restart."""

    async def test_gateways_that_all_restart_know_the_part(self):
        """All lose power at once, and requests with the part come again."""
        await self.find_part()
        await self.restart_all()
        self.assertEqual(await self.count_sent(6), 0)
        sound = await self.prompt((test_crashing_part.SHARED, 'f', 'e'))
        self.assertTrue(sound.has_begun)

    async def test_a_gateway_that_starts_knows_the_part(self):
        """Its first request has the part."""
        await self.find_part()
        await self.gateways[0].close()
        self.gateways = await self.restart(['node-0'])
        self.assertEqual(await self.count_sent(3), 0)

    async def test_a_gateway_cut_off_from_the_others_learns_the_part(self):
        """It reaches the store and the engines, but none of the others."""
        alone = self.gateways.pop()
        alone.peers.close()
        await self.find_part()
        self.gateways = [alone]
        before = len(self.fleet.arrivals)
        await self.prompt(self.bad_parts(90), is_bad=True)
        await self.wait_until(lambda: alone.core.quarantine.entries)
        await self.count_sent(4)
        self.assertLessEqual(
            len(self.fleet.arrivals) - before, test_crashing_part.MAX_LATE_SENDS
        )


class DepartedGatewaysTest(StateTestCase):
    """Most gateways of the directory have left for good."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for number in range(GONE):
            self.store.put(
                'gateways', f'gone-{number}', {'address': '127.0.0.1:9'}
            )
        await self.restart_all()

    async def test_the_part_is_stored(self):
        """Only gateways that had left were to store it."""
        await self.find_part()
        await self.restart_all()
        self.assertEqual(await self.count_sent(6), 0)


class RestoredStoreTest(StateTestCase):
    """The store comes back from a copy and loses what gateways wrote."""

    era = 1

    async def test_the_part_is_stored_again(self):
        """An entry that the copy lacked was missing from then on."""
        copy = self.store.snapshot()
        await self.find_part()
        await self.store.restore(copy, random.Random(1), rewrite_s=0.1)
        await self.wait_until(lambda: self.store.rows('quarantine'))
        await self.restart_all()
        self.assertEqual(await self.count_sent(6), 0)


if __name__ == '__main__':
    unittest.main()
