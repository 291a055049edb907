"""Callers of a soak, and what each was told."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
from typing import TYPE_CHECKING

from quetzalsill_dev.users_platform import caller

if TYPE_CHECKING:
    from quetzalsill_dev.soak import stage as stage_lib

__all__ = ['KINDS', 'Load', 'Told']

# Route, method, and how often it is asked.
KINDS = (
    *(('safe', 'GET', 3), ('unsafe', 'POST', 3)),
    *(('plan', 'POST', 2), ('verdict', 'POST', 2)),
    *(('edit', 'GET', 1), ('revoked', 'GET', 1)),
)
# How far back callers ask for what operators changed, in versions.
VERSIONS = 2
# A caller waits a little longer than the time limit that it gives.
DEADLINE_MS = 4000
BOUND_S = 6.0
PAUSE_S = 0.03
# Share of requests whose callers leave before their answers.
LEAVING_SHARE = 0.03
OK = 200


@dataclasses.dataclass(slots=True)
class Told:
    """One request and what came back.

    Attributes:
      request_id: Its id.
      kind: Its route.
      gateway: Name of the gateway asked.
      answer: What came of the answer.
      version: Of the configuration whose route (`edit`) or key (`revoked`) was
        asked with.
      incarnation: Process of the gateway; 0 if it was replaced meanwhile.
      sent_s: Loop time at which it was sent.
      ended_s: Loop time at which its answer had come.
      left: The caller left before its answer.
    """

    request_id: str
    kind: str
    gateway: str
    answer: caller.Answer
    version: int = 0
    incarnation: int = 0
    sent_s: float = 0.0
    ended_s: float = 0.0
    left: bool = False

    @property
    def served(self) -> bool:
        """Whether its answer came whole, with success."""
        return self.answer.status == OK and self.answer.whole

    @property
    def lost(self) -> bool:
        """Whether it was given up without being served, as it should be."""
        is_over = self.ended_s > 0
        return is_over and not (self.served or self.left or self.version)

    @property
    def target(self) -> str:
        """Path that is asked for."""
        if self.kind == 'edit':
            return f'/v{self.version}/x'
        return f'/{"safe" if self.kind == "revoked" else self.kind}/x'

    @property
    def key(self) -> str:
        """Key that is asked with."""
        return f'key-v{self.version}' if self.kind == 'revoked' else 'key-1'


class Load:
    """Callers that ask without pause, on connections that they keep.

    Attributes:
      told: What became of all requests so far.
    """

    def __init__(self, stage: stage_lib.Stage, seed: int) -> None:
        self._stage = stage
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self.told: list[Told] = []

    async def run(self) -> None:
        """Asks at one gateway after another until cancelled."""
        kept: dict[str, caller.Caller] = {}
        try:
            while True:
                gateway = self._rng.choice(self._stage.gateways)
                await self._one(gateway, kept)
                await asyncio.sleep(PAUSE_S)
        finally:
            for conn in kept.values():
                conn.leave()

    async def probe(self, kind: str, gateway: stage_lib.Gateway) -> Told:
        """Asks once on a connection of its own."""
        conn = caller.Caller('127.0.0.1', gateway.relay.port)
        told = self._begin(kind, gateway)
        await self._ask(conn, told, 'GET')
        return told

    async def _one(
        self,
        gateway: stage_lib.Gateway,
        kept: dict[str, caller.Caller],
    ) -> None:
        weights = [weight for _, _, weight in KINDS]
        kind, method, _ = self._rng.choices(KINDS, weights)[0]
        conn = kept.pop(gateway.name, None)
        if conn is None:
            conn = caller.Caller('127.0.0.1', gateway.relay.port)
        told = self._begin(kind, gateway)
        if kind in ('edit', 'revoked'):
            newest = self._stage.version
            oldest = max(1, newest + 1 - VERSIONS)
            told.version = self._rng.randint(oldest, newest)
        told.left = self._rng.random() < LEAVING_SHARE
        bound_s = self._rng.uniform(0.01, 0.2) if told.left else BOUND_S
        await self._ask(conn, told, method, bound_s)
        told.ended_s = asyncio.get_running_loop().time()
        if told.incarnation != gateway.incarnation:
            told.incarnation = 0
        if told.answer.whole:
            kept[gateway.name] = conn

    def _begin(self, kind: str, gateway: stage_lib.Gateway) -> Told:
        told = Told(
            f'{next(self._numbers):016x}',
            kind,
            gateway.name,
            caller.Answer(),
            incarnation=gateway.incarnation,
            sent_s=asyncio.get_running_loop().time(),
        )
        self.told.append(told)
        return told

    async def _ask(
        self,
        conn: caller.Caller,
        told: Told,
        method: str,
        bound_s: float = BOUND_S,
    ) -> None:
        try:
            async with asyncio.timeout(bound_s):
                await conn.ask(
                    told.target,
                    method=method,
                    body=b'order' if method == 'POST' else b'',
                    key=told.key,
                    deadline_ms=DEADLINE_MS,
                    request_id=told.request_id,
                    answer=told.answer,
                )
        except (TimeoutError, OSError):
            told.answer.whole = False
        if not told.answer.whole:
            conn.leave()
