"""A gateway while the store comes back from an older copy, under a new era."""

from __future__ import annotations

import asyncio
import random
import unittest

from quetzalsill_dev.users_platform import store as store_lib
from tests.quetzalsill_platform import fixture

# Within this an order to drain a zone is in force, on every deployment.
DRAINED_S = 5.0
# What the store's rates leave each of its gateways, where they leave least.
CALLS_PER_S = 6000 / 28
# How long a store that misbehaves is watched.
WATCHED_S = 2.0
OK = 200
WITHOUT_KEY_1 = [{'name': 'first', 'apiKeys': ['key-2']}]
# Versions that the store gives out between a copy and its loss.
BETWEEN = 20


class DrillTest(fixture.PathTest):
    """One gateway on a store that tells its era."""

    era = 1

    def desks_known(self):
        """Returns the plain servers to which the gateway sends."""
        found = self.process.core.upstreams.of('desk')
        return {upstream.id for upstream in found}

    def version(self):
        return self.process.core.holder.current.version

    def enter_desk(self, number, **more):
        desk = self.desks[number - 1]
        self.store.put('servers', desk.id, desk.entry('desk', 'zone-a', **more))

    async def mark(self, name):
        """Writes an entry and waits until the gateway has come so far.

        Everything that was written before, in both tables, is known then.
        """
        spare = self.desks[0].entry('spare', 'zone-a')
        self.store.put('servers', name, spare)
        self.store.put('op', 'evacuate/' + name, {})
        upstreams = self.process.core.upstreams
        await self.until(lambda: upstreams.get(name) is not None)
        await self.until(lambda: upstreams.zones.is_drained(name))

    async def lose(self, copy):
        """The store is away until the gateway sees it, and holds the copy."""
        self.store.down = 'busy'
        await self.until(lambda: self.process.core.health.is_down)
        self.store.come_back(copy)

    def drill(self, copy, **more):
        """Begins a drill that is played to its end in the background."""
        task = asyncio.create_task(
            self.store.restore(copy, random.Random(7), **more)
        )
        self.addAsyncCleanup(asyncio.wait, [task])
        return task

    async def served_by(self, count=4):
        """Returns who serves a number of requests."""
        answers = [await self.ask('/safe/') for _ in range(count)]
        self.assertEqual({one.status for one in answers}, {OK})
        stamps = [one.headers['x-quetzalsill-server-stamp'] for one in answers]
        return {stamp.partition('.')[0] for stamp in stamps}


class FeedTest(DrillTest):
    """A feed that is read on from a version given out again."""

    async def test_an_upstream_leaves_under_a_version_given_out_again(self):
        """Requests go on to a server that has said that it leaves.

        The gateway has read up to 30; the store is back with 10, the notice is
        written as 11, and others' writes bring the counter past 30. Read on
        from 30, the feed tells neither an error nor the notice.
        """
        copy = self.store.snapshot()
        self.store.skip(BETWEEN)
        await self.mark('before')
        await self.lose(copy)
        self.enter_desk(1, state='draining')
        self.store.skip(2 * BETWEEN)
        self.store.down = ''
        await self.mark('after')
        await self.until(lambda: self.desks_known() == {'desk-2'})
        self.assertEqual(await self.served_by(8), {'desk-2'})

    async def test_an_upstream_comes_back_under_a_lower_version(self):
        """A server that serves again never gets a request.

        It left at 31. The store is back with 10, it is entered as 11, and the
        counter goes past 31 before the gateway asks again.
        """
        self.store.remove('servers', 'desk-1')
        copy = self.store.snapshot()
        self.enter_desk(1)
        self.store.skip(BETWEEN)
        self.store.remove('servers', 'desk-1')
        await self.mark('before')
        await self.until(lambda: self.desks_known() == {'desk-2'})
        await self.lose(copy)
        self.enter_desk(1)
        self.store.skip(2 * BETWEEN)
        self.store.down = ''
        await self.until(lambda: self.desks_known() == {'desk-1', 'desk-2'})

    async def test_an_upstream_comes_back_while_the_counter_is_behind(self):
        """As before, but the store answers 410 to the version known here."""
        self.store.remove('servers', 'desk-1')
        copy = self.store.snapshot()
        self.enter_desk(1)
        self.store.skip(BETWEEN)
        self.store.remove('servers', 'desk-1')
        await self.mark('before')
        await self.until(lambda: self.desks_known() == {'desk-2'})
        await self.lose(copy)
        self.enter_desk(1)
        self.store.down = ''
        await self.until(lambda: self.desks_known() == {'desk-1', 'desk-2'})

    async def test_a_configuration_under_a_version_given_out_again(self):
        """A key that operators withdraw in a drill is served for ever.

        No call fails, since the store is back at once. The configuration is
        written under a version below the one that the gateway has read to, and
        the watch that waits there is never told that it was passed over.
        """
        copy = self.store.snapshot()
        self.store.skip(BETWEEN)
        await self.mark('before')
        self.store.come_back(copy)
        document = fixture.configuration(9, accounts=WITHOUT_KEY_1)
        self.store.put('op', 'config', document)
        self.store.skip(2 * BETWEEN)
        await self.mark('after')
        await self.until(lambda: self.version() == 9)
        self.assertEqual((await self.ask('/safe/', key='key-1')).status, 401)

    async def test_a_configuration_after_an_outage(self):
        """As before, after an outage that the gateway has seen."""
        copy = self.store.snapshot()
        self.store.skip(BETWEEN)
        await self.mark('before')
        await self.lose(copy)
        document = fixture.configuration(9, accounts=WITHOUT_KEY_1)
        self.store.put('op', 'config', document)
        self.store.skip(2 * BETWEEN)
        self.store.down = ''
        await self.until(lambda: self.version() == 9)
        self.assertEqual((await self.ask('/safe/', key='key-1')).status, 401)

    async def test_who_follows_goes_by_the_epoch_of_the_store(self):
        """A drill is seen by one call, and every table is listed for it.

        With an epoch of its own for each, each would wait for its own feed.
        """
        await self.mark('spare')
        followers = (self.process.membership, self.process.configuration)
        for follower in followers:
            self.assertEqual(follower._epochs.newest, self.era)


