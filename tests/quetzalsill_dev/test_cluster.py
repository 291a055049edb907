"""Tests of the cluster, with a router as the process that is killed."""

from __future__ import annotations

import contextlib
import os
import signal
import unittest
from unittest import mock

from quetzalsill_dev import board, cluster, launch


class ClusterTest(unittest.IsolatedAsyncioTestCase):
    """A router and an engine."""

    async def asyncSetUp(self):
        launcher = launch.Launcher()
        self.addAsyncCleanup(launcher.close)
        layout = board.board_layout(engines=1, services=0, routers=1)
        self.cluster = cluster.Cluster(launcher, layout)
        await self.cluster.start()

    async def test_restart_right_after_a_kill(self):
        """A test fails in its first step, where nobody listens.

        The test before it has killed a router. That it has ended is learned a
        moment later; taken for running until then, it is not started again.
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
        """A test fails in its first step: its router is about to end."""
        (ending,) = self.cluster.routers.values()
        ending.terminate()
        await self.assert_restarted(ending)

    async def test_restart_of_a_process_that_ended_by_itself(self):
        """A test fails in its first step: nobody has noticed an end."""
        (ended,) = self.cluster.routers.values()
        _end(ended.pid)
        await self.assert_restarted(ended)

    async def test_restart_of_a_process_that_has_closed_its_port(self):
        """A test fails in its first step: a process takes time to end."""
        (closed,) = self.cluster.routers.values()
        closed.kill()
        await closed.wait()
        with mock.patch.object(launch.Process, 'running', True):
            await self.cluster.restart_ended()
        await self.cluster.wait_ready()
        (router,) = self.cluster.routers.values()
        self.assertIsNot(router, closed)


def _end(pid):
    """Kills a process behind the launcher's back, and waits for its end."""
    os.kill(pid, signal.SIGKILL)
    with contextlib.suppress(ChildProcessError):
        os.waitid(os.P_PID, pid, os.WEXITED | os.WNOWAIT)


if __name__ == '__main__':
    unittest.main()
