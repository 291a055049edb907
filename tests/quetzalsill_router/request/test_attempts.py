"""Tests of the loop of attempts."""

from __future__ import annotations

import asyncio
import copy
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from quetzalsill.config import document, model
from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.wire import message
from quetzalsill_router.request import active, attempts, piece, serve, spec
from tests.quetzalsill_router.request import fake

BOUND_S = 20.0


async def collect(ctx, work):
    """Runs a request to its end; returns its items."""
    running = active.ActiveRequest(work)
    items = []
    async with asyncio.timeout(BOUND_S):
        async for part in attempts.pieces(ctx, running):
            if isinstance(part, piece.Items):
                items.extend(part.items)
                part.release()
    return items


def whole(*items):
    """Script of an attempt that succeeds."""
    return (fake.started(), fake.chunk(0, *items), fake.finished(len(items)))


class AttemptsTest(unittest.IsolatedAsyncioTestCase):
    """Behaviour of the loop, one failure at a time."""

    async def test_passes_items_on_and_grants_after_release(self):
        script = [fake.chunk(seq, b'%d' % seq) for seq in range(5)]
        peer = fake.Peer('one', (fake.started(), *script, fake.finished(5)))
        ctx = fake.make_context(peer)
        ctx.settings.requests.credit_items = 8
        stream = attempts.pieces(ctx, active.ActiveRequest(fake.make_work(ctx)))
        parts = [part async for part in stream]
        items = [item for part in parts for item in part.items]
        self.assertEqual(items, [b'0', b'1', b'2', b'3', b'4'])
        (attempt,) = peer.attempts
        self.assertEqual(attempt.granted, [])
        for part in parts:
            part.release()
        self.assertEqual(attempt.granted, [(2, 2), (4, 2)])
        self.assertTrue(attempt.closed.is_set())

    async def test_edit_between_acceptance_and_dispatch(self):
        """A request is served under a revision that was edited before it ran.

        A router that was behind accepts it, a sidecar refuses it as stale,
        and the router sends it again with the newer number but the old
        bounds; or for an account that is gone by then.
        """
        for account, revision in (('retailers', 4), ('nobody', 5)):
            peer = fake.Peer('one', whole(b'a'))
            ctx = fake.make_context(peer)
            work = fake.make_work(ctx, requested_tokens=70, max_tokens=70)
            cfg = copy.deepcopy(ctx.holder.current)
            cfg.profiles['prompt'].max_output_tokens = 30
            cfg.profiles['prompt'].delivery = 'whole'
            cfg.accounts = {account: model.Account()}
            ctx.holder.install(document.render(cfg), revision)
            if account != work.account:
                with self.assertRaises(request_error.UnauthorizedError):
                    await collect(ctx, work)
                self.assertEqual(peer.attempts, [])
                continue
            self.assertEqual(await collect(ctx, work), [b'a'])
            (attempt,) = peer.attempts
            self.assertEqual(attempt.dispatch.revision, revision)
            self.assertEqual(attempt.dispatch.max_tokens, 30)
            self.assertEqual(work.profile.delivery, 'stream')

    async def test_refused_attempt_goes_to_another_upstream(self):
        one = fake.Peer('one', (fake.refused(),))
        two = fake.Peer('two', whole(b'a'))
        ctx = fake.make_context(one, two)
        ctx.routing = lambda _query, candidates: (
            candidates[0] if candidates else None
        )
        self.assertEqual(await collect(ctx, fake.make_work(ctx)), [b'a'])
        self.assertEqual(len(one.attempts), 1)

    async def test_refusal_by_all_is_final_at_once(self):
        """A retailer's handset asks for a slot while every queue is full.

        Held to its deadline of 30 s, the shopkeeper would wait for a
        refusal that was certain at once. It names the smallest hint.
        """
        one = fake.Peer('one', (fake.refused(retry_after_ms=4000),))
        two = fake.Peer('two', (fake.refused(retry_after_ms=1500),))
        ctx = fake.make_context(one, two)
        with self.assertRaises(request_error.OverloadedError) as caught:
            await collect(ctx, fake.make_work(ctx, deadline_s=3600))
        self.assertEqual(caught.exception.retry_after_s, 1.5)
        self.assertIs(caught.exception.ran, base.Ran.NO)

    async def while_a_link_returns(self):
        """Returns the only peer, its context and a request that waits."""
        peer = fake.Peer('one', whole(b'a'))
        ctx = fake.make_context(peer)
        peer.linked, ctx.peers.returning = False, True
        collecting = asyncio.create_task(collect(ctx, fake.make_work(ctx)))
        await asyncio.sleep(0.1)
        return peer, ctx, collecting

    async def test_only_link_returns_within_a_moment(self):
        """A query is refused although its server is well, and a dial away."""
        peer, ctx, collecting = await self.while_a_link_returns()
        self.assertFalse(collecting.done())
        peer.linked, ctx.peers.returning = True, False
        self.assertEqual(await collecting, [b'a'])

    async def test_only_link_does_not_return(self):
        """A query waits for a server that is known to be gone."""
        _, ctx, collecting = await self.while_a_link_returns()
        ctx.peers.returning = False
        with self.assertRaises(request_error.NoUpstreamError) as caught:
            await collecting
        self.assertIs(caught.exception.ran, base.Ran.NO)

    async def test_half_of_the_time_is_left_to_go_elsewhere(self):
        """A query is refused as its time ends, too late for another router."""
        peer = fake.Peer('one')
        ctx = fake.make_context(peer)
        peer.linked, ctx.peers.returning = False, True
        work = fake.make_work(ctx, deadline_s=1.0)
        with self.assertRaises(request_error.NoUpstreamError):
            await collect(ctx, work)
        self.assertGreater(work.remaining_s(), 0.0)

    async def test_unknown_outcome_of_an_order_is_not_repeated(self):
        """A retailer orders; the link breaks after the Dispatch.

        Nothing proves whether the order ran. Sent to the second server,
        it would bring a second truck to the same door.
        """
        one = fake.Peer('one', (fake.failed('unknown'),))
        two = fake.Peer('two', whole(b'a'))
        ctx = fake.make_context(one, two)
        ctx.routing = lambda _query, candidates: candidates[0]
        work = fake.make_work(ctx, idempotent=False)
        with self.assertRaises(request_error.RequestError) as caught:
            await collect(ctx, work)
        self.assertIs(caught.exception.ran, base.Ran.UNKNOWN)
        self.assertEqual(two.attempts, [])
        self.assertFalse(one.attempts[0].cancelled)

    async def test_whole_hides_a_replaced_generation(self):
        """An engine dies after the tenth token of a loading plan.

        The clerk's profile delivers whole, so the tokens of the lost
        generation go nowhere, and those of the second one arrive alone.
        """
        lost = [b'g1.%d' % index for index in range(10)]
        one = fake.Peer(
            'one',
            (fake.started(), fake.chunk(0, *lost), fake.failed('yes', True)),
        )
        two = fake.Peer('two', whole(b'g2.0', b'g2.1'))
        ctx = fake.make_context(
            one, two, cfg=fake.configuration(delivery='whole')
        )
        ctx.routing = lambda _query, candidates: candidates[0]
        found = await collect(ctx, fake.make_work(ctx))
        self.assertEqual(found, [b'g2.0', b'g2.1'])

    async def test_streamed_generation_is_not_replaced(self):
        """The same engine dies, but the caller has ten tokens already.

        A second generation would continue them with other words: the
        answer ends with an error instead.
        """
        lost = [b'g1.%d' % index for index in range(10)]
        one = fake.Peer(
            'one',
            (fake.started(), fake.chunk(0, *lost), fake.failed('yes', True)),
        )
        two = fake.Peer('two', whole(b'g2.0'))
        ctx = fake.make_context(one, two)
        ctx.routing = lambda _query, candidates: candidates[0]
        with self.assertRaises(request_error.UpstreamFailedError):
            await collect(ctx, fake.make_work(ctx))
        self.assertEqual(two.attempts, [])

    async def test_retries_are_bounded_by_profile_and_budget(self):
        for retries, burst, dispatches in ((2, 20, 3), (9, 1, 2), (9, 0, 1)):
            scripts = [(fake.failed('yes', True),)] * 20
            peer = fake.Peer('one', *scripts)
            ctx = fake.make_context(
                peer, cfg=fake.configuration(retries=retries)
            )
            ctx.budget = fake.retry.RetryBudget(0.0, burst)
            with self.assertRaises(request_error.UpstreamFailedError):
                await collect(ctx, fake.make_work(ctx))
            self.assertEqual(len(peer.attempts), dispatches)

    async def test_queued_attempt_moves_only_once_withdrawn(self):
        """An attempt waits at a slow upstream while another is idle.

        It is asked back first. Had it started meanwhile, a Dispatch to
        the idle one would be a second run.
        """
        for word, upstream in (
            (message.Withdrawn(''), 'two'),
            (message.Running(''), 'one'),
        ):
            busy = message.Load(9, 9, 0, 0, 9000, 5.0, [], False, True, 3)
            idle = message.Load(0, 0, 0, 0, 0, 5.0, [], False, True, 3)
            one = fake.Peer('one', load=busy)
            two = fake.Peer('two', whole(b'two'), load=idle)
            ctx = fake.make_context(one, two)
            ctx.routing = lambda _query, found, one=one, two=two: (
                two if one.attempts else one
            )
            task = asyncio.create_task(collect(ctx, fake.make_work(ctx)))
            async with asyncio.timeout(BOUND_S):
                await one.opened.wait()
                await one.attempts[0].withdrawn.wait()
            self.assertEqual(two.attempts, [])
            one.attempts[0].put(word)
            if upstream == 'one':
                for msg in whole(b'one'):
                    one.attempts[0].put(msg)
            self.assertEqual(await task, [upstream.encode()])
            self.assertEqual(len(two.attempts), int(upstream == 'two'))

    async def test_earlier_run_is_not_forgotten_by_a_refusal(self):
        """The first attempt ran and was lost, the second is refused.

        Told "not run", the caller would repeat a generation that did run.
        """
        one = fake.Peer('one', (fake.failed('yes', True),))
        two = fake.Peer('two', (fake.refused(),))
        ctx = fake.make_context(one, two, cfg=fake.configuration(retries=1))
        ctx.routing = lambda _query, candidates: candidates[0]
        running = active.ActiveRequest(fake.make_work(ctx))
        with self.assertRaises(request_error.RequestError):
            async for _ in attempts.pieces(ctx, running):
                pass
        self.assertIs(running.ran, base.Ran.YES)

    async def test_consumer_that_leaves_closes_the_attempt(self):
        peer = fake.Peer('one', (fake.started(), fake.chunk(0, b'a')))
        ctx = fake.make_context(peer)
        stream = attempts.pieces(ctx, active.ActiveRequest(fake.make_work(ctx)))
        await anext(stream)
        await stream.aclose()
        self.assertTrue(peer.attempts[0].closed.is_set())


