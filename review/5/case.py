"""Streams go on at another software version after a loss of all gateways.

Two gateway machines were replaced shortly before the servers of a service were
replaced by those of a new version.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin_2 as standin  # noqa: E402
import streams_2 as steps  # noqa: E402

SERVERS = 4
GATEWAYS = 7
# Machines that are removed, and those that come in their place.
REMOVED = (0, 2)
ADDED = (5, 6)
STREAMS = 12
EVENTS = 700
STABLE_S = 3.0
# More streams than this break the rule.
ALLOWED = 2


async def play(record: standin.Record, trouble: bool) -> int:
    """Plays the case; returns the exit code."""
    store = standin.Store()
    await store.server.start()
    store.put('op', 'config', steps.desired_state())
    old = [steps.make_server(store, record, n, 'v1') for n in range(SERVERS)]
    for one in old:
        await one.start()
    async with standin.open_gateways(store, GATEWAYS, ADDED) as every:
        await asyncio.sleep(1.0)
        gateways = await replace_machines(every, record)
        await asyncio.sleep(STABLE_S)
        client = standin.Client(record)
        streams = steps.Streams(client, gateways, STREAMS, EVENTS)
        await asyncio.sleep(2.0)
        await steps.release(store, record, old)
        record.note(f'rows of versions: {store.rows("versions")}')
        if trouble:
            await steps.kill_all(gateways, record)
        else:
            await asyncio.sleep(steps.RESTART_S)
        await streams.wait()
        await asyncio.sleep(STABLE_S + 0.5)
        taken = await streams.take_up()
    if steps.count_mixed(streams, taken, record) > ALLOWED:
        record.note('ORDER: more than two streams')
        return 1
    return 0


async def replace_machines(
    every: list[standin.Gateway], record: standin.Record
) -> list[standin.Gateway]:
    """Starts two gateways and stops two, one by one; returns the others."""
    for number in ADDED:
        every[number].start()
        await every[number].wait_until_ready()
        record.note(f'{every[number].name} was added')
    for number in REMOVED:
        every[number].kill(signal.SIGTERM)
        record.note(f'{every[number].name} gets SIGTERM and is removed')
        await asyncio.to_thread(every[number].wait)
    return [one for n, one in enumerate(every) if n not in REMOVED]


if __name__ == '__main__':
    standin.run(FOLDER / 'record.txt', play)
