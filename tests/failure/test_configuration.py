"""An accepted edit is in force everywhere within seconds and never reverts.

The profile bounds an answer's tokens, so that its length tells under which
revision a request was served.
"""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev import board, caller, operator_cli, relay
from tests.failure import asking, fixture

LONG = 400
HEAD = '"head"'
CONFLICT = 4
ROUNDS = (6, 7)
SILENCE_S = 3.0
LATE_S = 0.3
SLOW_S = 0.1


def roomy_layout():
    """Two routers and two engines, whose memory bounds nothing here."""
    layout = board.board_layout(engines=2, services=0, routers=2)
    for spec in layout.engines:
        spec.capacity_tokens = 1_000_000
    return layout


class ConfigurationTest(fixture.SharedClusterTestCase):
    """Two routers, and two engines with their sidecars."""

    relays = {}
    LAYOUT = roomy_layout()
    CHANGES = {
        'router': {
            'follow_interval_s': 0.2,
            'links': {'idle_s': 0.5, 'silence_s': SILENCE_S},
        },
        'sidecar': {'link': {'idle_s': 0.5, 'silence_s': SILENCE_S}},
    }

    @classmethod
    async def via(cls, hop, address):
        if not hop.startswith('sidecar:'):
            return address
        host, _, port = address.rpartition(':')
        if hop not in cls.relays:
            cls.relays[hop] = relay.Relay(host, int(port))
            await cls.relays[hop].start()
        return f'{host}:{cls.relays[hop].port}'

    @classmethod
    def delay_sidecars(cls, seconds):
        """Delays what routers and sidecars tell each other."""
        for one in cls.relays.values():
            one.delay(seconds)

    async def restore(self):
        self.delay_sidecars(0)
        await self.cluster.switch(
            self.cluster.store,
            down=False,
            slow_s=0,
            lose_answers=0,
            lose_only='',
        )
        seeds = [process.address for process in self.cluster.sidecars.values()]
        self.cluster.overrides['router']['seeds'] = seeds
        await super().restore()
        self.first, self.second = self.cluster.routers.values()
        self.urls = [self.first.url, self.second.url]
        await self.until_everywhere()

    async def edit(self, tokens, *options, urls=None):
        """Bounds answers by an edit, which must be in force when it ends."""
        change = f'--set=max_output_tokens={tokens}'
        args = ('profile', 'edit', 'prompt', change, *options)
        ended = await operator_cli.run(urls or self.urls, *args)
        self.assertEqual(ended.exit_status, 0, ended.stderr)
        return tokens

    async def look(self, router):
        """What a router tells of itself and of all nodes."""
        token = board.OPERATOR_TOKEN
        async with caller.open_client(router.url, token) as client:
            response = await client.get('/admin/v1/nodes')
        told = response.raise_for_status().json()
        return told['revision'], {node['name']: node for node in told['nodes']}

    async def until_everywhere(self, *routers, after=0):
        """Waits until these routers and all sidecars are at one revision."""

        async def as_one():
            revisions = set()
            for router in routers or (self.first, self.second):
                own, nodes = await self.look(router)
                shown = (nodes[name] for name in self.cluster.sidecars)
                revisions |= {own, *(node['revision'] for node in shown)}
            newest = max(revisions)
            return len(revisions) == 1 and newest > after and newest

        return await asking.until(as_one)

    async def until_unlinked(self, name, *routers):
        """Waits until the routers have given up their links to a sidecar."""

        async def unlinked():
            looks = [await self.look(router) for router in routers]
            return all(n[name]['state'] == 'unlinked' for _, n in looks)

        await asking.until(unlinked)

    async def ask(self, router, tokens=LONG, answer=None):
        """Asks for an answer that is longer than its bound."""
        prompt = f'Slots? [[tokens={tokens}]]'
        body = {'model': board.MODEL, 'prompt': prompt}
        token = board.TOKENS['retailers']
        async with caller.open_client(router.url, token) as client:
            return await caller.generate(client, body, answer=answer)

    async def ask_until_served(self, router):
        """Asks again while it is refused, which must be as not run."""

        async def served():
            answer = await self.ask(router)
            if answer.status == 200:
                return answer
            self.assertIs(answer.error['error']['not_run'], True)
            return None

        return await asking.until(served)

    async def ask_at_once(self, router, count=20):
        """Asks many times at once; gives the lengths of the answers."""
        answers = await asyncio.gather(
            *(self.ask(router) for _ in range(count))
        )
        for answer in answers:
            if answer.status != 200:
                self.assertIs(answer.error['error']['not_run'], True)
        return {len(a.texts) for a in answers if a.status == 200}

    @fixture.on_cluster
    async def test_racing_operators(self):
        """An operator's accepted edit is gone after a colleague's.

        Three operators change the same profile through different routers,
        each from what they just read; who was too late makes it again. The
        store is slow, so that edits overlap between its reads and writes.
        """
        await self.cluster.switch(self.cluster.store, slow_s=SLOW_S)
        keys = ('priority', 'retries', 'queue_wait_s')
        before = await self.until_everywhere()

        async def operate_on(number, key):
            urls = self.urls[number % 2 :] + self.urls[: number % 2]
            for value in ROUNDS:
                args = ('profile', 'edit', 'prompt', f'--set={key}={value}')
                if value != ROUNDS[-1]:
                    args += ('--no-wait',)
                ended = None
                while ended is None or ended.exit_status == CONFLICT:
                    ended = await operator_cli.run(urls, *args)
                self.assertEqual(ended.exit_status, 0, ended.stderr)

        await asyncio.gather(*(operate_on(n, k) for n, k in enumerate(keys)))
        profile = await operator_cli.run_json(
            self.urls, 'profile', 'show', 'prompt'
        )
        self.assertEqual({profile['value'][k] for k in keys}, {ROUNDS[-1]})
        told = await operator_cli.run_json(
            self.urls, 'profile', 'history', 'prompt', '--limit=9'
        )
        made = [
            (change['path'].rpartition('.')[2], change['after'])
            for entry in reversed(told['entries'])
            if entry['revision'] > before
            for change in entry['changes']
        ]
        for key in keys:
            values = [value for changed, value in made if changed == key]
            self.assertEqual(values, list(ROUNDS))
        self.assertEqual(len(made), len(keys) * len(ROUNDS))

    @fixture.on_cluster
    async def test_lost_answer_to_an_edit(self):
        """An operator is told of a failure, and the edit is in force, or twice.

        The store makes an edit the newest one and its answer is lost, once or
        again and again.
        """
        for tokens, losses in ((31, 1), (32, 3)):
            before = await self.until_everywhere()
            await self.cluster.switch(
                self.cluster.store, lose_answers=losses, lose_only=HEAD
            )
            await self.edit(tokens)
            await self.cluster.switch(self.cluster.store, lose_answers=0)
            self.assertEqual(await self.until_everywhere(), before + 1)
            self.assertEqual(await self.ask_at_once(self.first), {tokens})

    @fixture.on_cluster
    async def test_restarts_while_the_store_is_down(self):
        """An accepted edit reverts in an outage of the store.

        The store fails right after it was accepted. A sidecar and both
        routers are killed and started anew one after the other: each has to
        take the newest revision from its peers before it serves.
        """
        before = await self.until_everywhere()
        await self.edit(41, '--no-wait', urls=[self.first.url])
        await self.cluster.switch(self.cluster.store, down=True)
        revision = await self.until_everywhere(self.first, after=before)
        name, sidecar = next(iter(self.cluster.sidecars.items()))
        sidecar.kill()
        await sidecar.wait()
        await self.cluster.start_sidecar(name)
        for key in list(self.cluster.routers):
            self.cluster.routers[key].kill()
            await self.cluster.routers[key].wait()
            router = await self.cluster.start_router(key)
            await self.cluster.wait_ready()
            self.assertEqual((await self.look(router))[0], revision)
            answer = await self.ask_until_served(router)
            self.assertEqual(len(answer.texts), 41)

    @fixture.on_cluster
    async def test_router_wakes_with_an_old_revision(self):
        """A request is served under a revision that was edited long ago.

        A router is paused, misses an edit, and its links time out, or don't.
        Requests that waited at its port are read first when it wakes: the
        store is down, and the sidecars' words of the newer revision are late.
        """
        for tokens, pause_s in ((51, 0), (52, SILENCE_S + 1)):
            before = await self.until_everywhere()
            await self.ask_until_served(self.first)
            self.first.stop()
            waiting = asyncio.create_task(self.ask_at_once(self.first))
            profiles = self.cluster.configuration.profiles
            profiles['prompt'].max_output_tokens = tokens
            await self.cluster.publish()
            await self.until_everywhere(self.second, after=before)
            await asyncio.sleep(pause_s)
            await self.cluster.switch(self.cluster.store, down=True)
            self.delay_sidecars(LATE_S)
            self.first.cont()
            self.assertLessEqual(await waiting, {tokens})
            answer = await self.ask_until_served(self.first)
            self.assertEqual(len(answer.texts), tokens)
            self.assertEqual((await self.look(self.first))[0], before + 1)
            self.delay_sidecars(0)
            await self.cluster.switch(self.cluster.store, down=False)

    @fixture.on_cluster
    async def test_sidecar_wakes_with_an_old_revision(self):
        """A drained upstream gets new work, or a request old bounds.

        A sidecar is paused, misses two edits, its links time out, and it
        wakes while the store is down.
        """
        name, sidecar = next(iter(self.cluster.sidecars.items()))
        other = next(n for n in self.cluster.sidecars if n != name)
        sidecar.stop()
        await self.until_unlinked(name, self.first, self.second)
        await self.edit(61)
        drain = await operator_cli.run(self.urls, 'upstream', 'drain', name)
        self.assertEqual(drain.exit_status, 0, drain.stderr)
        await self.cluster.switch(self.cluster.store, down=True)
        runs = len((await self.cluster.audit(name))['runs'])
        sidecar.cont()
        for router in (self.first, self.second):
            self.assertEqual(await self.ask_at_once(router), {61})
        await self.until_everywhere()
        self.assertEqual(await self.ask_at_once(self.first), {61})
        self.assertEqual(len((await self.cluster.audit(name))['runs']), runs)
        self.assertTrue((await self.cluster.audit(other))['runs'])
        await self.cluster.switch(self.cluster.store, down=False)
        undrain = await operator_cli.run(self.urls, 'upstream', 'undrain', name)
        self.assertEqual(undrain.exit_status, 0, undrain.stderr)


if __name__ == '__main__':
    unittest.main()
