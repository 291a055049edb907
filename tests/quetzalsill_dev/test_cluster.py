"""Tests of restarting processes of a cluster."""

from __future__ import annotations

import contextlib
import os
import signal
import unittest
from unittest import mock

from quetzalsill_dev import board, cluster, launch


class ClusterTest(unittest.IsolatedAsyncioTestCase):
    """Restarts of the router in a cluster of one router and one engine."""

    async def asyncSetUp(self):
        launcher = launch.Launcher()
        self.addAsyncCleanup(launcher.close)
        layout = board.board_layout(engines=1, services=0, routers=1)
        self.cluster = cluster.Cluster(launcher, layout)
        await self.cluster.start()

    async def test_restart_right_after_a_kill(self):
        """A killed router is restarted before its exit has been noticed.

        If it counted as running until then, it would stay down, and the first
        connection of the next test would be refused.
        """
        (killed,) = self.cluster.routers.values()
        killed.kill()
        await self.cluster.restart_ended()
        await self.cluster.wait_ready()
        (router,) = self.cluster.routers.values()
        self.assertIsNot(router, killed)
        self.assertEqual(router.port, killed.port)

    async def assert_restarted(self, ended):
        await self.cluster.restart_ended()
        await self.cluster.wait_ready()
        (router,) = self.cluster.routers.values()
        self.assertIsNot(router, ended)
        self.assertEqual(router.port, ended.port)

    async def test_restart_while_a_process_ends_gracefully(self):
        """A terminating router is restarted, or the next test loses it."""
        (ending,) = self.cluster.routers.values()
        ending.terminate()
        await self.assert_restarted(ending)

    async def test_restart_of_a_process_that_ended_by_itself(self):
        """A router that exited without a signal from the launcher."""
        (ended,) = self.cluster.routers.values()
        _kill_directly(ended.pid)
        await self.assert_restarted(ended)

    async def test_restart_of_a_process_that_has_closed_its_port(self):
        """A router that refuses connections but has not exited yet."""
        (closed,) = self.cluster.routers.values()
        closed.kill()
        await closed.wait()
        with mock.patch.object(launch.Process, 'running', True):
            await self.cluster.restart_ended()
        await self.cluster.wait_ready()
        (router,) = self.cluster.routers.values()
        self.assertIsNot(router, closed)


def _kill_directly(pid):
    """Kills a process without the launcher and waits until it exits."""
    os.kill(pid, signal.SIGKILL)
    with contextlib.suppress(ChildProcessError):
        os.waitid(os.P_PID, pid, os.WEXITED | os.WNOWAIT)


if __name__ == '__main__':
    unittest.main()
