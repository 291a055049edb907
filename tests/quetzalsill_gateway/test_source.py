"""Whether the sources answer, as one gateway sees it."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill_gateway import event, source
from quetzalsill_gateway.fleet import revision, upstream


class HealthTest(unittest.IsolatedAsyncioTestCase):
    """Two tables of one store."""

    async def asyncSetUp(self):
        quiet = mock.patch.object(event, 'note')
        quiet.start()
        self.addCleanup(quiet.stop)
        self.health = source.Health()
        self.upstreams = upstream.Upstreams()
        self.health.on_recovery(self.upstreams.mark_source_recovered)

    async def test_a_call_that_spans_an_outage_tells_of_it_too(self):
        """Every upstream is gone after a short outage, and callers get 503.

        Only the call for the configuration fails. That for the membership was
        under way all the while, and is the first to be answered: by then the
        entries of upstreams that live have lapsed. Taken for an answer like any
        other, it would have them removed without the grace.
        """
        found = upstream.Upstream('u-1', 's', ('10.0.0.1', 80), 'z')
        self.upstreams.mark_confirmed()
        self.upstreams.put(found, revision.Revision(0, 1))
        await asyncio.sleep(0.01)
        self.health.mark_down('configuration', 'refused')
        self.health.mark_up('membership')
        self.upstreams.remove('u-1', revision.Revision(0, 2))
        self.assertEqual(self.upstreams.available('s'), [found])

    async def test_a_table_that_answers_does_not_speak_for_another(self):
        self.health.mark_down('configuration', 'refused')
        self.health.mark_up('membership')
        self.assertTrue(self.health.is_down)
        self.health.mark_up('configuration')
        self.assertFalse(self.health.is_down)


if __name__ == '__main__':
    unittest.main()
