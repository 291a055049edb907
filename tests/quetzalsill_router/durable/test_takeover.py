"""Tests of what becomes of a dead or paused router's requests."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill.error import base
from quetzalsill_router.durable import liveness, row, segment, state
from tests.quetzalsill_router.durable import harness, virtual

SETTLE_S = 60.0
OUTAGES = 10


async def stored(router, request):
    """Waits for the outcome of a request."""
    found = await router.state.answers.wait(harness.ACCOUNT, request, SETTLE_S)
    return found.answer


class DeadRouterTest(unittest.TestCase):
    """A router that is gone for good."""

    def test_answer_through_another_router(self):
        """A clerk sends a manifest and its router dies while it runs.

        The clerk asks another router by the request id. The taker attaches
        to the run that the journal names, so the clerk gets the answer of
        that run and the work is not run again.
        """

        async def scenario():
            cluster = harness.Cluster(['a', 'b', 'c'])
            await asyncio.sleep(1)
            response = cluster.routers['a'].serve(
                harness.make_entry('manifest')
            )
            await harness.wait_until(lambda: cluster.runs('manifest'))
            cluster.routers['a'].kill()
            answer = await stored(cluster.routers['b'], response.request)
            self.assertEqual(answer.events, [b'manifest planner-0 1'])
            self.assertEqual(cluster.runs('manifest'), 1)

        virtual.run(scenario)

    def test_idempotent_run_is_attached(self):
        """A long plan that may be run again has run for two seconds.

        Its router dies. Nothing forbids to start it anew, but the engine
        would do the work twice, so the taker attaches to the run.
        """

        async def scenario():
            cluster = harness.Cluster(['a', 'b'])
            await asyncio.sleep(1)
            entry = harness.make_entry('plan', idempotent=True)
            response = cluster.routers['a'].serve(entry)
            await asyncio.sleep(2)
            cluster.routers['a'].kill()
            answer = await stored(cluster.routers['b'], response.request)
            self.assertEqual(answer.events, [b'plan planner-0 1'])
            self.assertEqual(cluster.runs('plan'), 1)

        virtual.run(scenario)

    def test_writer_fails(self):
        """A fault of the program ends the task that writes the journal.

        The router lives on, and were its row renewed nobody would take its
        requests. All its durable tasks end, so that another one does.
        """

        async def scenario():
            cluster = harness.Cluster(['a', 'b'])
            await asyncio.sleep(1)
            broken = cluster.routers['a']
            response = broken.serve(harness.make_entry('manifest'))
            await harness.wait_until(lambda: cluster.runs('manifest'))
            cluster.platform.put = None
            with mock.patch.object(state, 'LOG') as logger:
                await harness.wait_until(
                    lambda: not broken.state.journal.available
                )
            logger.error.assert_called_once()
            del cluster.platform.put
            answer = await stored(cluster.routers['b'], response.request)
            self.assertEqual(cluster.runs('manifest'), 1)
            self.assertTrue(answer.events)

        virtual.run(scenario)

    def test_successor_dies_between_seal_and_adoption(self):
        """A clerk's manifest outlives its router and the router's taker.

        Router `a` dies. Its taker seals the log, and dies before it has
        adopted it, because the store loses sight of it. The log has a seal
        but no owner, and the third router must see that this seal is void.
        """

        async def scenario():
            cluster = harness.Cluster(['a', 'b', 'c'])
            await asyncio.sleep(1)
            response = cluster.routers['a'].serve(
                harness.make_entry('manifest')
            )
            await asyncio.sleep(1)
            cluster.routers['a'].kill()
            successor = await harness.wait_until(
                lambda: sealed_by(cluster, 'a.1.1')
            )
            cluster.routers[successor].kill()
            (left,) = {'b', 'c'} - {successor}
            answer = await stored(cluster.routers[left], response.request)
            self.assertEqual(answer.events, [b'manifest planner-0 1'])
            self.assertEqual(cluster.runs('manifest'), 1)

        virtual.run(scenario)


def sealed_by(cluster, log):
    """Gives the node that sealed a log; empty if none has."""
    number = 1
    while data := cluster.platform.objects.get(f'journal/{log}/{number:08d}'):
        maker = segment.decode(data, log, number).sealed_by
        if maker:
            return maker.split('.')[0]
        number += 1
    return ''


class LiveRouterTest(unittest.TestCase):
    """Routers that live though they seem not to."""

    def test_outage_causes_no_takeover(self):
        """The store is down again and again while two routers live on.

        Neither can renew its row, so both rows stand unchanged for far more
        than their time to live. When the store is back the routers must not
        take each other over, which would restart every plan in flight.
        """

        async def scenario():
            cluster = harness.Cluster(['a', 'b'])
            for _ in range(OUTAGES):
                await asyncio.sleep(5)
                cluster.platform.down = True
                await asyncio.sleep(60)
                cluster.platform.down = False
            await asyncio.sleep(30)
            keepers = {
                found.key: found.value['keeper']
                for found in cluster.platform.rows.scan('routers')
            }
            self.assertEqual(keepers, {'a.1.1': '', 'b.1.1': ''})

        virtual.run(scenario)

    def test_paused_reader(self):
        """A router is stopped while the rows it asked for are on their way.

        It wakes a minute later and reads them. They stood so a minute ago;
        were they taken as the state of now, it would take all others over.
        """

        async def scenario():
            loop = asyncio.get_running_loop()
            live = row.LogRow('b', 1, 1, '', 'ikeja-hall', 1, ttl_s=4.0)
            tracker = liveness.LivenessTracker()
            tracker.observe([row.VersionedRow(7, live)], loop.time())
            await asyncio.sleep(1)
            requested_at = loop.time()
            await asyncio.sleep(60)
            tracker.observe([row.VersionedRow(7, live)], requested_at)
            self.assertEqual(tracker.orphans(), [])
            tracker.observe([row.VersionedRow(7, live)], loop.time())
            self.assertEqual(tracker.orphans(), [live])

        virtual.run(scenario)


class PausedRouterTest(unittest.TestCase):
    """A router that is stopped and goes on later."""

    def test_learns_that_it_was_taken_over(self):
        """A plan is told as pending for an hour with its answer stored."""

        async def scenario():
            cluster = harness.Cluster(['a', 'b'])
            await asyncio.sleep(1)
            paused = cluster.routers['a']
            entry = harness.make_entry('manifest')
            paused.serve(entry)
            await asyncio.sleep(1)
            paused.pause()
            await harness.wait_until(lambda: sealed_by(cluster, 'a.1.1'))
            self.assertFalse(paused.superseded)
            paused.wake()
            await harness.wait_until(lambda: paused.superseded)
            self.assertFalse(paused.state.journal.owns(entry))

        virtual.run(scenario)

    def test_wakes_after_takeover(self):
        """The same order goes through two routers while one is paused.

        Router `a` is stopped after it has claimed the key and before its
        dispatch is recorded. The retailer's app repeats the order through
        `b`. `a` wakes, still believes that it holds the key, and must not
        send a second truck.
        """

        async def scenario():
            cluster = harness.Cluster(['a', 'b'])
            await asyncio.sleep(1)
            paused, other = cluster.routers['a'], cluster.routers['b']
            first = paused.serve(harness.make_entry('order', key='k1'))
            await harness.wait_until(
                lambda: cluster.platform.rows.scan('claims')
            )
            paused.pause()
            second = other.serve(harness.make_entry('order-again', key='k1'))
            await asyncio.sleep(SETTLE_S)
            paused.wake()
            await asyncio.sleep(SETTLE_S)
            runs = cluster.runs('order') + cluster.runs('order-again')
            self.assertEqual(runs, 1)
            self.assertEqual(second.ran, base.Ran.YES)
            self.assertIsNot(first.ran, base.Ran.NO)
            self.assertTrue(paused.state.journal.available)

        virtual.run(scenario)


if __name__ == '__main__':
    unittest.main()
