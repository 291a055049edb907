"""Patient work is kept when failures come together or again."""

from __future__ import annotations

import unittest

from tests.failure import fixture, patient


class PatientTwiceTest(patient.PatientTestCase):
    """Two failures at once, and one after the other."""

    @fixture.on_cluster
    async def test_two_failures_at_once(self):
        """A plan is lost since its router died while the store was away.

        The store holds the only other trace of a request, and the sidecar
        the only word on its run; each fails along with another part.
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
        """A plan survives a failure, and the same once more loses it.

        The second strikes while the first is being recovered from; for
        routers it strikes the one that took the work over.
        """
        for fault in ('router', 'sidecar', 'engine', 'down', 'lost'):
            await self.run_case(f'twice-{fault}', (fault,), (fault,))


if __name__ == '__main__':
    unittest.main()
