"""Drills, partitions, restarts and edits in random order, by seed.

In the end all gateways agree with what operators and servers have written and
still receive changes, and no gateway has gone back to an older configuration.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from quetzalsill_dev.simulation import clock, watchers
from quetzalsill_dev.simulation.store import StoreMode
from quetzalsill_gateway import event

ZONE = 'other'
SEEDS = range(40)
# Servers that are never removed.
LEAST_SERVERS = 4
# A drain order of an earlier epoch ends 10 s after the return of the store, and
# a partitioned gateway reaches it again within 3.5 s; half as much again.
SETTLED_S = 20.0
KNOWN_S = 3.0


class Scenario:
    """One fleet and the events it goes through."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        gateways = self.rng.choice((3, 8, 24))
        self.fleet = watchers.Fleet(gateways, 12, seed)
        self.store = self.fleet.store
        self.copies = []
        self.drills = []
        self.number = 1
        self.servers = 12
        self.faults = []

    async def simulate(self):
        """Returns the faults found in the end or at any time."""
        await self.fleet.start()
        self.fleet.network.loss = self.rng.choice((0.0, 0.0, 0.1, 0.3))
        self.copies.append(self.store.snapshot())
        watch = asyncio.create_task(self.watch())
        for _ in range(self.rng.randint(5, 14)):
            self.rng.choice(STEPS)(self)
            await asyncio.sleep(self.rng.choice((0.0, 0.05, 0.5, 1.5)))
        await asyncio.gather(*self.drills)
        self.recover()
        await asyncio.sleep(SETTLED_S)
        self.compare()
        self.configure()
        self.add()
        self.fleet.drain_zone(ZONE, is_on=True)
        await asyncio.sleep(KNOWN_S)
        self.compare()
        watch.cancel()
        self.fleet.stop()
        return self.faults

    async def watch(self):
        """Records configurations that go back, and tasks that have ended."""
        seen = {}
        while True:
            for one in self.fleet.all:
                if one.config_version < seen.get(one, 0):
                    self.faults.append((one.node, 'configuration reverted'))
                if any(task.done() for task in one.tasks):
                    self.faults.append((one.node, 'task ended'))
                seen[one] = one.config_version
            await asyncio.sleep(0.02)

    def compare(self):
        """Records gateways whose state differs from what was written."""
        alive = {
            name
            for name, found in self.fleet.entries.items()
            if found is not None and not found.leaving
        }
        is_on = self.fleet.drain_orders.get(ZONE, False)
        for one in self.fleet.all:
            known = {
                'servers': (one.ids(), alive),
                'number': (one.config_version, self.number),
                'order': (one.upstreams.zones.is_drained(ZONE), is_on),
                'epoch': (one.epochs.newest, self.store.epoch),
            }
            self.faults += [
                (one.node, name, found, wanted)
                for name, (found, wanted) in known.items()
                if found != wanted
            ]

    def some(self):
        """Returns the names of about a third of the gateways."""
        names = self.fleet.gateways
        return {name for name in names if self.rng.random() < 1 / 3}

    def configure(self):
        self.number += 1
        self.fleet.configure(self.number)

    def add(self):
        self.fleet.add_server(f'server-{self.servers}')
        self.servers += 1

    def server(self):
        alive = [
            name
            for name, found in self.fleet.entries.items()
            if found is not None and not found.leaving
        ]
        return self.rng.choice(alive) if len(alive) > LEAST_SERVERS else None

    def drop(self):
        if name := self.server():
            self.fleet.remove_server(name)

    def leave(self):
        if name := self.server():
            self.fleet.drain_server(name)

    def order(self):
        self.fleet.drain_zone(ZONE, is_on=self.rng.random() < 0.5)

    def copy(self):
        self.copies.append(self.store.snapshot())

    def drill(self):
        work = self.fleet.drill(
            self.copies[-1],
            away_s=self.rng.choice((0.0, 0.1, 0.5, 2.0)),
            rewrite_s=self.rng.uniform(0.2, 2.0),
        )
        self.drills.append(asyncio.create_task(work))

    def cut(self):
        names = self.some()
        self.fleet.network.is_partitioned = lambda a, b: (
            (a in names) != (b in names)
        )

    def refuse_some(self):
        names = self.some()
        how = self.rng.choice(
            (StoreMode.REFUSES, StoreMode.SILENT, StoreMode.LOSES_RESPONSES)
        )
        self.store.mode_for = lambda node: (
            how if node in names else StoreMode.SERVES
        )

    def restart(self):
        name = self.rng.choice(list(self.fleet.gateways))
        self.fleet.kill(name)
        self.fleet.add_gateway(name)

    def slow(self):
        self.store.response_time_s = self.rng.choice((0.004, 0.24))

    def forget(self):
        self.store.compact()

    def recover(self):
        self.store.response_time_s = 0.004
        self.store.mode_for = lambda _: StoreMode.SERVES
        self.fleet.network.is_partitioned = lambda _, __: False


STEPS = (
    *(Scenario.drill, Scenario.drill, Scenario.copy, Scenario.copy),
    *(
        Scenario.configure,
        Scenario.add,
        Scenario.drop,
        Scenario.leave,
        Scenario.order,
    ),
    *(Scenario.cut, Scenario.refuse_some, Scenario.restart, Scenario.slow),
    *(Scenario.forget, Scenario.recover),
)


class RandomDrillsTest(unittest.TestCase):
    """Faults that overlap."""

    def test_all_agree_in_the_end(self):
        for seed in SEEDS:
            with self.subTest(seed), mock.patch.object(event, 'note'):
                self.assertEqual(clock.run(Scenario(seed).simulate), [])


if __name__ == '__main__':
    unittest.main()
