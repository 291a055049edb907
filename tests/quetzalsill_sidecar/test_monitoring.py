"""Tests the monitoring endpoints of a sidecar."""

from __future__ import annotations

import unittest

from quetzalsill.net import client
from quetzalsill_sidecar import monitoring
from tests.quetzalsill_sidecar import support


class MonitoringTest(unittest.IsolatedAsyncioTestCase):
    """Readiness reflects leaving; metrics count ended attempts."""

    async def test_readiness_and_metrics(self):
        async with (
            support.engine() as (_, url),
            support.sidecar(url) as sidecar,
            support.router(sidecar.port) as router,
            support.serve_app(monitoring.make_app(sidecar)) as page,
            client.session(page) as http,
        ):
            await router.receive_all(router.dispatch())
            self.assertEqual((await http.get('/readyz')).status, 200)
            text = (await (await http.get('/metrics')).read()).decode()
            sidecar.leave('reclaimed')
            self.assertEqual((await http.get('/readyz')).status, 503)
            self.assertEqual((await http.get('/healthz')).status, 200)
        self.assertIn('quetzalsill_sidecar_attempts_total', text)
        self.assertIn('quetzalsill_sidecar_queue_wait_seconds', text)


if __name__ == '__main__':
    unittest.main()
