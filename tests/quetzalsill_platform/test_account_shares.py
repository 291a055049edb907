"""Gateways tell each other what client accounts use."""

from __future__ import annotations

import asyncio

from quetzalsill_gateway import settings
from tests.quetzalsill_platform import fixture


class AccountSharesTest(fixture.GatewayTestCase):
    """Two gateways with shares enabled."""

    shares = settings.Shares(enabled=True)

    async def test_use_is_announced_while_requests_wait(self):
        """Without it, each gateway would divide by its own use only."""
        first, second = await self.start_peers(2)
        now = asyncio.get_running_loop().time()
        first.core.shares.record(b'acme', 50_000, now, was_queued=False)
        await asyncio.sleep(0.3)
        self.assertEqual(second.core.shares.start_tag(b'acme'), 0.0)
        first.core.stats_table.set_peer_waiting('other', {'s': {1: 1_000}})
        await self.wait_until(lambda: second.core.shares.start_tag(b'acme'))
