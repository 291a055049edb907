"""Tests of how a gateway tracks whether its sources are available."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill_gateway import event, source
from quetzalsill_gateway.fleet import revision, upstream


class HealthTest(unittest.IsolatedAsyncioTestCase):
    """Two tables of one store."""

    async def asyncSetUp(self):
        patcher = mock.patch.object(event, 'note')
        patcher.start()
        self.addCleanup(patcher.stop)
        self.health = source.Health()
        self.upstreams = upstream.Upstreams()
        self.health.on_recovery(self.upstreams.mark_source_recovered)

    async def test_a_call_that_spans_an_outage_starts_the_grace_period(
        self,
    ):
        """Guards against the removal of all upstreams after a short outage.

        Only the poll for the configuration fails. The poll for the membership
        is in flight throughout, and is the first to be answered: by then the
        entries of running upstreams have expired. Without the grace period they
        would be removed, and callers would get 503.
        """
        found = upstream.Upstream('u-1', 's', ('10.0.0.1', 80), 'z')
        self.upstreams.mark_confirmed()
        self.upstreams.put(found, revision.Revision(0, 1))
        await asyncio.sleep(0.01)
        self.health.mark_down('configuration', 'refused')
        self.health.mark_up('membership')
        self.upstreams.remove('u-1', revision.Revision(0, 2))
        self.assertEqual(self.upstreams.available('s'), [found])

    async def test_an_answer_of_one_table_does_not_mark_another_as_up(self):
        self.health.mark_down('configuration', 'refused')
        self.health.mark_up('membership')
        self.assertTrue(self.health.is_down)
        self.health.mark_up('configuration')
        self.assertFalse(self.health.is_down)


if __name__ == '__main__':
    unittest.main()
