"""Tests which state of a run follows from the answers to stop commands."""

from __future__ import annotations

import itertools
import unittest

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import at_most_once, dialect
from quetzalsill_gateway.fleet import upstream
from quetzalsill_gateway.http import error
from quetzalsill_gateway.stream import stop

RunState = at_most_once.RunState
STOPPED = dialect.MoveResult(handle='h', copied=True)
UNKNOWN = dialect.MoveResult(unknown_run=True)
REFUSED = dialect.MoveResult(refused=True, code='409')


class StopTest(unittest.TestCase):
    """Stop commands that are repeated until the state is known.

    Runs in virtual time, so that pauses of the test process have no effect.
    """

    def stop(self, *answers):
        """Returns the resulting state of the run; repeats the last answer."""
        remaining_answers = itertools.chain(
            answers, itertools.repeat(answers[-1])
        )

        async def move(*_):
            answer = next(remaining_answers)
            if isinstance(answer, Exception):
                raise answer
            return answer

        engine, target = (
            upstream.Upstream(name, 'writers', ('10.0.0.1', 1), 'z')
            for name in 'et'
        )
        calls = dialect.EngineCalls(None, move, None)
        results = []

        async def work():
            results.append(await stop.stop(calls, engine, 'r', target))

        clock.run(work)
        return results[0].state

    def test_an_answer_gives_the_state_of_the_run(self):
        self.assertIs(self.stop(STOPPED), RunState.STOPPED)
        self.assertIs(self.stop(UNKNOWN), RunState.ENDED)
        self.assertIs(self.stop(REFUSED), RunState.AT_WORK)
        self.assertIs(self.stop(REFUSED, STOPPED), RunState.STOPPED)

    def test_an_engine_that_refuses_connections_is_unreached(self):
        state = self.stop(error.ConnectError('refused'))
        self.assertIs(state, RunState.UNREACHED)

    def test_an_engine_that_crashes_meanwhile_is_unreached(self):
        truncated = error.TruncatedError('the connection ended')
        state = self.stop(truncated, error.ConnectError('refused'))
        self.assertIs(state, RunState.UNREACHED)

    def test_an_engine_that_resets_connections_may_be_working(self):
        """Guards against a run at two engines.

        The engine has too many connections and resets new ones, some of them
        while they are being opened. A reset must not count as a sign that the
        engine is down.
        """
        for failure in (error.TruncatedError(), error.ConnectionEndedError()):
            self.assertIs(self.stop(failure), RunState.AT_WORK)

    def test_one_unanswered_connection_is_not_conclusive(self):
        """Guards against a run at two engines.

        The first packet to the engine is lost, or its accept queue is full for
        a moment.
        """
        unanswered = error.ConnectTimeoutError('nobody answers')
        self.assertIs(self.stop(unanswered, STOPPED), RunState.STOPPED)
        self.assertIs(self.stop(unanswered, REFUSED), RunState.AT_WORK)
        self.assertIs(self.stop(unanswered), RunState.UNREACHED)

    def test_a_refusal_outweighs_a_later_failed_connection(self):
        """An engine that has refused has the run, even if it then gets full."""
        state = self.stop(REFUSED, error.ConnectError('full'))
        self.assertIs(state, RunState.AT_WORK)


if __name__ == '__main__':
    unittest.main()