class ZoneTest(DrillTest):
    """Drained zones.

    `desk-1` is in the gateway's own zone, which is the one that is drained:
    as long as it may, the gateway sends there before it sends to `desk-2`.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        desk = self.desks[1]
        self.store.remove('servers', desk.id)
        self.store.put('servers', desk.id, desk.entry('desk', 'zone-b'))
        upstreams = self.process.core.upstreams
        self.zones = upstreams.zones
        await self.until(
            lambda: upstreams.get('desk-2').availability_zone == 'zone-b'
        )
        self.assertEqual(await self.served_by(), {'desk-1'})

    def drain(self):
        self.store.put('op', 'evacuate/zone-a', {})

    def take_back(self):
        self.store.remove('op', 'evacuate/zone-a')

    async def until_drained(self, expected=True):
        await self.until(lambda: self.zones.is_drained('zone-a') is expected)

    async def test_a_drain_that_the_copy_lacks_holds(self):
        """Requests go to a zone that is drained, for a second of a drill.

        The order came behind the copy; operators write it again a second after
        the store's return, which by itself takes nothing back.
        """
        copy = self.store.snapshot()
        self.drain()
        await self.until_drained()
        drill = self.drill(copy, away_s=0.3, rewrite_s=1.0)
        while not drill.done():
            self.assertEqual(await self.served_by(), {'desk-2'})
        await self.mark('after')
        self.assertEqual(await self.served_by(), {'desk-2'})

    async def test_a_drain_that_was_taken_back_is_not_for_ever(self):
        """A zone stays empty although operators have taken it back.

        The copy holds the order, and its end is written under a version given
        out again, below the one that the gateway knows for it.
        """
        self.drain()
        copy = self.store.snapshot()
        await self.until_drained()
        self.store.skip(BETWEEN)
        self.take_back()
        await self.until_drained(False)
        await self.lose(copy)
        self.store.down = ''
        self.take_back()
        await self.mark('after')
        await self.until_drained(False)
        self.assertEqual(await self.served_by(), {'desk-1'})

    async def test_an_order_under_a_lower_version_is_in_force_in_time(self):
        """A zone is drained just after a drill, and requests still go there.

        The gateway knows an older order for it under a higher version of the
        era before.
        """
        copy = self.store.snapshot()
        self.store.skip(BETWEEN)
        self.drain()
        await self.until_drained()
        self.take_back()
        await self.until_drained(False)
        await self.lose(copy)
        self.store.down = ''
        await self.until(lambda: not self.process.core.health.is_down)
        self.drain()
        await asyncio.sleep(DRAINED_S)
        self.assertEqual(await self.served_by(8), {'desk-2'})

    async def test_an_order_under_a_version_given_out_again(self):
        """A zone is drained in a drill, and requests go there for ever.

        The store is back before any call has failed, and the watch that waits
        at a later version of the era before is not told the order.
        """
        copy = self.store.snapshot()
        self.store.skip(BETWEEN)
        await self.mark('before')
        self.store.come_back(copy)
        self.drain()
        self.store.skip(2 * BETWEEN)
        await self.mark('after')
        await asyncio.sleep(DRAINED_S)
        self.assertEqual(await self.served_by(8), {'desk-2'})


class KeyTest(DrillTest):
    """A key is withdrawn around the moment of the copy."""

    async def withdraw(self):
        document = fixture.configuration(6, accounts=WITHOUT_KEY_1)
        self.store.put('op', 'config', document)
        await self.until(lambda: self.version() == 6)

    async def refused_through(self, drill):
        """Asks with the withdrawn key until a drill is over."""
        while not drill.done():
            answer = await self.ask('/safe/', key='key-1')
            self.assertEqual(answer.status, 401)
            self.assertEqual(await self.other_key(), OK)
        self.assertEqual((await self.ask('/safe/', key='key-1')).status, 401)

    async def other_key(self):
        return (await self.ask('/safe/', key='key-2')).status

    async def test_withdrawn_just_before_the_copy(self):
        """The copy holds the newest configuration: nothing changes."""
        await self.withdraw()
        drill = self.drill(self.store.snapshot(), away_s=0.3, rewrite_s=1.0)
        await self.refused_through(drill)

    async def test_withdrawn_just_after_the_copy(self):
        """A withdrawn key is served again, until operators write once more.

        The copy holds the configuration before, which reverts nothing.
        """
        copy = self.store.snapshot()
        await self.withdraw()
        drill = self.drill(copy, away_s=0.3, rewrite_s=1.0)
        await self.refused_through(drill)
        self.store.put('op', 'config', fixture.configuration(8))
        await self.until(lambda: self.version() == 8)
        self.assertEqual((await self.ask('/safe/', key='key-1')).status, OK)

    async def test_two_drills_within_three_seconds(self):
        """The second comes while rows are still written again for the first."""
        copy = self.store.snapshot()
        await self.withdraw()
        first = self.drill(copy, away_s=0.2, rewrite_s=2.0)
        await asyncio.sleep(1.0)
        second = self.drill(copy, down='reset', away_s=0.2, rewrite_s=1.0)
        await self.refused_through(second)
        await first
        await self.mark('after')
        self.assertEqual(self.version(), 6)
        self.assertEqual((await self.ask('/safe/', key='key-1')).status, 401)


class CallerTest(DrillTest):
    """Callers through a drill, beside an outage that is as long."""

    async def lost_through(self, trouble):
        """Returns statuses of requests that fail until a trouble is over."""
        lost = []
        while not trouble.done():
            answers = await asyncio.gather(
                self.ask('/safe/', deadline_ms=2000),
                self.ask('/unsafe/', method='POST', deadline_ms=2000),
                self.ask('/plan/', method='POST', deadline_ms=2000),
            )
            lost += [
                one.status
                for one in answers
                if one.status != OK or not one.whole
            ]
        return lost

    async def outage(self, for_s):
        self.store.down = 'busy'
        await asyncio.sleep(for_s)
        self.store.down = ''

    async def enter_all_after_a_copy(self):
        """Returns a copy without any entry; all are entered, and known."""
        for server in (*self.desks, *self.engines):
            self.store.remove('servers', server.id)
        copy = self.store.snapshot()
        self.enter_desk(1)
        self.enter_desk(2)
        for writer in self.engines:
            self.enter(writer)
        await self.mark('entered')
        upstreams = self.process.core.upstreams
        await self.until(lambda: len(upstreams.of('writers')) == 3)
        await self.until(lambda: len(upstreams.of('desk')) == 2)
        return copy

    async def test_a_drill_fails_no_more_than_an_outage(self):
        copy = self.store.snapshot()
        await self.mark('before')
        outage = asyncio.create_task(self.outage(0.5))
        lost_in_outage = await self.lost_through(outage)
        await self.until(lambda: not self.process.core.health.is_down)
        drill = self.drill(copy, away_s=0.5, rewrite_s=1.5)
        lost = await self.lost_through(drill)
        self.assertLessEqual(len(lost), len(lost_in_outage), lost)

    async def test_a_copy_without_any_server_takes_nobody_out(self):
        """All servers were entered behind the copy, as after a release.

        They live and enter themselves again within the two seconds that they
        have. Taken at its word, the copy leaves nobody to serve.
        """
        copy = await self.enter_all_after_a_copy()
        drill = self.drill(copy, away_s=0.5, rewrite_s=1.5)
        self.assertEqual(await self.lost_through(drill), [])

    async def test_a_drill_that_nobody_sees_takes_nobody_out(self):
        """As before, but the store is back before any call has failed.

        Watches that waited are answered under the new era: the gateway has
        seen no outage after which entries get time to come back.
        """
        copy = await self.enter_all_after_a_copy()
        drill = self.drill(copy, down='', away_s=0.0, rewrite_s=1.5)
        self.assertEqual(await self.lost_through(drill), [])

    async def test_watches_that_are_cut_take_nobody_out(self):
        """As before, but watches that waited are broken off."""
        self.store.cuts_watches = True
        copy = await self.enter_all_after_a_copy()
        drill = self.drill(copy, down='reset', away_s=0.1, rewrite_s=1.5)
        self.assertEqual(await self.lost_through(drill), [])

    async def test_an_entry_that_is_missing_in_the_end_is_gone(self):
        """A server ends while the store is away; nobody enters it again."""
        copy = self.store.snapshot()
        self.enter_desk(1)
        await self.mark('before')
        await self.lose(copy)
        self.store.remove('servers', 'desk-1')
        self.store.down = ''
        await self.until(lambda: self.desks_known() == {'desk-2'})


class FaultTest(DrillTest):
    """A store whose era is no era, or that has never any history."""

    async def served_meanwhile(self):
        """Asks for a while; returns calls at the store in each second."""
        before = sum(self.store.calls.values())
        end_s = asyncio.get_running_loop().time() + WATCHED_S
        while asyncio.get_running_loop().time() < end_s:
            answers = await asyncio.gather(
                self.ask('/safe/'), self.ask('/plan/', method='POST')
            )
            self.assertEqual({one.status for one in answers}, {OK})
            await asyncio.sleep(0.02)
        return (sum(self.store.calls.values()) - before) / WATCHED_S

    async def check(self, fault, *, known):
        """Plays a fault with a change under it, and the end of the fault.

        Args:
          fault: Its name in the stand-in.
          known: Plain servers that the gateway must know under the fault.
        """
        self.store.era_fault = fault
        self.store.remove('servers', 'desk-1')
        self.assertLess(await self.served_meanwhile(), CALLS_PER_S)
        self.assertEqual(self.desks_known(), known)
        self.store.era_fault = ''
        await self.until(lambda: self.desks_known() == {'desk-2'})
        self.assertTrue(self.process.is_ready())

    async def test_a_header_that_is_missing_once_it_was_told(self):
        """Something between answers for the store, with rows of its own.

        An answer without the era that was told before changes nothing.
        """
        await self.check('absent', known={'desk-1', 'desk-2'})

    async def test_a_header_that_is_no_whole_number(self):
        """A faulty store tells text, a fraction and a negative number."""
        for fault in ('text', 'fraction', 'negative'):
            with self.subTest(fault):
                self.enter_desk(1)
                both = {'desk-1', 'desk-2'}
                await self.until(lambda both=both: self.desks_known() == both)
                await self.check(fault, known=both)

    async def test_a_header_that_falls(self):
        """An answer of an era that is over arrives late, or is a fault's."""
        await self.check('falls', known={'desk-1', 'desk-2'})

    async def test_a_header_that_is_huge(self):
        """Four hundred digits: believed, no later era would ever count."""
        await self.check('huge', known={'desk-1', 'desk-2'})

    async def test_an_era_that_jumps_is_believed(self):
        """Several drills came while the gateway was cut off from the store."""
        self.store.era = 8
        self.store.remove('servers', 'desk-1')
        self.assertLess(await self.served_meanwhile(), CALLS_PER_S)
        await self.until(lambda: self.desks_known() == {'desk-2'})

    async def test_history_that_is_gone_for_ever(self):
        """Each watch gets 410; read anew without pause, it would be a storm."""
        self.store.always_gone = True
        self.store.remove('servers', 'desk-1')
        self.assertLess(await self.served_meanwhile(), CALLS_PER_S)
        await self.until(lambda: self.desks_known() == {'desk-2'})
        self.store.always_gone = False
        self.enter_desk(1)
        await self.until(lambda: self.desks_known() == {'desk-1', 'desk-2'})

    async def test_a_store_that_begins_to_tell_its_era(self):
        """Its program is replaced by one that has drills."""
        self.store.era = None
        self.process = await self.start_gateway()
        await self.mark('before')
        self.store.era = 1
        self.store.remove('servers', 'desk-1')
        await self.until(lambda: self.desks_known() == {'desk-2'})

    def test_each_fault_of_the_stand_in_is_played(self):
        played = {'absent', 'text', 'fraction', 'negative', 'falls', 'huge'}
        self.assertEqual(set(store_lib.ERA_FAULTS) - played, {'jumps'})


if __name__ == '__main__':
    unittest.main()
