"""Measures the cost of updates between gateways: `make bench-telling`.

Runs the real exchange of a fleet of gateways on virtual time: generations
start, finish their prefill and end at the given rates, and the benchmark counts
the updates sent and the processor time of the whole simulation. Datagrams are
delivered in memory, so the cost of the system calls for sending and receiving
is not included.
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
from quetzalsill_gateway.stream import link_queue, live, loop_delay

__all__ = ['main']

ENGINES_PER_GATEWAY = 0.45
# Start rate per gateway and mean duration of long generations, which have a
# backup, and of short ones, which have none.
LONG_STARTS_PER_S, LONG_DURATION_S = 0.17, 8.0
SHORT_STARTS_PER_S, SHORT_DURATION_S = 0.24, 0.3
PREFILL_S = 0.2
MEASURED_S = 20.0
DELAY_RANGE_S = (0.0005, 0.002)
HEADER_BYTES = 28
# A link of 10 Mbit/s; queued datagrams delay responses to callers, and are
# dropped when the queue exceeds some 50 ms.
LINK_BYTES_PER_S = 1_250_000
MS_PER_S = 1000
SEED = 1


class _LinkTransport:
    """Replaces the socket transport and counts datagrams."""

    def __init__(self, fleet: Fleet, address: tuple[str, int]) -> None:
        self._fleet = fleet
        self._address = address
        self._idle_at_s = 0.0

    def is_closing(self) -> bool:
        """Always returns False."""
        return False

    def get_extra_info(self, _: str) -> tuple[str, int]:
        """Returns the local address."""
        return self._address

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Delivers a datagram after the delay of its link."""
        fleet = self._fleet
        size = len(data) + HEADER_BYTES
        fleet.datagrams += 1
        fleet.sent_bytes += size
        loop = asyncio.get_running_loop()
        self._idle_at_s = (
            max(loop.time(), self._idle_at_s) + size / LINK_BYTES_PER_S
        )
        wait_s = self._idle_at_s - loop.time()
        fleet.longest_wait_s = max(fleet.longest_wait_s, wait_s)
        delay_s = wait_s + fleet.rng.uniform(*DELAY_RANGE_S)
        loop.call_later(delay_s, fleet.deliver, data, address, self._address)


class Fleet:
    """Gateways that run generations.

    Attributes:
      rng: Source of all random numbers.
      datagrams: Number of datagrams sent.
      sent_bytes: Bytes sent, including packet headers.
      longest_wait_s: Longest queueing time of a datagram in its sender's link,
        in seconds.
    """

    def __init__(self, gateways: int) -> None:
        self.rng = random.Random(SEED)
        self.datagrams = 0
        self.sent_bytes = 0
        self.longest_wait_s = 0.0
        self._exchanges: dict[tuple[str, int], exchange.Exchange] = {}
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
        """Passes a datagram to its receiver."""
        self._exchanges[to].datagram_received(data, sender)

    async def run(self) -> None:
        """Starts all gateways and runs them for warm-up and measurement."""
        for number, node in enumerate(self._nodes):
            self._start_gateway(('10.1.0.1', number + 1), node)
        await asyncio.sleep(2 * LONG_DURATION_S)
        self.datagrams = self.sent_bytes = 0
        self.longest_wait_s = 0.0
        await asyncio.sleep(MEASURED_S)
        for task in self._tasks:
            task.cancel()

    def _start_gateway(self, address: tuple[str, int], node: str) -> None:
        core = types.SimpleNamespace(
            stats_table=upstream_stats.StatsTable(),
            upstreams=upstream.Upstreams(),
            link_queue=link_queue.LinkQueue(),
            health=source.Health(),
            budget=retry_budget.RetryBudget(0.2, 10.0, 10.0, 16),
            loop_delay=loop_delay.LoopDelay(),
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
                for host, port in self._exchanges
            }

        peer_exchange = exchange.Exchange(core, node, join)
        peer_exchange._transport = _LinkTransport(self, address)
        self._exchanges[address] = peer_exchange
        self._spawn(peer_exchange.join_directory())
        self._spawn(peer_exchange.publish_changes())
        self._spawn(
            self._start_generations(
                core.live, LONG_STARTS_PER_S, LONG_DURATION_S, True
            )
        )
        self._spawn(
            self._start_generations(
                core.live, SHORT_STARTS_PER_S, SHORT_DURATION_S, False
            )
        )

    def _spawn(self, work: object) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_generations(
        self,
        streams: live.LiveStreams,
        starts_per_s: float,
        duration_s: float,
        has_backup: bool,
    ) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(starts_per_s))
            self._spawn(self._run_generation(streams, duration_s, has_backup))

    async def _run_generation(
        self, streams: live.LiveStreams, duration_s: float, has_backup: bool
    ) -> None:
        stream = live.Stream(None, None, upstream_stats.Reservation(2000, 3000))
        engine, other = self.rng.choices(self._engines, k=2)
        streams.place(stream, engine)
        streams.set_backup(stream, other if has_backup else None)
        await asyncio.sleep(PREFILL_S)
        streams.record_prefill(stream)
        await asyncio.sleep(duration_s * self.rng.uniform(0.5, 1.5))
        streams.end(stream)


@click.command()
@click.option(
    '--gateways',
    multiple=True,
    type=int,
    default=(26, 68, 128),
    help='Size of the fleet; may be given more than once.',
)
def main(gateways: tuple[int, ...]) -> None:
    """Prints the cost of updates per gateway, by size of the fleet."""
    log.configure('error')
    for count in gateways:
        fleet = Fleet(count)
        started_s = time.process_time()
        clock.run(fleet.run)
        used_s = time.process_time() - started_s
        gateway_seconds = count * MEASURED_S
        share = used_s / count / (MEASURED_S + 2 * LONG_DURATION_S)
        click.echo(
            f'{count} gateways: each takes in '
            f'{fleet.datagrams / gateway_seconds:.0f} datagrams and '
            f'{fleet.sent_bytes / gateway_seconds / MS_PER_S:.1f} KB a second, '
            f'{share:.4f} of a core; at most '
            f'{fleet.longest_wait_s * MS_PER_S:.1f} ms in a thin link'
        )


if __name__ == '__main__':
    main()
