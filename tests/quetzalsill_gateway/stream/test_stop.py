"""Orders to stop a run, and what their answers tell of it."""

from __future__ import annotations

import itertools
import unittest
from unittest import mock

from quetzalsill_gateway import at_most_once, dialect
from quetzalsill_gateway.fleet import upstream
from quetzalsill_gateway.http import error
from quetzalsill_gateway.stream import stop

RunState = at_most_once.RunState
STOPPED = dialect.Move(handle='h', copied=True)
UNKNOWN = dialect.Move(unknown_run=True)
REFUSED = dialect.Move(refused=True, code='409')


class StopTest(unittest.IsolatedAsyncioTestCase):
    """An engine that is ordered to stop a run, again and again."""

    async def stop(self, *answers):
        """Returns what is known of the run; the last answer is repeated."""
        given = itertools.chain(answers, itertools.repeat(answers[-1]))

        async def move(*_):
            answer = next(given)
            if isinstance(answer, Exception):
                raise answer
            return answer

        engine, target = (
            upstream.Upstream(name, 'writers', ('10.0.0.1', 1), 'z')
            for name in 'et'
        )
        calls = dialect.EngineCalls(None, move, None)
        with mock.patch.object(stop, 'ANSWER_S', 0.05):
            found = await stop.stop(calls, engine, 'r', target)
        return found.state

    async def test_an_answer_tells(self):
        self.assertIs(await self.stop(STOPPED), RunState.STOPPED)
        self.assertIs(await self.stop(UNKNOWN), RunState.ENDED)
        self.assertIs(await self.stop(REFUSED), RunState.AT_WORK)
        self.assertIs(await self.stop(REFUSED, STOPPED), RunState.STOPPED)

    async def test_an_engine_that_takes_no_connection_is_not_reached(self):
        found = await self.stop(error.ConnectError('refused'))
        self.assertIs(found, RunState.UNREACHED)

    async def test_an_engine_that_crashes_meanwhile_is_not_reached(self):
        lost = error.TruncatedError('the connection ended')
        found = await self.stop(lost, error.ConnectError('refused'))
        self.assertIs(found, RunState.UNREACHED)

    async def test_an_engine_that_resets_orders_is_there(self):
        """A plan is at work at two engines.

        Its engine has too many connections and resets new ones, some as they
        open. Each was taken for word that nobody is there.
        """
        for lost in (error.TruncatedError(), error.EndedError()):
            self.assertIs(await self.stop(lost), RunState.AT_WORK)

    async def test_one_connection_that_nobody_answers_says_little(self):
        """A plan is at work at two engines.

        The first packet to its engine is lost, or the queue of connections
        there is full for a moment.
        """
        silent = error.UnansweredError('nobody answers')
        self.assertIs(await self.stop(silent, STOPPED), RunState.STOPPED)
        self.assertIs(await self.stop(silent, REFUSED), RunState.AT_WORK)
        self.assertIs(await self.stop(silent), RunState.UNREACHED)

    async def test_a_refusal_outlasts_a_connection_that_fails(self):
        """The engine has said that it has the run; a full one says no more."""
        found = await self.stop(REFUSED, error.ConnectError('full'))
        self.assertIs(found, RunState.AT_WORK)


if __name__ == '__main__':
    unittest.main()
