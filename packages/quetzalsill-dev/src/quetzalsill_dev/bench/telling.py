"""What gateways that tell each other cost: `make bench-telling`.

The real exchange of a fleet's gateways on virtual time: generations begin, are
read and end at the rates given, and whatever is told of them is counted, with
the processor time of all of it. Datagrams are handed over in memory, so that
the system calls of sending and receiving are not in it.
"""

from __future__ import annotations

import asyncio
import random
import time
import types

import click

from quetzalsill.telemetry import log
from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import retry_budget, source
from quetzalsill_gateway.balance import admission, upstream_stats
from quetzalsill_gateway.fleet import members, upstream
from quetzalsill_gateway.peers import exchange
from quetzalsill_gateway.stream import link_queue, live

__all__ = ['main']

ENGINES_PER_GATEWAY = 0.45
# Of long generations, with a backup, and of short ones: how many begin in a
# second at each gateway, and how long they take.
LONG_PER_S, LONG_S = 0.17, 8.0
SHORT_PER_S, SHORT_S = 0.24, 0.3
READ_S = 0.2
SECONDS = 20.0
DELAY_S = (0.0005, 0.002)
HEADERS_BYTES = 28
# A link of 10 Mbit/s; what waits in it delays answers to callers, and is lost
# beyond some 50 ms of it.
LINK_BYTES_PER_S = 1_250_000
MS_PER_S = 1000
SEED = 1


class _Wire:
    """Takes the place of a socket, and counts."""

    def __init__(self, fleet: Fleet, address: tuple[str, int]) -> None:
        self._fleet = fleet
        self._address = address
        self._free_s = 0.0

    def is_closing(self) -> bool:
        """It never is."""
        return False

    def get_extra_info(self, _: str) -> tuple[str, int]:
        """Returns the address."""
        return self._address

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Hands a datagram over, a little later."""
        fleet = self._fleet
        size = len(data) + HEADERS_BYTES
        fleet.datagrams += 1
        fleet.sent_bytes += size
        loop = asyncio.get_running_loop()
        self._free_s = max(loop.time(), self._free_s) + size / LINK_BYTES_PER_S
        waits_s = self._free_s - loop.time()
        fleet.longest_wait_s = max(fleet.longest_wait_s, waits_s)
        delay_s = waits_s + fleet.rng.uniform(*DELAY_S)
        loop.call_later(delay_s, fleet.deliver, data, address, self._address)


class Fleet:
    """Gateways with work.

    Attributes:
      rng: Every draw.
      datagrams: How many were sent.
      sent_bytes: Bytes of them.
      longest_wait_s: Longest time of one in its sender's link, in seconds.
    """

    def __init__(self, gateways: int) -> None:
        self.rng = random.Random(SEED)
        self.datagrams = 0
        self.sent_bytes = 0
        self.longest_wait_s = 0.0
        self._hearers: dict[tuple[str, int], exchange.Exchange] = {}
        engines = max(1, int(gateways * ENGINES_PER_GATEWAY))
        self._engines = [
            upstream.Upstream(f'i-{n:08x}', 's', ('10.0.0.1', n), 'z', 24)
            for n in range(engines)
        ]
        self._nodes = [f'edge-some-hall-{n}' for n in range(gateways)]
        self._tasks: set[asyncio.Task[None]] = set()

    def deliver(
        self, data: bytes, to: tuple[str, int], sender: tuple[str, int]
    ) -> None:
        """Gives a datagram to its receiver."""
        self._hearers[to].datagram_received(data, sender)

    async def play(self) -> None:
        """Starts all and lets them work for a while."""
        for number, node in enumerate(self._nodes):
            self._start(('10.1.0.1', number + 1), node)
        await asyncio.sleep(2 * LONG_S)
        self.datagrams = self.sent_bytes = 0
        self.longest_wait_s = 0.0
        await asyncio.sleep(SECONDS)
        for task in self._tasks:
            task.cancel()

    def _start(self, address: tuple[str, int], node: str) -> None:
        core = types.SimpleNamespace(
            stats_table=upstream_stats.StatsTable(),
            upstreams=upstream.Upstreams(),
            link_queue=link_queue.LinkQueue(),
            health=source.Health(),
            budget=retry_budget.RetryBudget(0.2, 10.0, 10.0, 16),
        )
        core.live = live.LiveStreams(core.stats_table)
        core.members = members.Members(node)
        core.quota = None
        core.admission = admission.Admission(
            core.upstreams, core.stats_table, 'z', core.quota
        )

        async def join(_: str, __: str) -> dict[str, str]:
            return {
                f'{host}:{port}': f'{host}:{port}'
                for host, port in self._hearers
            }

        found = exchange.Exchange(core, node, join)
        found._transport = _Wire(self, address)
        self._hearers[address] = found
        self._spawn(found.join_directory())
        self._spawn(found.publish_changes())
        self._spawn(self._begin(core.live, LONG_PER_S, LONG_S, True))
        self._spawn(self._begin(core.live, SHORT_PER_S, SHORT_S, False))

    def _spawn(self, work: object) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _begin(
        self,
        found: live.LiveStreams,
        per_s: float,
        lasts_s: float,
        backed_up: bool,
    ) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            self._spawn(self._generation(found, lasts_s, backed_up))

    async def _generation(
        self, found: live.LiveStreams, lasts_s: float, backed_up: bool
    ) -> None:
        stream = live.Stream(None, None, upstream_stats.Reservation(2000, 3000))
        engine, other = self.rng.choices(self._engines, k=2)
        found.place(stream, engine)
        found.set_backup(stream, other if backed_up else None)
        await asyncio.sleep(READ_S)
        found.record_prefill(stream)
        await asyncio.sleep(lasts_s * self.rng.uniform(0.5, 1.5))
        found.end(stream)


@click.command()
@click.option(
    '--gateways',
    multiple=True,
    type=int,
    default=(26, 68, 128),
    help='Size of the fleet; may be given more than once.',
)
def main(gateways: tuple[int, ...]) -> None:
    """Prints what telling costs each gateway, by size of the fleet."""
    log.configure('error')
    for count in gateways:
        fleet = Fleet(count)
        begun_s = time.process_time()
        clock.run(fleet.play)
        took_s = time.process_time() - begun_s
        each = count * SECONDS
        share = took_s / count / (SECONDS + 2 * LONG_S)
        click.echo(
            f'{count} gateways: each takes in '
            f'{fleet.datagrams / each:.0f} datagrams and '
            f'{fleet.sent_bytes / each / MS_PER_S:.1f} KB a second, '
            f'{share:.4f} of a core; at most '
            f'{fleet.longest_wait_s * MS_PER_S:.1f} ms in a thin link'
        )


if __name__ == '__main__':
    main()
