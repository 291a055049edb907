"""An accepted edit becomes active everywhere in seconds and never reverts.

The profile limits the tokens of an answer, so that its length shows under
which revision a request was served.
"""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev import board, caller, operator_cli, relay
from tests.failure import fixture, harness

LONG = 400
HEAD = '"head"'
CONFLICT = 4
VALUES = (6, 7)
SILENCE_S = 3.0
LINK_DELAY_S = 0.3
STORE_DELAY_S = 0.1


def large_layout():
    """Two routers and two engines with more memory than the tests use."""
    layout = board.board_layout(engines=2, services=0, routers=2)
    for spec in layout.engines:
        spec.capacity_tokens = 1_000_000
    return layout


class ConfigurationTest(fixture.SharedClusterTestCase):
    """Two routers, and two engines with their sidecars."""

    relays = {}
    LAYOUT = large_layout()
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
        """Delays the messages between routers and sidecars."""
        for link_relay in cls.relays.values():
            link_relay.delay(seconds)

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
        await self.wait_for_one_revision()

    async def edit(self, tokens, *options, urls=None):
        """Edits the token limit; it is active when the command ends."""
        change = f'--set=max_output_tokens={tokens}'
        args = ('profile', 'edit', 'prompt', change, *options)
        ended = await operator_cli.run(urls or self.urls, *args)
        self.assertEqual(ended.exit_status, 0, ended.stderr)
        return tokens

    async def read_nodes(self, router):
        """Returns a router's revision and its view of all nodes."""
        token = board.OPERATOR_TOKEN
        async with caller.open_client(router.url, token) as client:
            response = await client.get('/admin/v1/nodes')
        reply = response.raise_for_status().json()
        return reply['revision'], {
            node['name']: node for node in reply['nodes']
        }

    async def wait_for_one_revision(self, *routers, after=0):
        """Waits until the routers and all sidecars have the same revision."""

        async def same_revision():
            revisions = set()
            for router in routers or (self.first, self.second):
                own, nodes = await self.read_nodes(router)
                shown = (nodes[name] for name in self.cluster.sidecars)
                revisions |= {own, *(node['revision'] for node in shown)}
            newest = max(revisions)
            return len(revisions) == 1 and newest > after and newest

        return await harness.wait_until(same_revision)

    async def wait_until_unlinked(self, name, *routers):
        """Waits until the routers have dropped their links to a sidecar."""

        async def unlinked():
            replies = [await self.read_nodes(router) for router in routers]
            return all(n[name]['state'] == 'unlinked' for _, n in replies)

        await harness.wait_until(unlinked)

    async def send_request(self, router, tokens=LONG, answer=None):
        """Requests an answer that is longer than the limit."""
        prompt = f'Slots? [[tokens={tokens}]]'
        body = {'model': board.MODEL, 'prompt': prompt}
        token = board.TOKENS['retailers']
        async with caller.open_client(router.url, token) as client:
            return await caller.generate(client, body, answer=answer)

    async def send_until_served(self, router):
        """Retries while refused; each refusal must say `not_run`."""

        async def served():
            answer = await self.send_request(router)
            if answer.status == 200:
                return answer
            self.assertIs(answer.error['error']['not_run'], True)
            return None

        return await harness.wait_until(served)

    async def send_concurrently(self, router, count=20):
        """Sends concurrent requests; returns the lengths of the answers."""
        answers = await asyncio.gather(
            *(self.send_request(router) for _ in range(count))
        )
        for answer in answers:
            if answer.status != 200:
                self.assertIs(answer.error['error']['not_run'], True)
        return {len(a.texts) for a in answers if a.status == 200}

    @fixture.on_cluster
    async def test_racing_operators(self):
        """A concurrent edit overwrites an accepted one.

        Three operators edit one profile through different routers and retry
        on a conflict. The store is slow, so that one edit is written between
        the read and the write of another.
        """
        await self.cluster.switch(self.cluster.store, slow_s=STORE_DELAY_S)
        keys = ('priority', 'retries', 'queue_wait_s')
        before = await self.wait_for_one_revision()

        async def operate_on(number, key):
            urls = self.urls[number % 2 :] + self.urls[: number % 2]
            for value in VALUES:
                args = ('profile', 'edit', 'prompt', f'--set={key}={value}')
                if value != VALUES[-1]:
                    args += ('--no-wait',)
                ended = None
                while ended is None or ended.exit_status == CONFLICT:
                    ended = await operator_cli.run(urls, *args)
                self.assertEqual(ended.exit_status, 0, ended.stderr)

        await asyncio.gather(*(operate_on(n, k) for n, k in enumerate(keys)))
        profile = await operator_cli.run_json(
            self.urls, 'profile', 'show', 'prompt'
        )
        self.assertEqual({profile['value'][k] for k in keys}, {VALUES[-1]})
        reply = await operator_cli.run_json(
            self.urls, 'profile', 'history', 'prompt', '--limit=9'
        )
        made = [
            (change['path'].rpartition('.')[2], change['after'])
            for entry in reversed(reply['entries'])
            if entry['revision'] > before
            for change in entry['changes']
        ]
        for key in keys:
            values = [value for changed, value in made if changed == key]
            self.assertEqual(values, list(VALUES))
        self.assertEqual(len(made), len(keys) * len(VALUES))

    @fixture.on_cluster
    async def test_lost_answer_to_an_edit(self):
        """An edit is reported as failed but is active, or is applied twice.

        The store commits an edit and its response is lost, once or several
        times in a row.
        """
        for tokens, losses in ((31, 1), (32, 3)):
            before = await self.wait_for_one_revision()
            await self.cluster.switch(
                self.cluster.store, lose_answers=losses, lose_only=HEAD
            )
            await self.edit(tokens)
            await self.cluster.switch(self.cluster.store, lose_answers=0)
            self.assertEqual(await self.wait_for_one_revision(), before + 1)
            self.assertEqual(await self.send_concurrently(self.first), {tokens})

    @fixture.on_cluster
    async def test_restarts_while_the_store_is_down(self):
        """An accepted edit reverts during an outage of the store.

        The store fails right after the edit was accepted. A sidecar and both
        routers are killed and restarted in turn: each has to fetch the newest
        revision from its peers before it serves.
        """
        before = await self.wait_for_one_revision()
        await self.edit(41, '--no-wait', urls=[self.first.url])
        await self.cluster.switch(self.cluster.store, down=True)
        revision = await self.wait_for_one_revision(self.first, after=before)
        name, sidecar = next(iter(self.cluster.sidecars.items()))
        sidecar.kill()
        await sidecar.wait()
        await self.cluster.start_sidecar(name)
        for key in list(self.cluster.routers):
            self.cluster.routers[key].kill()
            await self.cluster.routers[key].wait()
            router = await self.cluster.start_router(key)
            await self.cluster.wait_ready()
            self.assertEqual((await self.read_nodes(router))[0], revision)
            answer = await self.send_until_served(router)
            self.assertEqual(len(answer.texts), 41)

    @fixture.on_cluster
    async def test_router_resumes_with_an_old_revision(self):
        """A request is served under an outdated revision.

        A router is paused and misses an edit, with or without its links
        timing out. When it resumes it first reads the requests in its socket
        backlog: the store is down, and the sidecars' messages about the newer
        revision are delayed.
        """
        for tokens, pause_s in ((51, 0), (52, SILENCE_S + 1)):
            before = await self.wait_for_one_revision()
            await self.send_until_served(self.first)
            self.first.stop()
            waiting = asyncio.create_task(self.send_concurrently(self.first))
            profiles = self.cluster.configuration.profiles
            profiles['prompt'].max_output_tokens = tokens
            await self.cluster.publish()
            await self.wait_for_one_revision(self.second, after=before)
            await asyncio.sleep(pause_s)
            await self.cluster.switch(self.cluster.store, down=True)
            self.delay_sidecars(LINK_DELAY_S)
            self.first.cont()
            self.assertLessEqual(await waiting, {tokens})
            answer = await self.send_until_served(self.first)
            self.assertEqual(len(answer.texts), tokens)
            self.assertEqual((await self.read_nodes(self.first))[0], before + 1)
            self.delay_sidecars(0)
            await self.cluster.switch(self.cluster.store, down=False)

    @fixture.on_cluster
    async def test_sidecar_resumes_with_an_old_revision(self):
        """A drained upstream gets new work, or a request an outdated limit.

        A sidecar is paused and misses two edits, its links time out, and it
        resumes while the store is down.
        """
        name, sidecar = next(iter(self.cluster.sidecars.items()))
        other = next(n for n in self.cluster.sidecars if n != name)
        sidecar.stop()
        await self.wait_until_unlinked(name, self.first, self.second)
        await self.edit(61)
        drain = await operator_cli.run(self.urls, 'upstream', 'drain', name)
        self.assertEqual(drain.exit_status, 0, drain.stderr)
        await self.cluster.switch(self.cluster.store, down=True)
        runs = len((await self.cluster.audit(name))['runs'])
        sidecar.cont()
        for router in (self.first, self.second):
            self.assertEqual(await self.send_concurrently(router), {61})
        await self.wait_for_one_revision()
        self.assertEqual(await self.send_concurrently(self.first), {61})
        self.assertEqual(len((await self.cluster.audit(name))['runs']), runs)
        self.assertTrue((await self.cluster.audit(other))['runs'])
        await self.cluster.switch(self.cluster.store, down=False)
        undrain = await operator_cli.run(self.urls, 'upstream', 'undrain', name)
        self.assertEqual(undrain.exit_status, 0, undrain.stderr)


if __name__ == '__main__':
    unittest.main()
