"""Tests of the stop signals."""

from __future__ import annotations

import asyncio
import os
import unittest

from quetzalsill.net import stop


class StopSignalTest(unittest.IsolatedAsyncioTestCase):
    """Repeated signals request one stop."""

    async def test_second_signal_has_no_effect(self):
        """A second SIGTERM aborts the requests that the first lets finish."""
        with stop.StopSignal() as signal:
            self.assertFalse(signal.is_set)
            for number in stop.SIGNALS * 2:
                os.kill(os.getpid(), number)
            await asyncio.wait_for(signal.wait(), 10)
            await asyncio.sleep(0)
        self.assertTrue(signal.is_set)
