"""Engines whose streams end with their connection, and that crash."""

from __future__ import annotations

import unittest

from tests.quetzalsill_platform import test_crashing_part


class UnframedTest(test_crashing_part.CrashingPartTestCase):
    """The end of such a stream looks the same whether it is complete."""

    async def add(self, new, port=0):
        new.is_framed = False
        await super().add(new, port)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for one in self.engines:
            one.is_framed = False

    async def test_a_stream_that_a_crash_ends_is_not_given_out_as_complete(
        self,
    ):
        """Callers took the events before a crash for the whole answer."""
        await self.play()
        self.check()
        short = [
            one
            for one in (*self.bad, *self.sound)
            if one.response.complete
            and one.response.status == 200
            and len(complete_events(one.response.body)) < self.engines[0].length
        ]
        self.assertEqual(len(short), 0)


def complete_events(body):
    """Returns the complete events of a body."""
    return [part for part in body.split(b'\n\n') if part]


if __name__ == '__main__':
    unittest.main()
