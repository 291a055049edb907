"""Tests of the journal while the platform fails."""

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
        """The store is down when a clerk sends a manifest.

        The clerk is told at once that it did not run and when to come back,
        instead of waiting; once the store is back the next one is accepted.
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
        """Clerks wait two seconds for a refusal that was certain before.

        The store refuses the first clerk's manifest; the others come before
        its second failure shows that the store is down. They queued, and
        only the bound on an acceptance ended their wait.
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
        """A plan that the store took is told to be in doubt.

        The router is paused for longer than an acceptance may take, and wakes
        to the store's answer and to the end of the wait for it.
        """

        async def scenario():
            _, router = await one_router()
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.pause, 2 * harness.CFG.accept_s)
            entry = harness.make_entry('first')
            self.assertTrue(await router.state.journal.accept(entry))

        virtual.run(scenario)

    def test_answer_lost(self):
        """The store takes a manifest and its answer to that is lost.

        The router creates the same segment again, finds it taken, and knows
        it by its nonce as its own: accepted, and run once.
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
        """The store takes a manifest, then falls silent for a minute.

        The clerk is told that the outcome is unknown, and its id. When the
        store is back the id leads to the settled outcome: not run.
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
        """A write is on its way for long, and the manifest is given up.

        The router writes the same segment without the manifest. When the
        late write arrives the number is taken, so nobody, a taker neither,
        finds the manifest that the clerk has sent elsewhere meanwhile.
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
        """A caller's text holds half a surrogate pair.

        It has no form as UTF-8. Its own request is refused; the segment in
        which it would have stood, and the journal, go on.
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
        """More is not taken on than can be held."""

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
    """Outcomes while the platform fails."""

    def test_platform_down_for_minutes(self):
        """The store is down when a plan is finished, for five minutes.

        The outcome waits in the router. When the store is back it is
        written, and the clerk who asks again gets the answer of that run.
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
        """Only the first outcome of a request stands."""

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
        """An answer is given to its own account alone."""

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
        """A router stops with a plan that has not begun.

        Its row is released, so another one takes the plan without waiting
        for the row to lapse.
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
