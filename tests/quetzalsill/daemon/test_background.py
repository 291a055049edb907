"""Tests of `quetzalsill.daemon.background`."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill import event
from quetzalsill.daemon import background


class KeepRunningTest(unittest.IsolatedAsyncioTestCase):
    """A loop that fails is restarted."""

    async def test_restarts_after_an_error_until_cancelled(self):
        """Guards against a router that keeps an old configuration forever.

        The follower fails because of a bug and its task ends; nothing awaits
        the task before the process stops.
        """
        third_run = asyncio.Event()

        async def work() -> None:
            if runs.call_count == 1:
                raise ValueError('simulated bug')
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
