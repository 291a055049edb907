"""Tests of the journal during platform failures."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill_router.durable import answer as durable_answer
from tests.quetzalsill_router.durable import harness, virtual


async def one_router():
    cluster = harness.Cluster(['a'])
    await asyncio.sleep(1)
    return cluster, cluster.routers['a']


class AcceptTest(unittest.TestCase):
    """Acceptance of requests."""

    def test_platform_down(self):
        """While the store is down requests are refused immediately.

        The refusal says that the request did not run and when to retry. Once
        the store is back, requests are accepted again.
        """

        async def scenario():
            cluster, router = await one_router()
            cluster.platform.down = True
            first = router.serve(harness.make_entry('first'))
            await asyncio.sleep(1)
            self.assertIs(first.ran, base.Ran.NO)
            started_at = asyncio.get_running_loop().time()
            with self.assertRaises(
                request_error.StoreUnavailableError
            ) as caught:
                await router.state.journal.accept(harness.make_entry('second'))
            self.assertEqual(asyncio.get_running_loop().time(), started_at)
            self.assertGreater(caught.exception.retry_after_s, 0)
            cluster.platform.down = False
            await asyncio.sleep(10)
            third = router.serve(harness.make_entry('third'))
            await asyncio.sleep(10)
            self.assertIs(third.ran, base.Ran.YES)
            self.assertEqual(cluster.runs('first') + cluster.runs('second'), 0)

        virtual.run(scenario)

    def test_platform_down_refuses_queued_entries(self):
        """Requests queued when the store goes down are refused early.

        They arrive between the first write failure and the second, which
        marks the store as down. Without the check after each failure they
        would wait for the acceptance timeout of two seconds.
        """

        async def scenario():
            cluster, router = await one_router()
            cluster.platform.down = True
            response = router.serve(harness.make_entry('first'))
            await harness.wait_until(lambda: response.ran is base.Ran.NO)
            started_at = asyncio.get_running_loop().time()
            with self.assertRaises(request_error.StoreUnavailableError):
                await router.state.journal.accept(harness.make_entry('next'))
            waited_s = asyncio.get_running_loop().time() - started_at
            self.assertLess(waited_s, 0.2)

        virtual.run(scenario)

    def test_process_is_paused_during_an_acceptance(self):
        """A stored request is accepted even if its timeout fires as well.

        The router is paused for longer than the acceptance timeout. When it
        resumes, the store's response and the timeout are due together; the
        outcome must not be reported as unknown.
        """

        async def scenario():
            _, router = await one_router()
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.pause, 2 * harness.CFG.accept_s)
            entry = harness.make_entry('first')
            self.assertTrue(await router.state.journal.accept(entry))

        virtual.run(scenario)

    def test_answer_lost(self):
        """A segment write whose response was lost is recognized by its nonce.

        The retry finds the segment number taken. The router must recognize
        the segment as its own, accept the request and run it once.
        """

        async def scenario():
            cluster, router = await one_router()
            router.link.faults['journal'].append('lost')
            response = router.serve(harness.make_entry('plan'))
            await asyncio.sleep(10)
            self.assertIs(response.ran, base.Ran.YES)
            self.assertEqual(cluster.runs('plan'), 1)

        virtual.run(scenario)

    def test_stored_then_platform_times_out(self):
        """The store stores a request, then does not respond for a minute.

        The caller receives the request id and an unknown outcome. When the
        store is back, the request must be settled as not run.
        """

        async def scenario():
            cluster, router = await one_router()
            router.link.faults['journal'].append('lost')
            response = router.serve(harness.make_entry('plan'))
            await harness.wait_until(lambda: cluster.platform.objects)
            cluster.platform.silent = True
            await asyncio.sleep(60)
            self.assertIs(response.ran, base.Ran.UNKNOWN)
            cluster.platform.silent = False
            await asyncio.sleep(10)
            stored = await router.state.answers.get(
                harness.ACCOUNT, 'a.1.1-1-0'
            )
            self.assertIs(stored.answer.ran, base.Ran.NO)
            self.assertEqual(cluster.runs('plan'), 0)

        virtual.run(scenario)

    def test_late_write_after_refusal(self):
        """A delayed write must not store a request that was given up.

        The router writes the same segment number without the request. When
        the delayed write arrives the number is taken, so no router, not even
        a successor, finds the request and runs it.
        """

        async def scenario():
            cluster, router = await one_router()
            router.link.faults['journal'].append('late')
            entry = harness.make_entry('plan')
            accepting = asyncio.create_task(router.state.journal.accept(entry))
            await harness.wait_until(lambda: entry.request)
            accepting.cancel()
            await asyncio.sleep(20)
            router.kill()
            cluster.start('b', 1)
            await asyncio.sleep(60)
            with self.assertRaises(request_error.NotFoundError):
                await cluster.routers['b'].state.answers.get(
                    harness.ACCOUNT, entry.request
                )
            self.assertEqual(cluster.runs('plan'), 0)

        virtual.run(scenario)

    def test_unstorable(self):
        """A request that cannot be serialized fails alone.

        A lone surrogate has no UTF-8 encoding. Only its own request may be
        refused, not the others in the same segment.
        """

        async def scenario():
            _, router = await one_router()
            bad = harness.make_entry('bad', key='\ud800')
            good = router.serve(harness.make_entry('good'))
            with self.assertRaises(request_error.BadRequestError):
                await router.state.journal.accept(bad)
            await asyncio.sleep(10)
            self.assertIs(good.ran, base.Ran.YES)

        virtual.run(scenario)

    def test_max_unsettled_bytes(self):
        """A request that exceeds `max_unsettled_bytes` is refused."""

        async def scenario():
            cfg = harness.CFG
            journal = (await one_router())[1].state.journal
            for n in range(3):
                await journal.accept(harness.make_entry(f'r{n}'))
            huge = harness.make_entry('huge')
            huge.payload = bytes(cfg.max_unsettled_bytes)
            with self.assertRaises(request_error.OverloadedError):
                await journal.accept(huge)

        virtual.run(scenario)


class SettleTest(unittest.TestCase):
    """Outcomes during platform failures."""

    def test_platform_down_for_minutes(self):
        """An outcome is kept while the store is down for five minutes.

        It stays queued in the router and is written when the store is back;
        the request must not run again.
        """

        async def scenario():
            cluster, router = await one_router()
            response = router.serve(harness.make_entry('plan'))
            await harness.wait_until(lambda: cluster.runs('plan'))
            cluster.platform.down = True
            await asyncio.sleep(300)
            cluster.platform.down = False
            stored = await router.state.answers.wait(
                harness.ACCOUNT, response.request, 60
            )
            self.assertEqual(stored.answer.events, [b'plan planner-0 1'])
            self.assertEqual(cluster.runs('plan'), 1)

        virtual.run(scenario)

    def test_second_outcome(self):
        """A second outcome of a request is rejected."""

        async def scenario():
            _, router = await one_router()
            entry = harness.make_entry('plan')
            await router.state.journal.accept(entry)
            done = durable_answer.Answer(events=[b'1'])
            await router.state.journal.settle(entry, done)
            with self.assertRaises(request_error.SupersededError):
                await router.state.journal.settle(entry, done)

        virtual.run(scenario)

    def test_other_account(self):
        """An answer is returned only to its own account."""

        async def scenario():
            _, router = await one_router()
            response = router.serve(harness.make_entry('plan'))
            for pause_s in (1, 10):
                await asyncio.sleep(pause_s)
                with self.assertRaises(request_error.NotFoundError):
                    await router.state.answers.get('other', response.request)

        virtual.run(scenario)


class StopTest(unittest.TestCase):
    """A graceful stop."""

    def test_hands_over(self):
        """A stopped router hands over its unsettled requests immediately.

        Its row is released, so another router takes over without waiting for
        the row to expire.
        """

        async def scenario():
            cluster = harness.Cluster(['a', 'b'])
            await asyncio.sleep(1)
            entry = harness.make_entry('plan')
            await cluster.routers['a'].state.journal.accept(entry)
            started_at = asyncio.get_running_loop().time()
            await cluster.routers['a'].state.stop(5)
            await harness.wait_until(lambda: cluster.runs('plan'))
            took_s = asyncio.get_running_loop().time() - started_at
            self.assertLess(took_s, harness.CFG.ttl_heartbeats - 1)

        virtual.run(scenario)


if __name__ == '__main__':
    unittest.main()
