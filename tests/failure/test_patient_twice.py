"""Accepted patient work survives simultaneous and repeated failures."""

from __future__ import annotations

import unittest

from tests.failure import fixture, patient


class PatientTwiceTest(patient.PatientTestCase):
    """Two failures at once, and the same failure twice."""

    @fixture.on_cluster
    async def test_two_failures_at_once(self):
        """A plan is lost if its router is killed while the store is down.

        The store holds the only other record of a request, and the sidecar
        the only record of its run; each fails along with another component.
        """
        for pair in (
            ('router', 'down'),
            ('pause', 'silent'),
            ('sidecar', 'lost'),
            ('engine', 'router'),
            ('router', 'sidecar'),
            ('engine', 'slow'),
        ):
            await self.run_case('-'.join(pair), pair)

    @fixture.on_cluster
    async def test_the_same_failure_twice(self):
        """A plan survives one failure and is lost in the second.

        The second is injected during recovery from the first; for routers, it
        hits the one that took over the work.
        """
        for fault in ('router', 'sidecar', 'engine', 'down', 'lost'):
            await self.run_case(f'twice-{fault}', (fault,), (fault,))


if __name__ == '__main__':
    unittest.main()
