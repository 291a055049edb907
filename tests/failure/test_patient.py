"""Patient work that was accepted is answered whole, whatever fails."""

from __future__ import annotations

import asyncio
import unittest

from tests.failure import fixture, harness, patient

UNAVAILABLE_MESSAGE = 'the platform does not answer'


class PatientTest(patient.PatientTestCase):
    """One failure at a time, and work that comes meanwhile."""

    @fixture.on_cluster
    async def test_one_failure(self):
        """A plan is lost, and trucks stand idle at the gate.

        Plans and briefs are accepted and run. A router, sidecar or engine
        dies, a router sleeps, or the store is down, silent, slow or loses
        answers for longer than any bound of ours.
        """
        for fault in self.faults():
            await self.run_case(fault, (fault,))

    @fixture.on_cluster
    async def test_new_work_while_the_store_is_away(self):
        """A clerk waits on a plan that nobody took; handsets wait as well.

        The store fails in each way. New patient work is refused as not run,
        with a time to come back and not by the bound on an acceptance; slot
        queries are answered all the while.
        """
        for fault in patient.STORE_FAULTS:
            await self.restore()
            await self.set_store(**{fault: True})
            # The first may have to find out; from then on it is known.
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
                    # Not what ends a wait at its bound: "is slow".
                    self.assertIn(
                        UNAVAILABLE_MESSAGE, result.body['error']['message']
                    )
                    self.assertTrue(result.retry_after)
                    self.assertFalse(runs[harness.digest(name, patient.TOKENS)])


if __name__ == '__main__':
    unittest.main()
