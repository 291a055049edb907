"""Sidecars bring engines to their desired state and keep them there.

An order is a command of a sidecar to its engine to load or unload a model or
an adapter.
"""

from __future__ import annotations

import unittest

from quetzalsill.config import model
from quetzalsill_dev import board, caller
from tests.failure import fixture, harness

UNFENCED, FENCED = 'model-ikeja-hall-1', 'model-apapa-hall-2'
OTHER_MODEL = 'scene-writer'
MIN_CONFIRMATIONS = 6


def layout():
    """Two engines, of which only the second checks fences, and a router."""
    found = board.board_layout(engines=2, services=0, routers=1)
    found.engines[1].checks_fence = True
    return found


class OrdersTest(fixture.SharedClusterTestCase):
    """One router, and two engines with their sidecars."""

    LAYOUT = layout()
    CHANGES = {
        'sidecar': {
            'placement': {
                'interval_s': 0.1,
                'confirm_s': 0.2,
                'lease_s': 2.0,
                'read_back_s': 1.0,
            }
        }
    }

    @classmethod
    def configuration(cls):
        cfg = board.configuration()
        cfg.models[OTHER_MODEL] = model.Model(adapters=['x1', 'x2', 'x3'])
        return cfg

    async def restore(self):
        await self.cluster.switch(self.cluster.store, down=False)
        await super().restore()
        for name in (UNFENCED, FENCED):
            await self.cluster.switch(self.cluster.upstreams[name], order_s=0)
            self.desired(name).models = [board.MODEL]
            self.desired(name).adapters = []
        await self.cluster.publish()
        for name in (UNFENCED, FENCED):
            await self.wait_until_loaded(name, [board.MODEL], [])

    def desired(self, name):
        """Desired state of an upstream, for the test to change and publish."""
        return self.cluster.configuration.upstreams[name]

    async def read(self, url, path):
        async with caller.open_client(url) as client:
            return (await client.get(path)).json()

    async def commands(self, name):
        """Commands that an engine has received, with their fences."""
        history = (await self.cluster.audit(name))['orders']
        return [(o['kind'], o['name'], o['fence']) for o in history]

    async def wait_until_loaded(self, name, models, adapters):
        """Waits until an engine has exactly these models and adapters."""

        async def is_loaded():
            load = await self.read(self.cluster.upstreams[name].url, '/load')
            return (load['models'], load['adapters']) == (models, adapters)

        await harness.wait_until(is_loaded)

    async def confirmation_count(self, name):
        """Number of times a sidecar has confirmed what is loaded."""
        path = f'/table/placement/{name}'
        return (await self.read(self.cluster.store.url, path))['version']

    async def wait_for_confirmations(self, *names):
        """Waits until each sidecar has confirmed its engine's state again."""
        for name in names:
            before = await self.confirmation_count(name)

            async def confirmed(name=name, before=before):
                return (
                    await self.confirmation_count(name)
                    >= before + MIN_CONFIRMATIONS
                )

            await harness.wait_until(confirmed)

    @fixture.on_cluster
    async def test_the_last_engine_of_a_model_stays(self):
        """An edit that moves every engine to another model leaves none.

        Both engines load the new model; one unloads the old model, and the
        other, now the last with it, must not.
        """
        for name in (UNFENCED, FENCED):
            self.desired(name).models = [OTHER_MODEL]
        await self.cluster.publish()

        async def one_is_left():
            loads = [
                await self.read(self.cluster.upstreams[name].url, '/load')
                for name in (UNFENCED, FENCED)
            ]
            has_model = [board.MODEL in load['models'] for load in loads]
            self.assertTrue(any(has_model))
            both = all(OTHER_MODEL in load['models'] for load in loads)
            return both and not all(has_model)

        await harness.wait_until(one_is_left)
        await self.wait_for_confirmations(UNFENCED, FENCED)
        unloads = [
            command
            for name in (UNFENCED, FENCED)
            for command in await self.commands(name)
            if command[:2] == ('unload_model', board.MODEL)
        ]
        self.assertEqual(len(unloads), 1)

    @fixture.on_cluster
    async def test_no_orders_while_the_store_is_down(self):
        """An outage of the store stops placement for good, or unloads engines.

        The newest revision adds adapters, and commands need lease and slot.
        Requests are served meanwhile, and the command follows the outage.
        """
        router = next(iter(self.cluster.routers.values()))
        await self.cluster.switch(self.cluster.upstreams[UNFENCED], order_s=1.0)
        self.desired(UNFENCED).adapters = ['x1', 'x2']
        await self.cluster.publish()
        before = len(await self.commands(UNFENCED))
        await self.wait_for_commands(UNFENCED, before + 1)
        await self.cluster.switch(self.cluster.store, down=True)
        sidecar = self.cluster.sidecars[UNFENCED]
        await self.wait_for_log(sidecar, 'failing=platform_unavailable')
        body = {'model': board.MODEL, 'prompt': 'Slots? [[tokens=5]]'}
        token = board.TOKENS['retailers']
        async with caller.open_client(router.url, token) as client:
            answer = await caller.generate(client, body)
        self.assertTrue(answer.is_complete, answer.error)
        self.assertEqual(len(await self.commands(UNFENCED)), before + 1)
        await self.cluster.switch(self.cluster.store, down=False)
        await self.wait_until_loaded(UNFENCED, [board.MODEL], ['x1', 'x2'])

    async def wait_for_commands(self, name, count):
        """Waits until an engine has received `count` commands."""

        async def has_commands():
            return len(await self.commands(name)) >= count

        await harness.wait_until(has_commands)

    async def wait_for_log(self, process, text):
        """Waits until a process has logged a text."""

        async def logged():
            return text in process.log_text()

        await harness.wait_until(logged)

    @fixture.on_cluster
    async def test_paused_sidecar_resumes_beside_its_successor(self):
        """A resumed sidecar applies an outdated plan to its engine.

        A sidecar is paused past its lease with commands left to send. Its
        successor, at another address, applies a newer revision and releases
        the lease. The first resumes with its old configuration, a free lease
        and no link.
        """
        for name in (UNFENCED, FENCED):
            with self.subTest(name):
                await self.replace_while_paused(name)

    async def replace_while_paused(self, name):
        engine, first = (
            self.cluster.upstreams[name],
            self.cluster.sidecars[name],
        )
        await self.cluster.switch(engine, order_s=0.5)
        before = len(await self.commands(name))
        self.desired(name).adapters = ['x1', 'x3']
        await self.cluster.publish()
        await self.wait_for_commands(name, before + 1)
        first.stop()
        await self.cluster.switch(engine, order_s=0)
        del self.cluster.sidecars[name]
        second = await self.cluster.start_sidecar(name)
        self.desired(name).sidecar = second.address
        self.desired(name).adapters = ['x2']
        revision = await self.cluster.publish()
        await self.wait_until_loaded(name, [board.MODEL], ['x2'])
        await self.wait_for_confirmations(name)
        commands_before = await self.commands(name)
        first.cont()

        async def withheld_or_sent():
            withheld = 'failing=order_withheld' in first.log_text()
            return withheld or await self.commands(name) != commands_before

        await harness.wait_until(withheld_or_sent)
        await self.wait_for_confirmations(name)
        self.assertEqual(await self.commands(name), commands_before)
        self.assertEqual(commands_before[-1][2], revision)
        await self.wait_until_loaded(name, [board.MODEL], ['x2'])
        first.kill()


if __name__ == '__main__':
    unittest.main()