ENDS = {
    'refused': (fake.refused(),),
    'refused_stale': (fake.refused('stale_revision'),),
    'superseded': (fake.refused('superseded'),),
    'withdrawn': (message.Withdrawn(''),),
    'failed_no': (fake.failed('no'),),
    'failed_unknown': (fake.failed('unknown', code='outcome_unknown'),),
    'failed_yes': (fake.started(), fake.failed('yes')),
    'gone': (fake.started(), fake.failed('yes', True)),
    'cut': (fake.started(), fake.chunk(0, b'a'), fake.failed('yes', True)),
    'whole': whole(b'a', b'b'),
}
NOT_RUN = {
    'refused',
    'refused_stale',
    'superseded',
    'withdrawn',
    'failed_no',
}


class OnceTest(unittest.TestCase):
    """No second Dispatch unless the first is proved not run."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(
        ends=strategies.lists(
            strategies.sampled_from(sorted(ENDS)), min_size=1, max_size=5
        ),
        idempotent=strategies.booleans(),
        held=strategies.booleans(),
        retries=strategies.integers(0, 4),
    )
    def test_over_arbitrary_ends(self, ends, idempotent, held, retries):
        asyncio.run(self._check(ends, idempotent, held, retries))

    async def _check(self, ends, idempotent, held, retries):
        scripts = iter([ENDS[name] for name in ends])
        peers = [fake.Peer(name) for name in ('one', 'two', 'three')]
        sent = []

        def choose(_query, candidates):
            if not candidates or len(sent) == len(ends):
                return None
            peer = candidates[0]
            peer._scripts = [next(scripts)]
            sent.append(ends[len(sent)])
            return peer

        ctx = fake.make_context(
            *peers,
            cfg=fake.configuration(
                retries=retries, delivery='whole' if held else 'stream'
            ),
        )
        ctx.routing = choose
        ctx.settings.retries.backoff_s = 0.0
        ctx.holder.wait_for = _at_once
        work = fake.make_work(ctx, idempotent=idempotent)
        items, error = await _outcome(ctx, work)
        ran = [name for name in sent if name not in NOT_RUN]
        if not idempotent:
            self.assertLessEqual(len(ran), 1)
            self.assertEqual(ran, sent[len(sent) - len(ran) :])
        if not held and 'cut' in sent:
            self.assertEqual(sent[-1], 'cut')
        if error is None:
            self.assertEqual(items, [b'a', b'b'])
        elif error.ran is base.Ran.NO:
            self.assertEqual(ran, [])


async def _at_once(_revision):
    """Stands for a holder that has the newer revision already."""


async def _outcome(ctx, work):
    """Runs a request; returns its items and its failure."""
    running = active.ActiveRequest(work)
    items = []
    try:
        async for part in attempts.pieces(ctx, running):
            items.extend(part.items)
    except request_error.RequestError as exc:
        exc.ran = running.ran
        return items, exc
    return items, None


class RecoveryTest(unittest.IsolatedAsyncioTestCase):
    """Journalled work whose earlier run may have happened."""

    def _taken_over(self, ctx, idempotent):
        entry = fake.make_entry(idempotent=idempotent)
        entry.run = fake.durable_entry.Run('old/1/1', 'one', 7, 4)
        return fake.make_work(
            ctx,
            entry=entry,
            run=entry.run,
            idempotent=idempotent,
            request=entry.request,
        )

    async def test_run_of_a_dead_router_is_taken_up(self):
        peer = fake.Peer('one', whole(b'a'))
        ctx = fake.make_context(peer)
        found = await collect(ctx, self._taken_over(ctx, idempotent=False))
        self.assertEqual(found, [b'a'])
        sent = peer.attempts[0].dispatch
        self.assertEqual((sent.attempt, sent.recover), ('old/1/1', True))
        # An engine that was restarted since can't prove that it never ran.
        self.assertEqual(sent.engine, 4)

    async def test_plan_that_was_given_up_as_its_router_was_lost(self):
        """An accepted plan gets no answer: its sidecar waited for no taker."""
        lost = fake.failed(base.Ran.YES)
        peer = fake.Peer('one', (lost,), whole(b'a'))
        ctx = fake.make_context(peer)
        found = await collect(ctx, self._taken_over(ctx, idempotent=True))
        self.assertEqual(found, [b'a'])

    async def test_answer_is_acknowledged_only_once_it_is_stored(self):
        """An order was taken, and nobody can tell what its answer was.

        The router dies between the whole answer and its storing, and the
        sidecar has dropped it as acknowledged.
        """
        peer = fake.Peer('one', whole(b'a'))
        ctx = fake.make_context(peer)
        stored = asyncio.Event()
        settling = asyncio.Event()

        async def settle(entry, answer):
            settling.set()
            await stored.wait()

        ctx.journal.settle = settle
        running = serve.start(ctx, self._taken_over(ctx, idempotent=False))
        await settling.wait()
        self.assertFalse(peer.attempts[0].closed.is_set())
        stored.set()
        await running.task
        self.assertTrue(peer.attempts[0].closed.is_set())

    async def test_brief_is_not_run_anew_on_the_word_of_a_new_sidecar(self):
        """A router dies with a scene brief running; so does its sidecar.

        The new sidecar knows nothing of the brief. "Not found" from it is
        no proof: run again, the client would be billed twice.
        """
        peer = fake.Peer('one', (fake.refused('not_found'),), whole(b'a'))
        peer.incarnation = 8
        ctx = fake.make_context(peer)
        with self.assertRaises(request_error.OutcomeUnknownError):
            await collect(ctx, self._taken_over(ctx, idempotent=False))
        self.assertEqual(len(peer.attempts), 1)

    async def test_brief_is_run_once_its_sidecar_says_it_never_was(self):
        peer = fake.Peer('one', (fake.refused('not_found'),), whole(b'a'))
        ctx = fake.make_context(peer)
        found = await collect(ctx, self._taken_over(ctx, idempotent=False))
        self.assertEqual(found, [b'a'])
        self.assertFalse(peer.attempts[1].dispatch.recover)

    async def test_call_is_asked_for_at_its_own_sidecar_only(self):
        """An order is doubled by asking a new sidecar what became of it.

        Only the one that made the call can know, and that it was never made
        is true only from its mouth.
        """
        never = message.Failed('', 'not_found', '', 'unknown', True)
        for incarnation, script, ran in (
            (7, whole(b'a'), None),
            (7, (never,), base.Ran.NO),
            (8, whole(b'a'), base.Ran.UNKNOWN),
        ):
            with self.subTest(incarnation=incarnation, ran=ran):
                peer = fake.Peer('one', script)
                peer.incarnation = incarnation
                ctx = fake.make_context(peer)
                work = self._taken_over(ctx, idempotent=False)
                work.kind, work.recover_only = spec.CALL, True
                told = None
                try:
                    await collect(ctx, work)
                except request_error.RequestError as exc:
                    told = exc.ran
                self.assertEqual(told, ran)
                recovers = [a.dispatch.recover for a in peer.attempts]
                self.assertEqual(recovers, [True] * (incarnation == 7))


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    """Requests that run out of time."""

    async def test_running_work_past_its_deadline_is_cancelled(self):
        for script, ran in (
            ((fake.started(),), base.Ran.YES),
            ((), base.Ran.UNKNOWN),
        ):
            peer = fake.Peer('one', script)
            ctx = fake.make_context(peer)
            work = fake.make_work(ctx, deadline_s=0.05)
            with mock.patch.object(serve, 'DEADLINE_GRACE_S', 0.0):
                running = serve.start(ctx, work)
                async with asyncio.timeout(BOUND_S):
                    await running.task
            error = running.delivery.error
            self.assertIsInstance(error, request_error.DeadlineError)
            self.assertIs(error.ran, ran)
            self.assertTrue(peer.attempts[0].closed.is_set())

    async def test_whole_answer_is_not_lost_to_its_deadline(self):
        """The answer is whole, and the store is slow to take it.

        The deadline passes meanwhile; the clerk gets the plan all the same.
        """
        ctx = fake.make_context(fake.Peer('one', whole(b'plan')))
        entry = fake.make_entry()
        work = fake.make_work(ctx, entry=entry, request=entry.request)
        storing, stored = asyncio.Event(), asyncio.Event()

        async def settle(*_):
            storing.set()
            await stored.wait()

        ctx.journal.settle = settle
        running = serve.start(ctx, work)
        await storing.wait()
        running.expire()
        stored.set()
        async with asyncio.timeout(BOUND_S):
            await running.task
        self.assertIsNone(running.delivery.error)
        self.assertEqual(running.delivery.take()[0].items, [b'plan'])
