"""Test cases that run on a cluster of real processes."""

from __future__ import annotations

import asyncio
import functools
import pathlib
import unittest

from quetzalsill_dev import board, cluster, launch
from quetzalsill_dev.testing import evidence

LOG_TAIL = 6000


def on_cluster(method):
    """Makes a coroutine function a test of `SharedClusterTestCase`."""

    @functools.wraps(method)
    def run(self):
        self.runner.run(method(self))

    return run


class _LogReportingTestCase(unittest.TestCase):
    """Saves the logs and settings of a failed test and prints log tails."""

    def run(self, result=None):
        self.result = result or self.defaultTestResult()
        return super().run(self.result)

    def report_logs(self):
        found = [*self.result.failures, *self.result.errors]
        failed = [getattr(case, 'test_case', case) for case, _ in found]
        if self in failed:
            within = evidence.folder(pathlib.Path.cwd())
            kept = evidence.keep(within, self.id(), self.launcher.folder)
            print(f'evidence: {kept}')
            for process in self.launcher.processes:
                tail = process.log_text()[-LOG_TAIL:]
                print(f'--- {process.log.name}\n{tail}')


class ClusterTestCase(_LogReportingTestCase, unittest.IsolatedAsyncioTestCase):
    """Starts a cluster before each test and stops it afterwards.

    Attributes:
      LAYOUT: Processes of the cluster; a subclass may set its own.
      CHANGES: Changes to the settings of routers and sidecars; see
        `cluster.Cluster.overrides`.
    """

    LAYOUT = board.board_layout(engines=1, services=1, routers=1)
    CHANGES = {}

    async def asyncSetUp(self):
        self.launcher = launch.Launcher()
        self.addAsyncCleanup(self.launcher.close)
        self.addCleanup(self.report_logs)
        self.cluster = cluster.Cluster(
            self.launcher,
            self.LAYOUT,
            configuration=self.configuration(),
            via=self.via,
        )
        self.cluster.overrides = dict(self.CHANGES)
        await self.cluster.start()

    def configuration(self):
        """Initial configuration of the cluster."""
        return board.configuration()

    async def via(self, hop, address):
        """Address that peers use for a hop; a subclass may insert a relay."""
        return address


class SharedClusterTestCase(_LogReportingTestCase):
    """Runs all tests of a class on one shared cluster.

    The tests are coroutine functions decorated with `on_cluster`. A test may
    leave processes killed or paused and fault switches set: `restore` runs
    before each test.

    Attributes:
      LAYOUT: Processes of the cluster.
      CHANGES: Changes to the settings; see `cluster.Cluster.overrides`.
      TLS: TLS context for the routers, if they listen with TLS.
    """

    LAYOUT = board.board_layout(engines=1, services=1, routers=2)
    CHANGES = {}
    TLS = None

    @classmethod
    def setUpClass(cls):
        cls.runner = cls.enterClassContext(asyncio.Runner())
        cls.launcher = launch.Launcher()
        cls.addClassCleanup(lambda: cls.runner.run(cls.launcher.close()))
        cls.cluster = cluster.Cluster(
            cls.launcher,
            cls.LAYOUT,
            configuration=cls.configuration(),
            via=cls.via,
        )
        cls.cluster.overrides = dict(cls.CHANGES)
        cls.cluster.tls = cls.TLS
        cls.runner.run(cls.cluster.start())

    @classmethod
    def configuration(cls):
        """Initial configuration of the cluster."""
        return board.configuration()

    @classmethod
    async def via(cls, hop, address):
        """Address that peers use for a hop; a subclass may insert a relay."""
        return address

    def setUp(self):
        self.addCleanup(self.report_logs)
        self.runner.run(self.restore())

    async def restore(self):
        """Restores all processes; a subclass also resets its switches."""
        for process in self.launcher.processes:
            process.cont()
        await self.cluster.restart_ended()
        await self.cluster.wait_ready()
