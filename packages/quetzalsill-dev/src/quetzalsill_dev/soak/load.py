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
)
# A caller waits a little longer than the time limit that it gives.
DEADLINE_MS = 4000
BOUND_S = 6.0
PAUSE_S = 0.03
# Share of requests whose callers leave before their answers.
LEAVING_SHARE = 0.03


@dataclasses.dataclass(slots=True)
class Told:
    """One request and what came back.

    Attributes:
      request_id: Its id.
      kind: Its route.
      gateway: Name of the gateway asked.
      answer: What came of the answer.
    """

    request_id: str
    kind: str
    gateway: str
    answer: caller.Answer


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
        leaves = self._rng.random() < LEAVING_SHARE
        bound_s = self._rng.uniform(0.01, 0.2) if leaves else BOUND_S
        await self._ask(conn, told, method, bound_s)
        if told.answer.whole:
            kept[gateway.name] = conn

    def _begin(self, kind: str, gateway: stage_lib.Gateway) -> Told:
        told = Told(
            f'{next(self._numbers):016x}',
            kind,
            gateway.name,
            caller.Answer(),
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
                    f'/{told.kind}/x',
                    method=method,
                    body=b'order' if method == 'POST' else b'',
                    deadline_ms=DEADLINE_MS,
                    request_id=told.request_id,
                    answer=told.answer,
                )
        except (TimeoutError, OSError):
            told.answer.whole = False
        if not told.answer.whole:
            conn.leave()
