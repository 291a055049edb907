"""Tests of the grounds for starting requests and resuming runs."""

from __future__ import annotations

import itertools
import unittest

from quetzalsill_gateway import at_most_once

Grounds = at_most_once.Grounds
RunState = at_most_once.RunState


class SendHistoryTest(unittest.TestCase):
    """Whether work may start at a further upstream."""

    def test_a_request_that_has_not_run_may_start(self):
        history = at_most_once.SendHistory(may_repeat=False)
        self.assertIs(history.grounds_to_start(), Grounds.NOT_RUN)
        history.record(may_have_run=False)
        self.assertIs(history.grounds_to_start(), Grounds.NOT_RUN)

    def test_a_request_that_may_have_run_does_not_start_again(self):
        """A later "not run" does not clear an earlier send without a response.

        Otherwise the call would be sent a third time, and run twice.
        """
        history = at_most_once.SendHistory(may_repeat=False)
        history.record(may_have_run=True)
        history.record(may_have_run=False)
        self.assertIsNone(history.grounds_to_start())

    def test_a_repeatable_request_may_start_again(self):
        history = at_most_once.SendHistory(may_repeat=True)
        history.record(may_have_run=True)
        self.assertIs(history.grounds_to_start(), Grounds.REPEATABLE)


class ResumeTest(unittest.TestCase):
    """Whether an interrupted run may resume elsewhere."""

    def test_a_run_that_its_engine_stopped_resumes_from_the_copy(self):
        for streamed_s in (0.0, 0.02, 8.0):
            found = at_most_once.grounds_to_resume(RunState.STOPPED, streamed_s)
            self.assertIs(found, Grounds.COPY)

    def test_a_run_that_has_just_started_does_not_resume(self):
        """An engine resets a run as it starts it, or soon after.

        Nothing has been replicated to the backup yet. Sent there, the run
        started a second time.
        """
        for state, streamed_s in itertools.product(
            (RunState.ENDED, RunState.UNREACHED, RunState.AT_WORK), (0.0, 0.3)
        ):
            self.assertIsNone(at_most_once.grounds_to_resume(state, streamed_s))

    def test_a_run_that_was_not_stopped_does_not_resume(self):
        for streamed_s in (0.0, 0.02, 8.0):
            found = at_most_once.grounds_to_resume(RunState.AT_WORK, streamed_s)
            self.assertIsNone(found)

    def test_a_run_with_a_copy_resumes_once_it_is_in_progress_nowhere(self):
        for state in (RunState.ENDED, RunState.UNREACHED):
            found = at_most_once.grounds_to_resume(state, 0.02, has_copy=True)
            self.assertIs(found, Grounds.COPY)
        found = at_most_once.grounds_to_resume(
            RunState.AT_WORK, 8.0, has_copy=True
        )
        self.assertIsNone(found)

    def test_a_run_that_produced_events_resumes_from_its_backup(self):
        for state, streamed_s in itertools.product(
            (RunState.ENDED, RunState.UNREACHED),
            (at_most_once.BACKUP_INTERVAL_S, 8.0),
        ):
            found = at_most_once.grounds_to_resume(state, streamed_s)
            self.assertIs(found, Grounds.BACKUP)


if __name__ == '__main__':
    unittest.main()
