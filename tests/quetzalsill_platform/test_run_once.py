"""At-most-once generations at engines that fail when they start a run."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import test_backups, test_streams


class RunOnceTest(test_streams.StreamTestCase):
    """Engines with backups that fail runs, or refuse to stop them."""

    engine = {'backups': True, 'linkMbps': 2700.0}

    async def test_a_run_that_made_nothing_is_not_sent_to_its_backup(self):
        """Engines reset a run when they start it, before its first event.

        A backup that was only requested must not count as one that exists. If
        it did, the gateway would send the run on from backup to backup, none of
        which holds its KV cache: a run was once started at nine engines and
        completed at none. The caller gets 502.
        """
        for replica in self.engines:
            replica.resets_at_start, replica.ignores_copies = 9, True
        response = await self.stream(
            request_id='o1', headers=test_backups.LONG_HEADERS
        )
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.fleet.started['o1']), 1)

    async def interrupt_stream(self, request_id, busy_moves):
        """Breaks a stream whose engine keeps running; returns the response.

        Args:
          request_id: Id of the request.
          busy_moves: Number of stop commands that the engine refuses.
        """
        for replica in self.engines:
            replica.length, replica.abort_after = 80, 20
            replica.keeps_running_s, replica.busy_moves = 5.0, busy_moves
        pending = asyncio.create_task(
            self.stream(
                request_id=request_id, headers=test_backups.LONG_HEADERS
            )
        )
        source = await self.wait_until_working()
        for replica in self.engines:
            if replica is not source:
                replica.abort_after = None
        return await pending

    async def test_a_run_that_was_not_stopped_does_not_go_on(self):
        """An engine keeps running after its connection broke, and sends 409.

        It has the run, but does not stop it, as another command for it is in
        progress. If the gateway resumed at the backup, two engines would work
        on the run. The caller's stream ends, visibly incomplete.
        """
        response = await self.interrupt_stream('o2', busy_moves=1_000_000)
        self.assertFalse(response.complete)
        self.assertEqual(self.fleet.concurrent, set())

    async def test_a_refused_stop_command_is_repeated(self):
        """The command in progress ends, and a later stop command succeeds."""
        response = await self.interrupt_stream('o3', busy_moves=2)
        self.assert_complete(response, 'o3', 80)
        self.assertEqual(self.fleet.concurrent, set())


if __name__ == '__main__':
    unittest.main()
