"""Grounds on which requests are sent, and runs go on."""

from __future__ import annotations

import itertools
import unittest

from quetzalsill_gateway import at_most_once

Grounds = at_most_once.Grounds
RunState = at_most_once.RunState


class SendHistoryTest(unittest.TestCase):
    """Whether work begins at a further upstream."""

    def test_what_has_not_run_begins(self):
        history = at_most_once.SendHistory(may_repeat=False)
        self.assertIs(history.grounds_to_start(), Grounds.NOT_RUN)
        history.record(may_have_run=False)
        self.assertIs(history.grounds_to_start(), Grounds.NOT_RUN)

    def test_what_may_have_run_never_begins_again(self):
        """An order gets no answer, and a later send of it is turned away.

        That the later one has not run says nothing of the first; taken for the
        whole story, the order would be sent a third time, and done twice.
        """
        history = at_most_once.SendHistory(may_repeat=False)
        history.record(may_have_run=True)
        history.record(may_have_run=False)
        self.assertIsNone(history.grounds_to_start())

    def test_what_may_be_repeated_begins_again(self):
        history = at_most_once.SendHistory(may_repeat=True)
        history.record(may_have_run=True)
        self.assertIs(history.grounds_to_start(), Grounds.REPEATABLE)


class ResumeTest(unittest.TestCase):
    """Whether a run that broke off goes on elsewhere."""

    def test_a_run_that_its_engine_stopped_goes_on_from_the_copy(self):
        for streamed_s in (0.0, 0.02, 8.0):
            found = at_most_once.grounds_to_resume(RunState.STOPPED, streamed_s)
            self.assertIs(found, Grounds.COPY)

    def test_a_run_that_has_hardly_begun_does_not_go_on(self):
        """An engine resets a plan as it begins it, or soon after.

        No memory has gone to the backup. Sent there, the plan began again.
        """
        for state, streamed_s in itertools.product(
            (RunState.ENDED, RunState.UNREACHED, RunState.AT_WORK), (0.0, 0.3)
        ):
            self.assertIsNone(at_most_once.grounds_to_resume(state, streamed_s))

    def test_a_run_that_was_not_stopped_does_not_go_on(self):
        for streamed_s in (0.0, 0.02, 8.0):
            found = at_most_once.grounds_to_resume(RunState.AT_WORK, streamed_s)
            self.assertIsNone(found)

    def test_a_run_with_a_copy_goes_on_once_it_is_at_work_nowhere(self):
        for state in (RunState.ENDED, RunState.UNREACHED):
            found = at_most_once.grounds_to_resume(state, 0.02, has_copy=True)
            self.assertIs(found, Grounds.COPY)
        found = at_most_once.grounds_to_resume(
            RunState.AT_WORK, 8.0, has_copy=True
        )
        self.assertIsNone(found)

    def test_a_run_that_made_events_for_a_while_goes_on_from_its_backup(self):
        for state, streamed_s in itertools.product(
            (RunState.ENDED, RunState.UNREACHED),
            (at_most_once.BACKUP_INTERVAL_S, 8.0),
        ):
            found = at_most_once.grounds_to_resume(state, streamed_s)
            self.assertIs(found, Grounds.BACKUP)


if __name__ == '__main__':
    unittest.main()
