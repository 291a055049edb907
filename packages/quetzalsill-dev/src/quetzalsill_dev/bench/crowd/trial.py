"""One trial: sends requests to a cluster and records the outcomes."""

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

__all__ = ['LoadGenerator', 'Outcome', 'preemptions']

PROFILE_HEADER = 'X-Quetzalsill-Profile'


@dataclasses.dataclass(slots=True)
class Outcome:
    """Outcome of one request.

    Attributes:
      request: The request.
      status: HTTP status; 0 if the connection failed.
      is_complete: Whether the complete answer arrived.
      stall_s: Longest time without any data arriving.
      first_s: Time to the first token.
      gap_s: Longest time between two tokens.
      took_s: Time to the end of the answer.
      ended_s: When it ended, in seconds from the start of the run.
      tokens: Number of tokens received.
      retry_after: Whether a refusal said when to retry.
      error: Error response or connection failure; empty if neither.
    """

    request: mix.Request
    status: int
    is_complete: bool
    stall_s: float
    first_s: float
    gap_s: float
    took_s: float
    ended_s: float
    tokens: int
    retry_after: bool
    error: str = ''

    def describe(self) -> str:
        """Returns one line that describes an incomplete answer."""
        request = self.request
        return (
            f'{request.kind.profile} of {request.account} sent at '
            f'{request.at_s:.1f} s: status {self.status}, {self.tokens} of '
            f'{request.tokens} tokens in {self.took_s:.1f} s; '
            f'{self.error or "no error"}'
        )


class LoadGenerator:
    """Sends requests to a cluster, with one client per router and account."""

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

    async def __aenter__(self) -> LoadGenerator:
        """Opens the clients."""
        for url, account in itertools.product(self._routers, self._accounts):
            client = caller.open_client(url, fleet.token_of(account))
            self._clients[url, account] = client
            await self._stack.enter_async_context(client)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Closes the clients."""
        await self._stack.aclose()

    async def run(
        self, requests: Iterable[mix.Request], until_s: float
    ) -> list[Outcome]:
        """Sends each request at its time, independent of earlier responses.

        Requests that have not ended at `until_s` are cancelled and not
        returned; they count as unfinished.
        """
        began = time.monotonic()
        tasks = []
        for request in requests:
            await asyncio.sleep(began + request.at_s - time.monotonic())
            tasks.append(asyncio.create_task(self._send(request, began)))
        left_s = max(0.0, began + until_s - time.monotonic())
        done, unfinished = await asyncio.wait(tasks, timeout=left_s)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        return [task.result() for task in done]

    async def saturate(
        self,
        requests: Iterable[mix.Request],
        concurrency: int,
        length_s: float,
    ) -> list[Outcome]:
        """Keeps `concurrency` requests in flight for `length_s` seconds."""
        began = time.monotonic()
        source = iter(requests)
        outcomes: list[Outcome] = []

        async def run_caller() -> None:
            for request in source:
                outcomes.append(await self._send(request, began))

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(length_s):
                await asyncio.gather(
                    *(run_caller() for _ in range(concurrency))
                )
        return outcomes

    async def _send(self, request: mix.Request, began: float) -> Outcome:
        url = self._routers[next(self._turns) % len(self._routers)]
        client = self._clients[url, request.account]
        body: dict[str, Any] = {'model': fleet.MODEL, 'prompt': request.prompt}
        if self._contender.knows_lengths:
            body['max_tokens'] = request.tokens
        headers = {PROFILE_HEADER: request.kind.profile}
        answer = caller.Response()
        failure = ''
        try:
            await caller.generate(client, body, headers, answer=answer)
        except httpx2.HTTPError as exc:
            failure = repr(exc)
            answer.status = 0
            answer.ended = time.monotonic()
        return Outcome(
            request=request,
            status=answer.status,
            is_complete=answer.is_complete
            and len(answer.texts) == request.tokens,
            stall_s=answer.stall_s,
            first_s=answer.first_token_s,
            gap_s=answer.max_gap_s,
            took_s=answer.ended - answer.sent_at,
            ended_s=answer.ended - began,
            tokens=len(answer.texts),
            retry_after=_has_retry_advice(answer),
            error=failure or str(answer.error or ''),
        )


def _has_retry_advice(answer: caller.Response) -> bool:
    error = answer.error or {}
    inner = error.get('error', {}) if isinstance(error, dict) else {}
    return bool(inner.get('retry_after_ms') or inner.get('advice'))


async def preemptions(cluster: cluster_lib.Cluster) -> int:
    """Counts the preemptions on all engines since their start."""
    audits = [await cluster.audit(name) for name in cluster.upstreams]
    return sum(audit['preemptions'] for audit in audits)
