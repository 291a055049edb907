"""Callers behind a load balancer, and the final response to each request.

Callers with an idempotency key repeat their request until it is answered;
callers without one accept the first response. The result of an accepted
durable request is polled until it is available.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import time
from typing import TYPE_CHECKING, Any

import httpx2

from quetzalsill_dev import board, caller
from quetzalsill_dev.bench.faults import traffic

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_dev import cluster as cluster_lib

__all__ = ['Callers', 'RequestRecord']

OK = 200
PENDING = 202
GIVE_UP_AFTER_S = 60.0
POLL_INTERVAL_S = 0.25
ACCOUNT = 'retailers'


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """Outcome of one request as seen by its caller.

    Attributes:
      ask: The request.
      request: Request id, once known.
      accepted: Whether an answer began or the acceptance was confirmed.
      status: Last HTTP status; 0 if the connection failed.
      code: Error code; empty for an answer.
      not_run: As stated in the error; None if unknown or for an answer.
      texts: Text of each token.
      stall_s: Longest time without any data arriving, in seconds; over all
        repeats, and until the complete answer for durable work.
      repeats: Number of times it was sent again.
    """

    ask: traffic.Request
    request: str = ''
    accepted: bool = False
    status: int = 0
    code: str = ''
    not_run: bool | None = None
    texts: list[str] = dataclasses.field(default_factory=list)
    stall_s: float = 0.0
    repeats: int = 0

    @property
    def answered(self) -> bool:
        """Whether an answer arrived, complete or not."""
        return self.status == OK and not self.code


class Callers:
    """Callers of a cluster.

    Attributes:
      records: Outcome of each request, in the order of their ends.
    """

    def __init__(self, cluster: cluster_lib.Cluster) -> None:
        self.records: list[RequestRecord] = []
        self._cluster = cluster
        self._turns = itertools.count()
        self._stack = contextlib.AsyncExitStack()
        self._clients: dict[str, httpx2.AsyncClient] = {}

    async def __aenter__(self) -> Callers:
        """Opens the clients; routers keep their addresses across restarts."""
        token = board.TOKENS[ACCOUNT]
        for name, router in self._cluster.routers.items():
            client = caller.open_client(router.url, token)
            self._clients[name] = await self._stack.enter_async_context(client)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Closes the clients."""
        await self._stack.aclose()

    async def run(self, requests: Iterable[traffic.Request]) -> None:
        """Sends each request at its time; returns when all have ended."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for request in requests:
                await asyncio.sleep(began + request.at_s - time.monotonic())
                group.create_task(self.send(request))

    async def send(self, request: traffic.Request) -> RequestRecord:
        """Sends one request and repeats or polls it until it has ended."""
        record = RequestRecord(request)
        sent_at = time.monotonic()
        while True:
            await self._send(record)
            late = time.monotonic() - sent_at > GIVE_UP_AFTER_S
            if late or not request.key or not _may_repeat(record):
                break
            record.repeats += 1
            await asyncio.sleep(POLL_INTERVAL_S)
        if record.status == PENDING:
            await self._poll_result(record, sent_at + GIVE_UP_AFTER_S)
        if request.kind.durable or record.repeats:
            record.stall_s = max(record.stall_s, time.monotonic() - sent_at)
        self.records.append(record)
        return record

    async def _send(self, record: RequestRecord) -> None:
        record.status, record.code, record.not_run = 0, '', None
        headers = {}
        if record.ask.kind.profile:
            headers['x-quetzalsill-profile'] = record.ask.kind.profile
        if record.ask.key:
            headers['idempotency-key'] = record.ask.key
        began = time.monotonic()
        with contextlib.suppress(httpx2.TransportError):
            if record.ask.kind.name == traffic.ORDER:
                await self._send_order(record, headers)
            elif record.ask.kind.durable:
                await self._submit_durable(record, headers)
            else:
                await self._read_stream(record, headers)
                return
        record.stall_s = max(record.stall_s, time.monotonic() - began)

    async def _send_order(
        self, record: RequestRecord, headers: dict[str, str]
    ) -> None:
        path = '/services/ordering/orders'
        body = {'id': record.ask.name}
        _record_response(
            record, await self._call('POST', path, json=body, headers=headers)
        )

    async def _submit_durable(
        self, record: RequestRecord, headers: dict[str, str]
    ) -> None:
        headers |= {'prefer': 'respond-async'}
        body = {'model': board.MODEL, 'prompt': record.ask.prompt}
        path = '/v1/completions'
        _record_response(
            record, await self._call('POST', path, json=body, headers=headers)
        )

    async def _read_stream(
        self, record: RequestRecord, headers: dict[str, str]
    ) -> None:
        body = {'model': board.MODEL, 'prompt': record.ask.prompt}
        answer = caller.Response()
        try:
            await self._send_via_router(
                lambda client: caller.generate(
                    client, body, headers, answer=answer
                )
            )
        finally:
            answer.ended = answer.ended or time.monotonic()
            record.stall_s = max(record.stall_s, answer.stall_s)
            record.accepted |= answer.status == OK
            record.request = answer.request or record.request
        record.status, record.texts = answer.status, answer.texts
        if answer.error is not None:
            _record_error(record, answer.error)

    async def _poll_result(self, record: RequestRecord, limit: float) -> None:
        """Polls the result of an accepted request through any router."""
        while time.monotonic() < limit:
            record.code, record.not_run = '', None
            with contextlib.suppress(httpx2.TransportError):
                path = f'/v1/requests/{record.request}'
                _record_response(record, await self._call('GET', path))
                if (
                    record.status != PENDING
                    and record.code != 'store_unavailable'
                ):
                    return
            await asyncio.sleep(POLL_INTERVAL_S)
        record.code = 'never_settled'

    async def _call(
        self, method: str, path: str, **content: Any
    ) -> httpx2.Response:
        return await self._send_via_router(
            lambda client: client.request(method, path, **content)
        )

    async def _send_via_router(self, send: Any) -> Any:
        """Sends through the next router that accepts connections."""
        turn = next(self._turns)
        clients = list(self._clients.values())
        for number in range(len(clients)):
            client = clients[(turn + number) % len(clients)]
            try:
                return await send(client)
            except httpx2.ConnectError:
                continue
        raise httpx2.ConnectError('no router accepts connections')


def _may_repeat(record: RequestRecord) -> bool:
    """Whether to repeat a request that has an idempotency key."""
    if record.status in (OK, PENDING) and not record.code:
        return False
    must_wait = record.code in ('conflict', 'store_unavailable')
    return record.status == 0 or record.not_run is True or must_wait


def _record_response(record: RequestRecord, response: httpx2.Response) -> None:
    record.status = response.status_code
    if record.status in (OK, PENDING):
        # An error carries the id of the failed call, which may be a poll.
        record.accepted = True
        record.request = response.headers['x-request-id']
    body = json.loads(response.content)
    if 'error' in body:
        _record_error(record, body)
    elif 'choices' in body:
        (choice,) = body['choices']
        record.texts = [f'{token} ' for token in choice['text'].split()]


def _record_error(record: RequestRecord, body: dict[str, Any]) -> None:
    record.code = body['error']['code']
    record.not_run = body['error']['not_run']
