"""A gateway is stopped while clients use their kept connections.

Each client sends its next request as soon as it has an answer. The rule that
is checked is LOST, around a SIGTERM.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import random
import signal
import sys
import tempfile
import traceback

import standin_client as client
import standin_cluster as cluster
import standin_config as config
import standin_engine as engine
import standin_gateway as gateway
import standin_record as record

HERE = pathlib.Path(__file__).resolve().parent
SEED = 9
CLIENTS = 36
ENGINES = 4
TERM_AT_S = 7.0
# After the grace time of 8 s, and 1 s more, nothing counts.
PLAY_S = 17.0
# What was sent up to this long after the SIGTERM is excused.
EXCUSED_S = 3.0
# The `lossSlackMs` of the site.
LOSS_SLACK_S = 0.2
MAX_EVENTS = 551
HINT_SPREAD = 1.2
PROMPT_TOKENS = 3000


@dataclasses.dataclass(slots=True)
class Sent:
    """A request and its answer.

    Attributes:
      request_id: Its id.
      gateway: Name of the gateway that it was sent to.
      sent_s: When it was sent.
      ended_s: When its answer or the connection ended; None before.
      response: The answer.
    """

    request_id: str
    gateway: str
    sent_s: float
    ended_s: float | None = None
    response: client.Response = dataclasses.field(
        default_factory=client.Response
    )


class Case:
    """Two gateways, engines and clients, and what they did."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.log = record.Record(HERE / 'record.txt')
        self.lengths: dict[str, int] = {}
        self.sent: list[Sent] = []
        engines = [
            engine.Engine(
                f'i-{number}', lambda name: self.lengths[name], self.log
            )
            for number in range(ENGINES)
        ]
        self.cluster = cluster.Cluster(engines)
        self.folder = folder
        self.term_s: float | None = None

    async def play(self) -> None:
        """Starts everything, stops a gateway, and ends all processes."""
        async with cluster.run(self.cluster, self.folder, 2) as tasks:
            tasks += [
                asyncio.create_task(self.use(number))
                for number in range(CLIENTS)
            ]
            await asyncio.sleep(TERM_AT_S)
            if os.environ.get('TROUBLE', '1') != '0':
                self.term_s = self.log.now()
                self.log.note('SIGTERM to edge-1')
                self.cluster.gateways[0].signal(signal.SIGTERM)
            await asyncio.sleep(PLAY_S - TERM_AT_S)

    async def use(self, number: int) -> None:
        """Sends one request after the other, on one connection if possible."""
        conn = None
        node = None
        for count in range(1000):
            if conn is None or not conn.is_open:
                # Most clients of a zone meet the same gateway.
                first = self.cluster.in_rotation[0]
                last = self.cluster.in_rotation[-1]
                node = first if number % 4 else last
                conn = client.Client(node.port)
                try:
                    await conn.open()
                except OSError:
                    await asyncio.sleep(0.1)
                    continue
            await self.send(conn, node, f'{number:08x}{count:08x}')

    async def send(
        self, conn: client.Client, node: gateway.Gateway, request_id: str
    ) -> None:
        """Sends a request and records how it was answered."""
        # Drawn for each request by itself, so that its place doesn't matter.
        rng = random.Random(f'{SEED}/{request_id}')
        events = int(rng.lognormvariate(5.1, 0.84))
        events = min(MAX_EVENTS, max(1, events))
        self.lengths[request_id] = events
        tokens = events * engine.EVENT_TOKENS
        hint = int(tokens * rng.lognormvariate(0.0, HINT_SPREAD))
        headers = {
            'Host': 'studio.example',
            'X-Quetzalsill-Attempt-Id': request_id,
            'X-Quetzalsill-Deadline-Ms': str(config.TIME_LIMIT_MS),
            'X-Quetzalsill-Model': 'm',
            'X-Quetzalsill-Token-Usage': f'{PROMPT_TOKENS},{MAX_EVENTS * 4}',
            'X-Quetzalsill-Length-Hint': str(hint),
            'X-Quetzalsill-Prompt-Prefix': f'{request_id}:{PROMPT_TOKENS}',
            'Authorization': f'Bearer {config.KEY}',
        }
        found = Sent(request_id, node.name, self.log.now())
        self.sent.append(found)
        self.log.note(
            f'client sends {request_id} to {node.name}:'
            f' {tokens} tokens, hint {hint}'
        )
        found.response = await conn.request(
            'POST', f'/brief/{request_id}', headers, b'write a brief'
        )
        found.ended_s = self.log.now()
        end = 'whole' if found.response.is_complete else 'cut off'
        self.log.note(
            f'client has {request_id}: {found.response.status},'
            f' {engine.events_in(found.response.body)} of {events} events,'
            f' {end}'
        )
        if found.response.status != 200:
            await asyncio.sleep(
                float(found.response.headers.get('retry-after', 0.1))
            )

    def lost(self) -> list[tuple[Sent, str]]:
        """Returns the requests by which the rule was broken, and how."""
        return [
            (one, how)
            for one in self.sent
            if one.ended_s is not None
            and not one.response.is_complete
            and one.gateway == 'edge-1'
            # Until a second after the grace time, before the time limit.
            and self.term_s < one.ended_s < self.term_s + gateway.GRACE_S + 1.0
            and one.ended_s - one.sent_s < config.TIME_LIMIT_MS / 1000
            if (how := self.how_lost(one))
        ]

    def how_lost(self, one: Sent) -> str:
        """Returns how a request that was cut off was lost; empty if excused."""
        runs = [
            found.runs[one.request_id]
            for found in self.cluster.engines
            if one.request_id in found.runs
        ]
        if not runs:
            # The gateway has had it for longer than it may drop it.
            has_time = one.ended_s - one.sent_s > LOSS_SLACK_S
            return 'never passed on' if has_time else ''
        # The server neither broke off nor had ended. What was sent soon after
        # the SIGTERM is excused then.
        is_late = one.sent_s > self.term_s + EXCUSED_S
        return 'passed on' if is_late and runs[0].made < runs[0].length else ''


async def main() -> int:
    """Plays the case; returns the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        case = Case(pathlib.Path(folder))
        await case.play()
    cut = [
        one
        for one in case.sent
        if one.ended_s is not None and not one.response.is_complete
    ]
    if case.term_s is None:
        case.log.note(f'no SIGTERM: {len(case.sent)} sent, {len(cut)} cut off')
        return 1 if cut else 0
    lost = case.lost()
    for one, how in lost:
        case.log.note(
            f'LOST {one.request_id}: sent'
            f' {one.sent_s - case.term_s:.2f} s after the SIGTERM, {how},'
            f' and cut off {one.ended_s - case.term_s:.2f} s after it'
        )
    case.log.note(
        f'{len(case.sent)} sent, {len(cut)} cut off, {len(lost)} break LOST'
    )
    return 1 if lost else 0


if __name__ == '__main__':
    try:
        status = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(status)
