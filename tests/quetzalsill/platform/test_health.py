"""Tests of `quetzalsill.platform.health`."""

from __future__ import annotations

import unittest

from quetzalsill.platform import health


class StoreHealthTest(unittest.IsolatedAsyncioTestCase):
    """The state without probes; `test_exchange` tests the probes."""

    def setUp(self):
        self.now = 100.0
        self.health = health.StoreHealth(lambda: self.now)

    def test_one_failure_is_not_an_outage(self):
        self.health.record_failure()
        self.assertTrue(self.health.up)
        self.health.record_success()
        self.health.record_failure()
        self.assertTrue(self.health.up)

    def test_down_since_the_second_failure(self):
        for _ in range(3):
            self.now += 1.0
            self.health.record_failure()
        self.assertFalse(self.health.up)
        self.assertEqual(self.health.changed_at, 102.0)
        self.health.record_success()
        self.assertTrue(self.health.up)
        self.assertEqual(self.health.changed_at, 103.0)

    def test_retry_after_grows_with_the_outage_and_is_bounded(self):
        self.health.record_failure()
        self.health.record_failure()
        self.assertEqual(self.health.retry_after_s(), 1.0)
        self.now += 10.0
        self.assertGreaterEqual(self.health.retry_after_s(), 5.0)
        self.now += 3600.0
        self.assertEqual(self.health.retry_after_s(), 30.0)


if __name__ == '__main__':
    unittest.main()
