"""One trial: plays arrivals against a cluster and notes what came back."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import time
from typing import TYPE_CHECKING, Any

import httpx2

from quetzalsill_dev import caller
from quetzalsill_dev.bench.crowd import fleet

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_dev import cluster as cluster_lib
    from quetzalsill_dev.bench.crowd import mix

__all__ = ['Outcome', 'Player', 'preemptions']

PROFILE_HEADER = 'X-Quetzalsill-Profile'


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one request.

    Attributes:
      ask: The request.
      status: HTTP status; 0 if the connection failed.
      whole: The whole answer came.
      stall_s: Longest time with nothing arriving.
      first_s: Time to the first token.
      gap_s: Longest time between two tokens.
      took_s: Time to the end.
      ended_s: When it ended, in seconds from the start of the run.
      tokens: Tokens that came.
      retry_after: The refusal said when to come back.
      error: What it was told, or how its connection failed; empty if neither.
    """

    ask: mix.Ask
    status: int
    whole: bool
    stall_s: float
    first_s: float
    gap_s: float
    took_s: float
    ended_s: float
    tokens: int
    retry_after: bool
    error: str = ''

    def describe(self) -> str:
        """Returns one line on a request that did not end whole."""
        ask = self.ask
        return (
            f'{ask.kind.profile} of {ask.account} asked at {ask.at_s:.1f} s: '
            f'status {self.status}, {self.tokens} of {ask.tokens} tokens in '
            f'{self.took_s:.1f} s; {self.error or "no error"}'
        )


class Player:
    """Callers of a cluster, one client per router and account."""

    def __init__(
        self,
        cluster: cluster_lib.Cluster,
        traffic: mix.Mix,
        contender: fleet.Contender,
    ) -> None:
        self._contender = contender
        self._stack = contextlib.AsyncExitStack()
        self._turns = itertools.count()
        self._routers = [process.url for process in cluster.routers.values()]
        self._accounts = sorted(traffic.accounts)
        self._clients: dict[tuple[str, str], httpx2.AsyncClient] = {}

    async def __aenter__(self) -> Player:
        """Opens the clients."""
        for url, account in itertools.product(self._routers, self._accounts):
            client = caller.open_client(url, fleet.token_of(account))
            self._clients[url, account] = client
            await self._stack.enter_async_context(client)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Closes the clients."""
        await self._stack.aclose()

    async def play(
        self, asks: Iterable[mix.Ask], until_s: float
    ) -> list[Outcome]:
        """Sends each request at its time, whatever became of the others.

        What has not ended at `until_s` is left out and counts as unfinished.
        """
        began = time.monotonic()
        tasks = []
        for ask in asks:
            await asyncio.sleep(began + ask.at_s - time.monotonic())
            tasks.append(asyncio.create_task(self._send(ask, began)))
        left_s = max(0.0, began + until_s - time.monotonic())
        done, unfinished = await asyncio.wait(tasks, timeout=left_s)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        return [task.result() for task in done]

    async def saturate(
        self, asks: Iterable[mix.Ask], width: int, length_s: float
    ) -> list[Outcome]:
        """Keeps `width` requests going for a time."""
        began = time.monotonic()
        source = iter(asks)
        outcomes: list[Outcome] = []

        async def one_caller() -> None:
            for ask in source:
                outcomes.append(await self._send(ask, began))

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(length_s):
                await asyncio.gather(*(one_caller() for _ in range(width)))
        return outcomes

    async def _send(self, ask: mix.Ask, began: float) -> Outcome:
        url = self._routers[next(self._turns) % len(self._routers)]
        client = self._clients[url, ask.account]
        body: dict[str, Any] = {'model': fleet.MODEL, 'prompt': ask.prompt}
        if self._contender.knows_lengths:
            body['max_tokens'] = ask.tokens
        headers = {PROFILE_HEADER: ask.kind.profile}
        answer = caller.Response()
        failure = ''
        try:
            await caller.generate(client, body, headers, answer=answer)
        except httpx2.HTTPError as exc:
            failure = repr(exc)
            answer.status = 0
            answer.ended = time.monotonic()
        return Outcome(
            ask=ask,
            status=answer.status,
            whole=answer.is_complete and len(answer.texts) == ask.tokens,
            stall_s=answer.stall_s,
            first_s=answer.first_token_s,
            gap_s=answer.max_gap_s,
            took_s=answer.ended - answer.sent_at,
            ended_s=answer.ended - began,
            tokens=len(answer.texts),
            retry_after=_names_return(answer),
            error=failure or str(answer.error or ''),
        )


def _names_return(answer: caller.Response) -> bool:
    error = answer.error or {}
    inner = error.get('error', {}) if isinstance(error, dict) else {}
    return bool(inner.get('retry_after_ms') or inner.get('advice'))


async def preemptions(cluster: cluster_lib.Cluster) -> int:
    """Preemptions of all engines since their start."""
    audits = [await cluster.audit(name) for name in cluster.upstreams]
    return sum(audit['preemptions'] for audit in audits)
