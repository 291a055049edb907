"""Tests of the takeover of a dead or paused router's requests."""

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
    """A router that was killed."""

    def test_answer_through_another_router(self):
        """The answer of a dead router's request is available at another one.

        The router dies while the request runs. Its successor must attach to
        the run recorded in the journal instead of running the request again.
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
        """The successor attaches to the run of an idempotent request.

        The run is two seconds old when its router dies. Another run would be
        allowed but would make the engine do the work twice.
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
        """An exception in the journal writer ends all durable tasks.

        If the router still renewed its row, no other router would take over
        its requests.
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
        """A request survives its router and the router's first successor.

        Router `a` dies. Its successor seals the log and is killed before it
        has adopted it. The log then has a seal but no owner, and the third
        router must detect that this seal is void.
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
    """Live routers that appear to be dead."""

    def test_outage_causes_no_takeover(self):
        """Repeated store outages must not cause takeovers of live routers.

        Neither router can renew its row, so both rows stay unchanged for much
        longer than their time to live. A takeover would restart all requests
        in progress.
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
        """Rows read before a pause must not count as the current state.

        A router is paused while a read is in progress and resumes a minute
        later. If it treated the rows as current, it would consider all other
        routers dead and take them over.
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
    """A router that is paused and resumed."""

    def test_learns_that_it_was_taken_over(self):
        """A resumed router detects that its log was taken over.

        Otherwise it would report a request as pending, in one case for an
        hour, although its answer is stored.
        """

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
        """A resumed router must not run a request that was taken over.

        Router `a` is paused after it has claimed the key and before its
        dispatch is recorded. The caller repeats the request through `b`. When
        `a` resumes it still believes it holds the key, and must not dispatch.
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
