"""Accepted patient work gets a complete answer, whatever fails."""

from __future__ import annotations

import asyncio
import unittest

from tests.failure import fixture, harness, patient

UNAVAILABLE_MESSAGE = 'the platform does not answer'


class PatientTest(patient.PatientTestCase):
    """Single failures, and new work during a failure."""

    @fixture.on_cluster
    async def test_one_failure(self):
        """An accepted plan is lost.

        Plans and briefs are accepted and running. A router, sidecar or engine
        is killed, a router is paused, or the store is down, unresponsive,
        slow or loses responses for longer than any timeout of the cluster.
        """
        for fault in self.faults():
            await self.run_case(fault, (fault,))

    @fixture.on_cluster
    async def test_new_work_while_the_store_is_away(self):
        """New work waits for a failed store, and so does interactive work.

        The store fails in each way. New patient work is refused as not run
        with a Retry-After, without waiting for the acceptance timeout;
        requests of the prompt profile are answered throughout.
        """
        for fault in patient.STORE_FAULTS:
            await self.restore()
            await self.set_store(**{fault: True})
            # The first request may have to detect the failure.
            await harness.submit_long_brief(
                self.first, fault, patient.TOKENS, 'patient'
            )
            names = [
                f'{fault}-{number}'
                for number in range(patient.REQUESTS_PER_KIND)
            ]
            refused = await asyncio.gather(
                *(
                    harness.submit_long_brief(
                        self.first, name, patient.TOKENS, 'patient'
                    )
                    for name in names
                )
            )
            prompt = await harness.send_brief(
                self.first, 'test', profile='prompt'
            )
            await self.set_store()
            runs = await self.runs()
            with self.subTest(fault):
                self.assertTrue(prompt.succeeded, prompt)
                for name, result in zip(names, refused, strict=True):
                    self.assertEqual(result.code, 'store_unavailable', result)
                    self.assertIs(result.not_run, True)
                    # A refusal after the timeout says "is slow" instead.
                    self.assertIn(
                        UNAVAILABLE_MESSAGE, result.body['error']['message']
                    )
                    self.assertTrue(result.retry_after)
                    self.assertFalse(runs[harness.digest(name, patient.TOKENS)])


if __name__ == '__main__':
    unittest.main()
