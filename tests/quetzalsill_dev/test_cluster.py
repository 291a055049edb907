"""Tests of the cluster, with a router as the process that is killed."""

from __future__ import annotations

import unittest

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


if __name__ == '__main__':
    unittest.main()
