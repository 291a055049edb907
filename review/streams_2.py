"""Steps of the cases in which clients take streams up again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import standin_2 as standin

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = [
    'Streams',
    'count_mixed',
    'desired_state',
    'kill_all',
    'make_server',
    'release',
]

SERVICE = 'writers'
PATH = '/draft/1'
LEFT_MS = 39_000
RESTART_S = 1.0
RELEASE_GAP_S = 1.0
# How long a server serves after it has reported that it drains.
SERVES_S = 3.5


def desired_state() -> dict:
    """Returns a desired state with a route whose streams may be resumed."""
    routes = [standin.route('draft', SERVICE, streamResume=True, maxAttempts=2)]
    return standin.configuration(1, routes, SERVICE)


def make_server(
    store: standin.Store, record: standin.Record, number: int, version: str
) -> standin.ModelServer:
    """Returns a server of a software version."""
    return standin.ModelServer(
        store,
        f's-{version}-{number}',
        SERVICE,
        record,
        version=version,
        zone=standin.ZONES[number % 3],
    )


async def release(
    store: standin.Store,
    record: standin.Record,
    old: Sequence[standin.ModelServer],
) -> None:
    """Replaces servers one by one by those of the version `v2`."""
    drains = []
    for number, one in enumerate(old):
        await make_server(store, record, number, 'v2').start()
        await asyncio.sleep(RELEASE_GAP_S)
        drains.append(asyncio.create_task(one.drain(SERVES_S)))
    await asyncio.gather(*drains)


async def kill_all(
    gateways: Sequence[standin.Gateway], record: standin.Record
) -> None:
    """Kills all gateways at once and starts them again."""
    record.note('all gateways are killed')
    for one in gateways:
        one.end()
    await asyncio.sleep(RESTART_S)
    for one in gateways:
        one.start()
    for one in gateways:
        await one.wait_until_ready()
    record.note('all gateways are ready')


class Streams:
    """Streams that begin at several gateways, and what their clients have.

    Attributes:
      first: Answers to the requests that began them.
    """

    def __init__(
        self,
        client: standin.Client,
        gateways: Sequence[standin.Gateway],
        count: int,
        events: int,
    ) -> None:
        """Sends the requests."""
        self._client = client
        self._gateways = gateways
        self._events = events
        self.ids = [client.new_id() for _ in range(count)]
        self.first = [standin.Answer() for _ in self.ids]
        self._tasks = [
            asyncio.create_task(
                client.stream(
                    gateways[n % len(gateways)],
                    PATH,
                    events=events,
                    left_ms=LEFT_MS,
                    request_id=request_id,
                    answer=self.first[n],
                )
            )
            for n, request_id in enumerate(self.ids)
        ]

    async def close(self) -> None:
        """Closes the channels of the clients."""
        for task in self._tasks:
            task.cancel()
        await self.wait()

    async def wait(self) -> None:
        """Waits until all answers have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def take_up(self, tries: int = 1) -> list[standin.Answer]:
        """Takes the streams up; returns the last answer to each client."""
        return await asyncio.gather(
            *(self._take_up(n, tries) for n in range(len(self.ids)))
        )

    async def _take_up(self, number: int, tries: int) -> standin.Answer:
        known = self.first[number]
        answer = standin.Answer()
        if known.is_complete or not known.events:
            return answer
        headers = {
            'Resumes': self.ids[number],
            'Last-Event-Id': str(known.events[-1][0]),
        }
        for turn in range(tries):
            answer = await self._client.stream(
                self._gateways[(number + turn + 1) % len(self._gateways)],
                PATH,
                events=self._events,
                left_ms=LEFT_MS // 2,
                headers=headers,
            )
            if answer.status != 503:
                break
            await asyncio.sleep(float(answer.headers.get('retry-after', 1.0)))
        return answer


def count_mixed(
    streams: Streams, taken: list[standin.Answer], record: standin.Record
) -> int:
    """Returns how many streams hold events of two software versions."""
    mixed = 0
    for request_id, first, second in zip(
        streams.ids, streams.first, taken, strict=True
    ):
        if second.status != 200 or len(first.versions | second.versions) < 2:
            continue
        mixed += 1
        record.note(
            f'stream {request_id}: events 1 to {first.events[-1][0]} of'
            f' {sorted(first.versions)}, events {second.events[0][0]} to'
            f' {second.events[-1][0]} of {sorted(second.versions)}'
        )
    record.note(f'{mixed} streams hold events of two versions')
    return mixed
