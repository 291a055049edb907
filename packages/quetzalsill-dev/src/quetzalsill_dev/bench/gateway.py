"""What a gateway costs: `make bench-gateway`.

One gateway process before stand-ins is asked for plain calls and for streams,
with its log on and off in turns, so that whatever else the machine does meets
both alike. The log goes to a pipe that is read, as on the users' platform.
"""

from __future__ import annotations

import asyncio
import dataclasses
import statistics
from collections.abc import Awaitable, Callable

import click

from quetzalsill_dev import launch
from quetzalsill_dev.bench import processor_time
from quetzalsill_dev.soak import testbed as testbed_lib
from quetzalsill_dev.users_platform import caller

__all__ = ['main']

CALLS = 1600
STREAMS = 192
WIDTH = 16
WARM_UP = 40
US_PER_S = 1e6
LEVELS = ('info', 'error')


@dataclasses.dataclass(slots=True)
class Cost:
    """Processor time of one turn, in microseconds.

    Attributes:
      call_us: For a plain call.
      piece_us: For an event of a stream, its start and end included.
    """

    call_us: float
    piece_us: float


async def _ask(testbed: testbed_lib.Testbed, kind: str, method: str) -> None:
    conn = caller.Caller('127.0.0.1', testbed.gateways[0].relay.target[1])
    count = CALLS if kind == 'safe' else STREAMS
    for _ in range(count // WIDTH):
        answer = await conn.request(
            f'/{kind}/x', method=method, deadline_ms=30_000
        )
        if not answer.complete:
            raise click.ClickException(f'{kind} got {answer.status}, not whole')
    conn.disconnect()


async def _cost_us(
    testbed: testbed_lib.Testbed,
    work: Callable[[], Awaitable[None]],
    units: int,
) -> float:
    pid = testbed.gateways[0].process.pid
    before_s = processor_time.processor_time_s(pid)
    await asyncio.gather(*(work() for _ in range(WIDTH)))
    used_s = processor_time.processor_time_s(pid) - before_s
    return used_s * US_PER_S / units


async def _turn(level: str) -> Cost:
    async with launch.Launcher() as launcher:
        testbed = testbed_lib.Testbed(launcher, 1, log_level=level)
        try:
            await testbed.start(http_servers=2, engines=2)
            await asyncio.sleep(1.0)
            for _ in range(WARM_UP):
                await caller.Caller(*testbed.gateways[0].relay.target).request(
                    '/safe/x'
                )
            call_us = await _cost_us(
                testbed, lambda: _ask(testbed, 'safe', 'GET'), CALLS
            )
            pieces = STREAMS * testbed_lib.EVENTS_PER_STREAM
            piece_us = await _cost_us(
                testbed, lambda: _ask(testbed, 'plan', 'POST'), pieces
            )
            return Cost(call_us, piece_us)
        finally:
            await testbed.stop()


async def _run(turns: int) -> dict[str, list[Cost]]:
    found: dict[str, list[Cost]] = {level: [] for level in LEVELS}
    for _ in range(turns):
        for level in LEVELS:
            found[level].append(await _turn(level))
    return found


@click.command()
@click.option('--turns', default=3, help='Turns with the log on and off.')
def main(turns: int) -> None:
    """Prints processor time with and without the log, and the log's share."""
    found = asyncio.run(_run(turns))
    for field in dataclasses.fields(Cost):
        on, off = (
            statistics.median(
                getattr(cost, field.name) for cost in found[level]
            )
            for level in LEVELS
        )
        share = 1 - off / on if on else 0.0
        click.echo(
            f'{field.name}: {on:.0f} with the log, {off:.0f} without; '
            f'the log takes {share:.0%}'
        )


if __name__ == '__main__':
    main()
