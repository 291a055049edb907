"""Streams go on at another software version: the store came from a copy.

The store loses what the gateways wrote about versions, nobody writes it again,
and all gateways are killed once the servers of the old version are gone.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin_2 as standin  # noqa: E402
import streams_2 as steps  # noqa: E402

SERVERS = 6
GATEWAYS = 5
STREAMS = 12
EVENTS = 700
STABLE_S = 3.0
# The drill begins so long after its copy was taken, and the store is away for
# so long.
COPY_AGE_S = 4.0
AWAY_S = 0.5
# More streams than this break the rule.
ALLOWED = 2


async def play(record: standin.Record, trouble: bool) -> int:
    """Plays the case; returns the exit code."""
    store = standin.Store()
    store.era = 1
    await store.server.start()
    store.put('op', 'config', steps.desired_state())
    old = [steps.make_server(store, record, n, 'v1') for n in range(SERVERS)]
    for one in old:
        await one.start()
    async with standin.open_gateways(store, GATEWAYS) as gateways:
        await asyncio.sleep(STABLE_S + 1.0)
        client = standin.Client(record)
        streams = steps.Streams(client, gateways, STREAMS, EVENTS)
        await asyncio.sleep(1.0)
        copy = store.copy()
        release = asyncio.create_task(steps.release(store, record, old))
        await asyncio.sleep(COPY_AGE_S)
        record.note(f'rows of versions: {store.rows("versions")}')
        if trouble:
            await store.drill(copy, AWAY_S)
            record.note('the store is back from a copy')
        await release
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


if __name__ == '__main__':
    standin.run(FOLDER / 'record.txt', play)
