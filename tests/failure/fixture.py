"""A cluster of real processes for each test of failure."""

from __future__ import annotations

import unittest

from quetzalsill_dev import board, cluster, launch

LOG_TAIL = 6000


class ClusterTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a cluster before each test and ends it after.

    Attributes:
      LAYOUT: Processes of the cluster; a subclass may set its own.
      CHANGES: Changes to the settings of routers and sidecars.
    """

    LAYOUT = board.board_layout(engines=1, services=1, routers=1)
    CHANGES = {}

    async def asyncSetUp(self):
        self.launcher = launch.Launcher()
        self.addAsyncCleanup(self.launcher.close)
        self.addCleanup(self._show_logs)
        self.cluster = cluster.Cluster(
            self.launcher,
            self.LAYOUT,
            configuration=self.configuration(),
            via=self.via,
        )
        self.cluster.changes = dict(self.CHANGES)
        await self.cluster.start()

    def configuration(self):
        """First configuration of the cluster."""
        return board.configuration()

    async def via(self, hop, address):
        """Address told to others for a hop; a subclass may put a relay in."""
        return address

    def _show_logs(self):
        """Prints the end of each log if the test has failed."""
        if self._outcome.success:
            return
        for process in self.launcher.processes:
            tail = process.log_text()[-LOG_TAIL:]
            print(f'--- {process.log.name}\n{tail}')
