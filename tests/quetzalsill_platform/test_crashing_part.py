"""Different requests with one part in their prompts that crashes engines."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import unittest

from quetzalsill_dev.users_platform import caller
from tests.quetzalsill_platform import fixture, test_crashing_request

GATEWAYS = 5
ENGINES = 9
BAD = 'bad0'
SHARED = '5c1e07a2'
# Requests that may still reach engines, from some time after a crash on.
MAX_LATE_SENDS = 3
KNOWN_CRASHES = 5
STABLE_WINDOW_S = 3.0
# Compared with the share of sound ones that begin in calm.
MIN_BEGUN_SHARE = 0.95
SOUND_PER_S = 20.0
RESTART_S = 2.0
CALM_S = 2.0
REFUSAL = (503, b'quarantined\n')


@dataclasses.dataclass(slots=True)
class Sent:
    """A request and its response.

    Attributes:
      at_s: Loop time at which it was sent.
      response: The response, as far as it was received.
    """

    at_s: float
    response: caller.Response

    @property
    def has_begun(self) -> bool:
        """Whether its stream began at the first attempt."""
        return self.response.status == 200


class CrashingPartTestCase(test_crashing_request.CrashingRequestTestCase):
    """Gateways and engines; requests with `BAD` end the engines.

    Attributes:
      gateway_count: Number of gateways.
      bad_per_s: Crashing requests a second.
      duration_s: How long they are sent, in seconds.
    """

    gateway_count = GATEWAYS
    restart_s = RESTART_S
    bad_per_s = 3.0
    duration_s = 10.0

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.rng = random.Random(self.id())
        self.fleet.crash_body = None
        self.fleet.crash_part = BAD
        for _ in range(ENGINES - len(self.engines)):
            await self.add_engine()
        for number in range(len(self.gateways), self.gateway_count):
            self.gateways.append(
                await self.start_gateway(
                    name=f'node-{number}', peers=fixture.ANYWHERE, wait=False
                )
            )
        for gateway in self.gateways:
            await self.wait_until(
                lambda g=gateway: (
                    g.peers.peer_count >= self.gateway_count - 1
                    and len(g.core.upstreams.all()) >= ENGINES
                )
            )
        self.bad: list[Sent] = []
        self.sound: list[Sent] = []
        self.bad_ids: set[str] = set()

    def bad_parts(self, number):
        """Returns the parts of a crashing prompt; the last is its own."""
        return (SHARED, BAD, f'e{number:07x}')

    def pick(self):
        """Returns the gateway that gets the next request."""
        return self.rng.choice(self.gateways)

    async def prompt(self, parts, *, is_bad=False, path='/verdict/1', **kwargs):
        """Sends a request with a body of its own; returns its outcome."""
        number = next(self.numbers)
        request_id = f'{number:016x}'
        if is_bad:
            self.bad_ids.add(request_id)
        loop = asyncio.get_running_loop()
        sent = Sent(loop.time(), caller.Response())
        client = self.caller(self.pick())
        try:
            async with asyncio.timeout(fixture.WAIT_TIMEOUT_S):
                await client.request(
                    path,
                    method='POST',
                    body=b'prompt %d' % number,
                    request_id=request_id,
                    response=sent.response,
                    headers={
                        'X-Quetzalsill-Prompt-Prefix': ','.join(
                            f'{part}:100' for part in parts
                        )
                    },
                    **kwargs,
                )
        except OSError:
            sent.response.complete = False
        client.disconnect()
        return sent

    async def repeat_prompts(self, make_parts, per_s, found, **kwargs):
        """Sends different requests at a steady rate until cancelled."""
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():

                async def send(parts):
                    found.append(await self.prompt(parts, **kwargs))

                group.create_task(send(make_parts(number)))
                next_s += 1.0 / per_s
                await asyncio.sleep(max(0.0, next_s - loop.time()))

    async def play(self):
        """Sends sound requests, and after a while crashing ones beside them."""
        tasks = [
            asyncio.create_task(
                self.repeat_prompts(
                    lambda n: (SHARED, '91bd3f06', f'f{n:07x}'),
                    SOUND_PER_S,
                    self.sound,
                )
            )
        ]
        await asyncio.sleep(CALM_S)
        tasks.append(
            asyncio.create_task(
                self.repeat_prompts(
                    self.bad_parts, self.bad_per_s, self.bad, is_bad=True
                )
            )
        )
        await asyncio.sleep(self.duration_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def late_sends(self):
        """Returns how often crashing requests reached engines too late."""
        times_s = self.fleet.crash_times_s
        if len(times_s) < KNOWN_CRASHES:
            return 0
        since_s = times_s[KNOWN_CRASHES - 1] + STABLE_WINDOW_S
        return sum(
            one.at_s > since_s and one.request_id in self.bad_ids
            for one in self.fleet.arrivals
        )

    def begun_share(self, since_s, until_s):
        """Returns the share of the sound requests of a time that began."""
        sent = [one for one in self.sound if since_s <= one.at_s < until_s]
        self.assertGreaterEqual(len(sent), 20)
        return sum(one.has_begun for one in sent) / len(sent)

    def check(self):
        """Checks how many requests reached engines, and who was served."""
        times_s = self.fleet.crash_times_s
        first_s, last_s = times_s[0], times_s[:KNOWN_CRASHES][-1]
        before = self.begun_share(0.0, first_s)
        after = self.begun_share(last_s + 2 * STABLE_WINDOW_S, float('inf'))
        self.assertLessEqual(
            self.late_sends(), MAX_LATE_SENDS, f'{len(times_s)} engines ended'
        )
        self.assertGreaterEqual(after, MIN_BEGUN_SHARE * before)


class CrashingPartTest(CrashingPartTestCase):
    """The part stands in the middle of the prompts."""

    async def test_a_part_in_the_middle_stops_reaching_engines(self):
        """No two requests are alike, so each began anew with no crash."""
        await self.play()
        self.check()


class FirstPartTest(CrashingPartTestCase):
    """The part stands first, and twelve gateways see the crashes."""

    gateway_count = 12

    def bad_parts(self, number):
        return (BAD, '91bd3f06', f'e{number:07x}')

    async def test_a_first_part_stops_reaching_engines(self):
        """Each gateway saw a few of the crashes, all by other requests."""
        await self.play()
        self.check()


class EnginesThatEndTest(CrashingPartTestCase):
    """Engines end by themselves beside it, one every three seconds."""

    bad_per_s = 1.0
    duration_s = 14.0

    async def end_engines(self):
        """Ends an engine every three seconds, whatever it runs."""
        while True:
            await asyncio.sleep(3.0)
            found = self.rng.choice(
                [one for one in self.engines if one.server.is_listening]
            )
            await found.crash()
            asyncio.create_task(self.replace(found.id))

    async def test_a_part_is_found_beside_engines_that_end_by_themselves(self):
        """Crashes of another cause met sound requests only."""
        task = asyncio.create_task(self.end_engines())
        self.addCleanup(task.cancel)
        await self.play()
        self.check()


if __name__ == '__main__':
    unittest.main()
