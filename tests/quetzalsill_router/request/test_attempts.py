"""Tests of the attempt loop."""

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
    """Runs a request to its end and returns its items."""
    running = active.ActiveRequest(work)
    items = []
    async with asyncio.timeout(BOUND_S):
        async for part in attempts.pieces(ctx, running):
            if isinstance(part, piece.Items):
                items.extend(part.items)
                part.release()
    return items


def success(*items):
    """Returns the script of an attempt that succeeds."""
    return (fake.started(), fake.chunk(0, *items), fake.finished(len(items)))


class AttemptsTest(unittest.IsolatedAsyncioTestCase):
    """Behaviour of the loop for single failures."""

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
        """A request is served under limits that were edited before it ran.

        A router with a stale configuration accepts it and a sidecar refuses
        it as stale. The router sends it again with the newer revision but
        the old limits, or for an account that was removed meanwhile.
        """
        for account, revision in (('retailers', 4), ('nobody', 5)):
            peer = fake.Peer('one', success(b'a'))
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
        two = fake.Peer('two', success(b'a'))
        ctx = fake.make_context(one, two)
        ctx.routing = lambda _query, candidates: (
            candidates[0] if candidates else None
        )
        self.assertEqual(await collect(ctx, fake.make_work(ctx)), [b'a'])
        self.assertEqual(len(one.attempts), 1)

    async def test_refusal_by_all_is_final_at_once(self):
        """A request waits for its deadline although every queue is full.

        With a deadline of 30 s, the caller would wait 30 s for a refusal that
        is certain at once. The refusal has the smallest retry-after hint.
        """
        one = fake.Peer('one', (fake.refused(retry_after_ms=4000),))
        two = fake.Peer('two', (fake.refused(retry_after_ms=1500),))
        ctx = fake.make_context(one, two)
        with self.assertRaises(request_error.OverloadedError) as caught:
            await collect(ctx, fake.make_work(ctx, deadline_s=3600))
        self.assertEqual(caught.exception.retry_after_s, 1.5)
        self.assertIs(caught.exception.ran, base.Ran.NO)

    async def wait_while_link_reconnects(self):
        """Returns the only peer, its context and a waiting request."""
        peer = fake.Peer('one', success(b'a'))
        ctx = fake.make_context(peer)
        peer.linked, ctx.peers.reconnecting = False, True
        collecting = asyncio.create_task(collect(ctx, fake.make_work(ctx)))
        await asyncio.sleep(0.1)
        return peer, ctx, collecting

    async def test_request_waits_for_the_only_link_to_reconnect(self):
        """A request is refused while the link to its upstream reconnects."""
        peer, ctx, collecting = await self.wait_while_link_reconnects()
        self.assertFalse(collecting.done())
        peer.linked, ctx.peers.reconnecting = True, False
        self.assertEqual(await collecting, [b'a'])

    async def test_wait_ends_once_the_only_link_cannot_reconnect(self):
        """A request waits for an upstream that is known to be down."""
        _, ctx, collecting = await self.wait_while_link_reconnects()
        ctx.peers.reconnecting = False
        with self.assertRaises(request_error.NoUpstreamError) as caught:
            await collecting
        self.assertIs(caught.exception.ran, base.Ran.NO)

    async def test_wait_for_a_link_leaves_time_for_another_router(self):
        """A request is refused too late to be sent to another router."""
        peer = fake.Peer('one')
        ctx = fake.make_context(peer)
        peer.linked, ctx.peers.reconnecting = False, True
        work = fake.make_work(ctx, deadline_s=1.0)
        with self.assertRaises(request_error.NoUpstreamError):
            await collect(ctx, work)
        self.assertGreater(work.remaining_s(), 0.0)

    async def test_unknown_outcome_of_an_order_is_not_repeated(self):
        """Work that is not idempotent runs twice if its link is lost.

        The link breaks after the Dispatch, so nothing shows whether the work
        ran. It must not be dispatched to the second upstream.
        """
        one = fake.Peer('one', (fake.failed('unknown'),))
        two = fake.Peer('two', success(b'a'))
        ctx = fake.make_context(one, two)
        ctx.routing = lambda _query, candidates: candidates[0]
        work = fake.make_work(ctx, idempotent=False)
        with self.assertRaises(request_error.RequestError) as caught:
            await collect(ctx, work)
        self.assertIs(caught.exception.ran, base.Ran.UNKNOWN)
        self.assertEqual(two.attempts, [])
        self.assertFalse(one.attempts[0].cancelled)

    async def test_buffered_answer_omits_the_failed_generation(self):
        """The answer mixes the tokens of a failed generation and of its retry.

        The engine fails after ten tokens. With buffered delivery, the
        tokens of the failed generation are discarded and only those of the
        second one are delivered.
        """
        lost = [b'g1.%d' % index for index in range(10)]
        one = fake.Peer(
            'one',
            (fake.started(), fake.chunk(0, *lost), fake.failed('yes', True)),
        )
        two = fake.Peer('two', success(b'g2.0', b'g2.1'))
        ctx = fake.make_context(
            one, two, cfg=fake.configuration(delivery='whole')
        )
        ctx.routing = lambda _query, candidates: candidates[0]
        found = await collect(ctx, fake.make_work(ctx))
        self.assertEqual(found, [b'g2.0', b'g2.1'])

    async def test_streamed_generation_is_not_replaced(self):
        """A retry continues a streamed answer with other tokens.

        The engine fails after ten tokens were delivered. The answer must end
        with an error, as a second generation would differ.
        """
        lost = [b'g1.%d' % index for index in range(10)]
        one = fake.Peer(
            'one',
            (fake.started(), fake.chunk(0, *lost), fake.failed('yes', True)),
        )
        two = fake.Peer('two', success(b'g2.0'))
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
        """A queued attempt that moves to an idle upstream runs twice.

        The attempt may have started before it is withdrawn. It is dispatched
        to the idle upstream only if the sidecar confirms the withdrawal.
        """
        for response, upstream in (
            (message.Withdrawn(''), 'two'),
            (message.Running(''), 'one'),
        ):
            busy = message.Load(9, 9, 0, 0, 9000, 5.0, [], False, True, 3)
            idle = message.Load(0, 0, 0, 0, 0, 5.0, [], False, True, 3)
            one = fake.Peer('one', load=busy)
            two = fake.Peer('two', success(b'two'), load=idle)
            ctx = fake.make_context(one, two)
            ctx.routing = lambda _query, found, one=one, two=two: (
                two if one.attempts else one
            )
            task = asyncio.create_task(collect(ctx, fake.make_work(ctx)))
            async with asyncio.timeout(BOUND_S):
                await one.opened.wait()
                await one.attempts[0].withdrawn.wait()
            self.assertEqual(two.attempts, [])
            one.attempts[0].put(response)
            if upstream == 'one':
                for msg in success(b'one'):
                    one.attempts[0].put(msg)
            self.assertEqual(await task, [upstream.encode()])
            self.assertEqual(len(two.attempts), int(upstream == 'two'))

    async def test_refusal_does_not_hide_an_earlier_run(self):
        """The first attempt ran and was lost, the second is refused.

        If "not run" were reported, the caller would repeat a generation that
        did run.
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

    async def test_consumer_that_stops_closes_the_attempt(self):
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
    'whole': success(b'a', b'b'),
}
NOT_RUN_OUTCOMES = {
    'refused',
    'refused_stale',
    'superseded',
    'withdrawn',
    'failed_no',
}


class AtMostOnceTest(unittest.TestCase):
    """No second Dispatch unless the first is known not to have run."""

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

    async def _check(self, names, idempotent, buffered, retries):
        scripts = iter([ENDS[name] for name in names])
        peers = [fake.Peer(name) for name in ('one', 'two', 'three')]
        sent = []

        def choose(_query, candidates):
            if not candidates or len(sent) == len(names):
                return None
            peer = candidates[0]
            peer._scripts = [next(scripts)]
            sent.append(names[len(sent)])
            return peer

        ctx = fake.make_context(
            *peers,
            cfg=fake.configuration(
                retries=retries, delivery='whole' if buffered else 'stream'
            ),
        )
        ctx.routing = choose
        ctx.settings.retries.backoff_s = 0.0
        ctx.holder.wait_for = _return_at_once
        work = fake.make_work(ctx, idempotent=idempotent)
        items, error = await _outcome(ctx, work)
        ran = [name for name in sent if name not in NOT_RUN_OUTCOMES]
        if not idempotent:
            self.assertLessEqual(len(ran), 1)
            self.assertEqual(ran, sent[len(sent) - len(ran) :])
        if not buffered and 'cut' in sent:
            self.assertEqual(sent[-1], 'cut')
        if error is None:
            self.assertEqual(items, [b'a', b'b'])
        elif error.ran is base.Ran.NO:
            self.assertEqual(ran, [])


async def _return_at_once(_revision):
    """Replaces `wait_for` of a holder that has the newer revision."""


async def _outcome(ctx, work):
    """Runs a request and returns its items and its failure."""
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
    """Journalled work that an earlier router may have run."""

    def _taken_over_work(self, ctx, idempotent):
        entry = fake.make_entry(idempotent=idempotent)
        entry.run = fake.durable_entry.Run('old/1/1', 'one', 7, 4)
        return fake.make_work(
            ctx,
            entry=entry,
            run=entry.run,
            idempotent=idempotent,
            request=entry.request,
        )

    async def test_run_of_a_failed_router_is_attached_to(self):
        peer = fake.Peer('one', success(b'a'))
        ctx = fake.make_context(peer)
        found = await collect(ctx, self._taken_over_work(ctx, idempotent=False))
        self.assertEqual(found, [b'a'])
        sent = peer.attempts[0].dispatch
        self.assertEqual((sent.attempt, sent.recover), ('old/1/1', True))
        # The sidecar needs the engine's incarnation: an engine that restarted
        # since then can't prove that the work never ran.
        self.assertEqual(sent.engine, 4)

    async def test_run_that_was_cancelled_with_its_router_is_repeated(self):
        """Durable work fails if its run was cancelled with its router."""
        lost = fake.failed(base.Ran.YES)
        peer = fake.Peer('one', (lost,), success(b'a'))
        ctx = fake.make_context(peer)
        found = await collect(ctx, self._taken_over_work(ctx, idempotent=True))
        self.assertEqual(found, [b'a'])

    async def test_answer_is_acknowledged_only_once_it_is_stored(self):
        """An answer is lost if the router fails before it has stored it.

        The sidecar discards an answer once it is acknowledged, so the router
        must acknowledge only after it has stored the whole answer.
        """
        peer = fake.Peer('one', success(b'a'))
        ctx = fake.make_context(peer)
        stored = asyncio.Event()
        settling = asyncio.Event()

        async def settle(entry, answer):
            settling.set()
            await stored.wait()

        ctx.journal.settle = settle
        running = serve.start(ctx, self._taken_over_work(ctx, idempotent=False))
        await settling.wait()
        self.assertFalse(peer.attempts[0].closed.is_set())
        stored.set()
        await running.task
        self.assertTrue(peer.attempts[0].closed.is_set())

    async def test_work_is_not_repeated_if_a_new_sidecar_reports_not_found(
        self,
    ):
        """Work runs twice if its router and its sidecar both fail.

        The new sidecar has no record of the run, so its "not found" does not
        prove that the work never ran.
        """
        peer = fake.Peer('one', (fake.refused('not_found'),), success(b'a'))
        peer.incarnation = 8
        ctx = fake.make_context(peer)
        with self.assertRaises(request_error.OutcomeUnknownError):
            await collect(ctx, self._taken_over_work(ctx, idempotent=False))
        self.assertEqual(len(peer.attempts), 1)

    async def test_work_is_run_if_its_own_sidecar_reports_not_found(self):
        peer = fake.Peer('one', (fake.refused('not_found'),), success(b'a'))
        ctx = fake.make_context(peer)
        found = await collect(ctx, self._taken_over_work(ctx, idempotent=False))
        self.assertEqual(found, [b'a'])
        self.assertFalse(peer.attempts[1].dispatch.recover)

    async def test_call_is_recovered_at_its_own_sidecar_only(self):
        """A call runs twice if a new sidecar is asked for its outcome.

        Only the sidecar that made the call knows its outcome, and only that
        sidecar can report that the call was never made.
        """
        never = message.Failed('', 'not_found', '', 'unknown', True)
        for incarnation, script, ran in (
            (7, success(b'a'), None),
            (7, (never,), base.Ran.NO),
            (8, success(b'a'), base.Ran.UNKNOWN),
        ):
            with self.subTest(incarnation=incarnation, ran=ran):
                peer = fake.Peer('one', script)
                peer.incarnation = incarnation
                ctx = fake.make_context(peer)
                work = self._taken_over_work(ctx, idempotent=False)
                work.kind, work.recover_only = spec.CALL, True
                ran_reported = None
                try:
                    await collect(ctx, work)
                except request_error.RequestError as exc:
                    ran_reported = exc.ran
                self.assertEqual(ran_reported, ran)
                recovers = [a.dispatch.recover for a in peer.attempts]
                self.assertEqual(recovers, [True] * (incarnation == 7))


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    """Requests that reach their deadline."""

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

    async def test_complete_answer_is_not_lost_at_its_deadline(self):
        """A complete answer is replaced by a deadline error.

        The deadline passes while the store is slow to write the answer; the
        caller must still get the answer.
        """
        ctx = fake.make_context(fake.Peer('one', success(b'plan')))
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
