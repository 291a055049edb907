"""Load of a soak run, with a record of each request."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random

from quetzalsill_dev.soak import testbed as testbed_lib
from quetzalsill_dev.users_platform import caller, engine, resuming

__all__ = ['REQUEST_KINDS', 'LoadGenerator', 'RequestRecord']

# Kind, method and relative weight of requests.
REQUEST_KINDS = (
    *(('safe', 'GET', 3), ('unsafe', 'POST', 3)),
    *(('plan', 'POST', 2), ('verdict', 'POST', 2)),
    *(('edit', 'GET', 1), ('revoked', 'GET', 1)),
)
# Number of newest configuration versions that callers use.
RECENT_VERSIONS = 2
# Callers wait a little longer than the deadline that they send.
DEADLINE_MS = 4000
CALLER_TIMEOUT_S = 6.0
REQUEST_INTERVAL_S = 0.03
# Share of requests whose callers disconnect before the response.
ABANDON_PROBABILITY = 0.03
# Streams that their callers take up again: number of events, and probability
# that an engine breaks one off at an event.
LONG_STREAM_EVENTS = 100
BREAK_SHARE = 0.02
# Streams on kept connections: mean and deviation of the logarithm of their
# number of events, the most that they have, and the deviation of hints.
KEPT_EVENTS = (4.0, 0.9)
MAX_KEPT_EVENTS = 300
KEPT_HINT_DEVIATION = 1.2
# Share of them whose limit is their true length.
EXACT_LIMIT_SHARE = 0.3
KEPT_RETRY_S = 0.1
OK = 200


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """A request and its outcome.

    Attributes:
      request_id: Request id.
      kind: Kind of request.
      gateway: Name of the gateway that it was sent to.
      answer: Response, as far as it was received.
      version: Configuration version whose route (`edit`) or key (`revoked`) was
        used; 0 for other kinds.
      incarnation: Process of the gateway; 0 if it was replaced meanwhile.
      sent_s: Loop time at which the request was sent.
      ended_s: Loop time at which the request ended; 0 for one that is pending,
        and for a probe.
      abandoned: Whether the caller disconnects early, usually before the
        response.
    """

    request_id: str
    kind: str
    gateway: str
    answer: caller.Response
    version: int = 0
    incarnation: int = 0
    sent_s: float = 0.0
    ended_s: float = 0.0
    abandoned: bool = False

    @property
    def served(self) -> bool:
        """Whether a complete and successful response was received."""
        return self.answer.status == OK and self.answer.complete

    @property
    def lost(self) -> bool:
        """Whether the request ended unserved although it should be served."""
        is_over = self.ended_s > 0
        return is_over and not (self.served or self.abandoned or self.version)

    @property
    def path(self) -> str:
        """Path of the request."""
        if self.kind == 'edit':
            return f'/v{self.version}/x'
        return f'/{"safe" if self.kind == "revoked" else self.kind}/x'

    @property
    def api_key(self) -> str:
        """API key sent with the request."""
        return f'key-v{self.version}' if self.kind == 'revoked' else 'key-1'


class LoadGenerator:
    """Sends requests continuously on persistent connections.

    Attributes:
      records: All requests so far.
      streams: Streams whose callers take them up again.
    """

    def __init__(self, testbed: testbed_lib.Testbed, seed: int) -> None:
        self._testbed = testbed
        self._rng = random.Random(seed)
        self._request_numbers = itertools.count(1)
        self.records: list[RequestRecord] = []
        self.streams: list[resuming.StreamRecord] = []
        self._stream_rng = random.Random(f'{seed} streams')
        self._kept_rng = random.Random(f'{seed} kept')

    async def run(self) -> None:
        """Sends requests to random gateways until cancelled."""
        connections: dict[str, caller.Caller] = {}
        try:
            while True:
                gateway = self._rng.choice(self._testbed.gateways)
                await self._send_next(gateway, connections)
                await asyncio.sleep(REQUEST_INTERVAL_S)
        finally:
            for conn in connections.values():
                conn.disconnect()

    async def stream(self) -> None:
        """Requests long streams, and takes them up when they break off."""

        def pick() -> tuple[str, int]:
            gateway = self._stream_rng.choice(self._testbed.gateways)
            return '127.0.0.1', gateway.relay.port

        headers = {
            engine.EVENTS_HEADER: str(LONG_STREAM_EVENTS),
            engine.BREAK_SHARE_HEADER: str(BREAK_SHARE),
        }
        while True:
            number = next(self._request_numbers)
            middle = self._stream_rng.choice(testbed_lib.SOUND_PARTS)
            parts = (testbed_lib.COMMON_PART, middle, f'{number:x}')
            found = await resuming.run(
                pick,
                '/verdict/long',
                self._stream_rng,
                headers | testbed_lib.parts_header(*parts),
                # Each has a fingerprint of its own.
                body=b'long %d' % number,
                count_serving=lambda version: len(
                    self._testbed.engines_of(version)
                ),
                patience_s=self._testbed.patience_s,
            )
            self.streams.append(found)

    async def keep_connection(self, gateway: testbed_lib.Gateway) -> None:
        """Sends streams to a gateway, each as soon as it has the one before.

        It uses one connection for as long as the gateway keeps it open, also
        while the gateway stops. Hints are far off.
        """
        while True:
            conn = caller.Caller('127.0.0.1', gateway.relay.port)
            try:
                async with asyncio.timeout(CALLER_TIMEOUT_S):
                    await conn.open()
                while await self._send_kept(conn):
                    pass
            except (TimeoutError, OSError):
                pass
            finally:
                conn.disconnect()
            await asyncio.sleep(KEPT_RETRY_S)

    async def _send_kept(self, conn: caller.Caller) -> bool:
        """Sends a stream; returns whether its connection stays open."""
        rng = self._kept_rng
        number = next(self._request_numbers)
        events = max(1, round(rng.lognormvariate(*KEPT_EVENTS)))
        events = min(events, MAX_KEPT_EVENTS)
        tokens = events * engine.TOKENS_PER_EVENT
        is_exact = rng.random() < EXACT_LIMIT_SHARE
        limit = MAX_KEPT_EVENTS * engine.TOKENS_PER_EVENT
        hint = round(tokens * rng.lognormvariate(0.0, KEPT_HINT_DEVIATION))
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            response = await conn.request(
                '/plan/kept',
                method='POST',
                # Each has a fingerprint of its own.
                body=b'kept %d' % number,
                deadline_ms=DEADLINE_MS,
                request_id=f'{number:016x}',
                headers={
                    engine.EVENTS_HEADER: str(events),
                    testbed_lib.USAGE_HEADER: (
                        f'100,{tokens if is_exact else limit}'
                    ),
                    testbed_lib.HINT_HEADER: str(hint),
                },
            )
        return (
            response.complete and response.headers.get('connection') != 'close'
        )

    async def probe(
        self, kind: str, gateway: testbed_lib.Gateway
    ) -> RequestRecord:
        """Sends a single request on a new connection."""
        conn = caller.Caller('127.0.0.1', gateway.relay.port)
        record = self._start_record(kind, gateway)
        await self._send(conn, record, 'GET')
        return record

    async def _send_next(
        self,
        gateway: testbed_lib.Gateway,
        connections: dict[str, caller.Caller],
    ) -> None:
        weights = [weight for _, _, weight in REQUEST_KINDS]
        kind, method, _ = self._rng.choices(REQUEST_KINDS, weights)[0]
        conn = connections.pop(gateway.name, None)
        if conn is None:
            conn = caller.Caller('127.0.0.1', gateway.relay.port)
        record = self._start_record(kind, gateway)
        if kind in ('edit', 'revoked'):
            newest = self._testbed.config_version
            oldest = max(1, newest + 1 - RECENT_VERSIONS)
            record.version = self._rng.randint(oldest, newest)
        record.abandoned = self._rng.random() < ABANDON_PROBABILITY
        timeout_s = (
            self._rng.uniform(0.01, 0.2)
            if record.abandoned
            else CALLER_TIMEOUT_S
        )
        await self._send(conn, record, method, timeout_s)
        record.ended_s = asyncio.get_running_loop().time()
        if record.incarnation != gateway.incarnation:
            record.incarnation = 0
        if record.answer.complete:
            connections[gateway.name] = conn

    def _start_record(
        self, kind: str, gateway: testbed_lib.Gateway
    ) -> RequestRecord:
        record = RequestRecord(
            f'{next(self._request_numbers):016x}',
            kind,
            gateway.name,
            caller.Response(),
            incarnation=gateway.incarnation,
            sent_s=asyncio.get_running_loop().time(),
        )
        self.records.append(record)
        return record

    async def _send(
        self,
        conn: caller.Caller,
        record: RequestRecord,
        method: str,
        timeout_s: float = CALLER_TIMEOUT_S,
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await conn.request(
                    record.path,
                    method=method,
                    body=b'order' if method == 'POST' else b'',
                    key=record.api_key,
                    deadline_ms=DEADLINE_MS,
                    request_id=record.request_id,
                    response=record.answer,
                )
        except (TimeoutError, OSError):
            record.answer.complete = False
        if not record.answer.complete:
            conn.disconnect()
