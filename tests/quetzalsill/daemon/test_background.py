"""Tests of work in the background."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill import event
from quetzalsill.daemon import background


class KeepRunningTest(unittest.IsolatedAsyncioTestCase):
    """A loop that fails must not end for good."""

    async def test_runs_again_after_a_fault_until_cancelled(self):
        """A router goes on with its old configuration for ever.

        Its follower meets a fault of our own and its task ends; nobody looks
        at the task before the process stops.
        """
        third_run = asyncio.Event()

        async def work() -> None:
            if runs.call_count == 1:
                raise ValueError('a fault of our own')
            if runs.call_count == 3:
                third_run.set()
                await asyncio.Event().wait()

        runs = mock.Mock(side_effect=work)
        with (
            mock.patch.object(background, 'RESTART_DELAY_S', 0),
            mock.patch.object(background.event, 'note') as note,
        ):
            task = asyncio.create_task(background.keep_running('loop', runs))
            async with asyncio.timeout(10):
                await third_run.wait()
            task.cancel()
            await asyncio.wait([task])
        self.assertTrue(task.cancelled())
        note.assert_called_once_with(
            event.BackgroundFailed('loop'), exc=mock.ANY
        )
        self.assertIsInstance(note.call_args.kwargs['exc'], ValueError)
        self.assertEqual(event.BackgroundFailed.LEVEL, 'error')
