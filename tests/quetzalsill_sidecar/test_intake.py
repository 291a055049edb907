"""Any order of messages about one attempt keeps "not run" true."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import unittest

import hypothesis
from hypothesis import stateful, strategies

from quetzalsill.config import holder
from quetzalsill.wire import message
from quetzalsill_sidecar import intake, leaving_state
from quetzalsill_sidecar.attempt import state, table
from quetzalsill_sidecar.queue import order_fifo, schedule
from tests.quetzalsill_sidecar import support

INCARNATION = 3
NUMBERS = range(8)
NUMBER = strategies.sampled_from(NUMBERS)
LINK = strategies.sampled_from(('a link', 'another link'))
NOT_RUN = (message.Refused, message.Withdrawn)


class _Upstream:
    """Takes the place of the runner; connects when the machine says so."""

    def __init__(self, attempts: table.Attempts):
        self.attempts = attempts
        self.connecting: list[state.Attempt] = []
        self.started: list[state.Attempt] = []

    def start(self, attempt, demand):
        attempt.stage = state.Stage.CONNECTING
        self.connecting.append(attempt)

    def stop_attempt(self, attempt, code):
        if attempt in self.connecting:
            self.connecting.remove(attempt)
            self.attempts.refuse(attempt, code, code)
        elif attempt in self.started:
            self.started.remove(attempt)
            failed = message.Failed(attempt.id, code, code, 'yes', False)
            self.attempts.end(attempt, failed)


class IntakeMachine(stateful.RuleBasedStateMachine):
    """Messages come late, twice and crossed, over two links."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.admits = False
        self.replies: list[message.Message] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.dispatches = [support.make_dispatch(INCARNATION) for _ in NUMBERS]
        settings = support.settings('http://127.0.0.1:9')
        configuration = holder.Holder()
        configuration.install(support.configuration(), 1)
        self.attempts = table.Attempts(100, self.loop.time)
        self.queue = schedule.Schedule(
            order_fifo.FifoOrder(),
            lambda *_: self.admits,
            9,
            self.loop.time,
        )
        self.upstream = _Upstream(self.attempts)
        self.intake = intake.Intake(
            settings,
            INCARNATION,
            configuration,
            self.attempts,
            self.queue,
            self.upstream,
            leaving_state.LeavingState(
                'ikeja-planner-1', configuration, lambda _: None
            ),
            support.registry(),
            lambda: None,
        )

    def call(self, function, *args):
        async def inside():
            function(*args)
            await asyncio.sleep(0)

        self.loop.run_until_complete(inside())

    @stateful.initialize()
    def some_are_on_their_way(self):
        """Attempts 0 to 2 have started, 3 is connecting, and 4 waits."""
        for number in (0, 1, 2):
            self.dispatch_arrives(number, 'a link')
        self.queue_moves()
        self.upstream_connects()
        self.dispatch_arrives(3, 'a link')
        self.queue_moves()
        self.dispatch_arrives(4, 'a link')

    @stateful.rule(number=NUMBER, link=LINK)
    def dispatch_arrives(self, number, link):
        dispatch = self.dispatches[number]
        self.call(self.intake.dispatch, dispatch, link, self.replies.append)

    @stateful.rule(number=NUMBER)
    def dispatch_for_another_incarnation_arrives(self, number):
        dispatch = dataclasses.replace(self.dispatches[number], incarnation=4)
        self.call(self.intake.dispatch, dispatch, 'a link', self.replies.append)

    @stateful.rule(number=NUMBER)
    def withdraw_arrives(self, number):
        attempt = self.dispatches[number].attempt
        self.call(self.intake.withdraw, attempt, self.replies.append)

    @stateful.rule(number=NUMBER, link=LINK)
    def resume_arrives(self, number, link):
        msg = message.Resume(self.dispatches[number].attempt, 0, 10)
        self.call(self.intake.resume, msg, link, self.replies.append)

    @stateful.rule(number=NUMBER)
    def cancel_arrives(self, number):
        self.call(self.intake.cancel, self.dispatches[number].attempt)

    @stateful.rule()
    def queue_moves(self):
        self.admits = True
        self.call(self.intake.pump)
        self.admits = False

    @stateful.rule()
    def upstream_connects(self):
        for attempt in self.upstream.connecting:
            self.runs[attempt.id] += 1
            self.call(attempt.start, self.loop.time())
            self.upstream.started.append(attempt)
        self.upstream.connecting.clear()

    @stateful.rule()
    def all_that_waits_starts(self):
        self.queue_moves()
        self.upstream_connects()

    @stateful.rule()
    def answers_end(self):
        for attempt in self.upstream.started:
            finished = message.Finished(attempt.id, 0)
            self.call(self.attempts.end, attempt, finished)
        self.upstream.started.clear()

    @stateful.rule(number=NUMBER)
    def answer_is_acknowledged(self, number):
        attempt = self.attempts.get(self.dispatches[number].attempt)
        if attempt is not None and attempt.terminal is not None:
            self.attempts.forget(attempt)

    @stateful.invariant()
    def not_run_is_true_and_work_runs_once(self):
        refused = {msg.attempt for msg in self.replies if type(msg) in NOT_RUN}
        assert not refused & self.runs.keys()
        assert all(count == 1 for count in self.runs.values())

    def teardown(self):
        self.loop.close()


IntakeMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)
IntakeTest = IntakeMachine.TestCase

if __name__ == '__main__':
    unittest.main()
