"""Generations that may run once only, at engines that fail as they begin."""

from __future__ import annotations

import unittest

from tests.quetzalsill_platform import test_backups, test_streams


class RunOnceTest(test_streams.StreamFixture):
    """Engines with backups that end what they have just begun."""

    engine = {'backups': True, 'linkMbps': 2700.0}

    async def test_a_run_that_made_nothing_is_not_sent_to_its_backup(self):
        """Engines reset a plan as they begin it; it began at nine of them.

        The first ends the run before its first event. The gateway sent it on
        to the backup that it had asked for, and from there to the next. None
        was ever sent memory of it: what had been asked for was taken for what
        exists. Each of these sends named a backup and followed a part without
        an event; none went on to an end. The caller gets 502.
        """
        for writer in self.engines:
            writer.reset_as_begun, writer.ignores_copies = 9, True
        answer = await self.stream(request_id='o1', headers=test_backups.LONG)
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.fleet.started['o1']), 1)


if __name__ == '__main__':
    unittest.main()
