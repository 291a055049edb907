"""Tests of what becomes of a dead or paused router's requests."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill.error import base
from quetzalsill_router.durable import row, segment, state, watch
from tests.quetzalsill_router.durable import virtual, world

SETTLE_S = 60.0
OUTAGES = 10


async def stored(router, request):
    """Waits for the outcome of a request."""
    found = await router.state.answers.wait(world.ACCOUNT, request, SETTLE_S)
    return found.answer


class DeadRouterTest(unittest.TestCase):
    """A router that is gone for good."""

    def test_answer_through_another_router(self):
        """A clerk sends a manifest and its router dies while it runs.

        The clerk asks another router by the request id. The taker attaches
        to the run that the journal names, so the clerk gets the answer of
        that run and the work is not run again.
        """

        async def story():
            board = world.World(['a', 'b', 'c'])
            await asyncio.sleep(1)
            told = board.routers['a'].serve(world.make_entry('manifest'))
            await world.until(lambda: board.runs('manifest'))
            board.routers['a'].kill()
            answer = await stored(board.routers['b'], told.request)
            self.assertEqual(answer.events, [b'manifest planner-0 1'])
            self.assertEqual(board.runs('manifest'), 1)

        virtual.run(story)

    def test_idempotent_run_is_attached(self):
        """A long plan that may be run again has run for two seconds.

        Its router dies. Nothing forbids to start it anew, but the engine
        would do the work twice, so the taker attaches to the run.
        """

        async def story():
            board = world.World(['a', 'b'])
            await asyncio.sleep(1)
            entry = world.make_entry('plan', idempotent=True)
            told = board.routers['a'].serve(entry)
            await asyncio.sleep(2)
            board.routers['a'].kill()
            answer = await stored(board.routers['b'], told.request)
            self.assertEqual(answer.events, [b'plan planner-0 1'])
            self.assertEqual(board.runs('plan'), 1)

        virtual.run(story)

    def test_writer_fails(self):
        """A fault of the program ends the task that writes the journal.

        The router lives on, and were its row renewed nobody would take its
        requests. All its durable tasks end, so that another one does.
        """

        async def story():
            board = world.World(['a', 'b'])
            await asyncio.sleep(1)
            broken = board.routers['a']
            told = broken.serve(world.make_entry('manifest'))
            await world.until(lambda: board.runs('manifest'))
            board.platform.put = None
            with mock.patch.object(state, 'LOG') as logger:
                await world.until(lambda: not broken.state.journal.available)
            logger.error.assert_called_once()
            del board.platform.put
            answer = await stored(board.routers['b'], told.request)
            self.assertEqual(board.runs('manifest'), 1)
            self.assertTrue(answer.events)

        virtual.run(story)

    def test_taker_dies_in_the_middle(self):
        """A clerk's manifest outlives its router and the router's taker.

        Router `a` dies. Its taker seals the log, and dies before it has
        adopted it, because the store loses sight of it. The log has a seal
        but no owner, and the third router must see that this seal is void.
        """

        async def story():
            board = world.World(['a', 'b', 'c'])
            await asyncio.sleep(1)
            told = board.routers['a'].serve(world.make_entry('manifest'))
            await asyncio.sleep(1)
            board.routers['a'].kill()
            taker = await world.until(lambda: sealed_by(board, 'a.1.1'))
            board.routers[taker].kill()
            (left,) = {'b', 'c'} - {taker}
            answer = await stored(board.routers[left], told.request)
            self.assertEqual(answer.events, [b'manifest planner-0 1'])
            self.assertEqual(board.runs('manifest'), 1)

        virtual.run(story)


def sealed_by(board, log):
    """Gives the node that sealed a log; empty if none has."""
    number = 1
    while data := board.platform.objects.get(f'journal/{log}/{number:08d}'):
        maker = segment.decode(data, log, number).sealed_by
        if maker:
            return maker.split('.')[0]
        number += 1
    return ''


class LiveRouterTest(unittest.TestCase):
    """Routers that live though they seem not to."""

    def test_outage_is_no_death(self):
        """The store is down again and again while two routers live on.

        Neither can renew its row, so both rows stand unchanged for far more
        than their time to live. When the store is back the routers must not
        take each other over, which would restart every plan in flight.
        """

        async def story():
            board = world.World(['a', 'b'])
            for _ in range(OUTAGES):
                await asyncio.sleep(5)
                board.platform.down = True
                await asyncio.sleep(60)
                board.platform.down = False
            await asyncio.sleep(30)
            keepers = {
                found.key: found.value['keeper']
                for found in board.platform.rows.scan('routers')
            }
            self.assertEqual(keepers, {'a.1.1': '', 'b.1.1': ''})

        virtual.run(story)

    def test_paused_reader(self):
        """A router is stopped while the rows it asked for are on their way.

        It wakes a minute later and reads them. They stood so a minute ago;
        were they taken as the state of now, it would take all others over.
        """

        async def story():
            loop = asyncio.get_running_loop()
            live = row.LogRow('b', 1, 1, '', 'ikeja-hall', 1, ttl_s=4.0)
            seen = watch.Watch()
            seen.saw([row.Versioned(7, live)], loop.time())
            await asyncio.sleep(1)
            asked_at = loop.time()
            await asyncio.sleep(60)
            seen.saw([row.Versioned(7, live)], asked_at)
            self.assertEqual(seen.orphans(), [])
            seen.saw([row.Versioned(7, live)], loop.time())
            self.assertEqual(seen.orphans(), [live])

        virtual.run(story)


class PausedRouterTest(unittest.TestCase):
    """A router that is stopped and goes on later."""

    def test_learns_that_it_was_taken_over(self):
        """A plan is told as pending for an hour with its answer stored."""

        async def story():
            board = world.World(['a', 'b'])
            await asyncio.sleep(1)
            paused = board.routers['a']
            entry = world.make_entry('manifest')
            paused.serve(entry)
            await asyncio.sleep(1)
            paused.pause()
            await world.until(lambda: sealed_by(board, 'a.1.1'))
            self.assertFalse(paused.superseded)
            paused.wake()
            await world.until(lambda: paused.superseded)
            self.assertFalse(paused.state.journal.owns(entry))

        virtual.run(story)

    def test_wakes_after_takeover(self):
        """The same order goes through two routers while one is paused.

        Router `a` is stopped after it has claimed the key and before its
        dispatch is recorded. The retailer's app repeats the order through
        `b`. `a` wakes, still believes that it holds the key, and must not
        send a second truck.
        """

        async def story():
            board = world.World(['a', 'b'])
            await asyncio.sleep(1)
            paused, other = board.routers['a'], board.routers['b']
            first = paused.serve(world.make_entry('order', key='k1'))
            await world.until(lambda: board.platform.rows.scan('claims'))
            paused.pause()
            second = other.serve(world.make_entry('order-again', key='k1'))
            await asyncio.sleep(SETTLE_S)
            paused.wake()
            await asyncio.sleep(SETTLE_S)
            runs = board.runs('order') + board.runs('order-again')
            self.assertEqual(runs, 1)
            self.assertEqual(second.ran, base.Ran.YES)
            self.assertIsNot(first.ran, base.Ran.NO)
            self.assertTrue(paused.state.journal.available)

        virtual.run(story)


if __name__ == '__main__':
    unittest.main()
