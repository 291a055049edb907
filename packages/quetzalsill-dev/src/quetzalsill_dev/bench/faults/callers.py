"""Callers behind a balancer, and what each was told in the end.

Who has an idempotency key repeats its request until it is answered; who has
none takes what it is told. An accepted patient request is asked after until
it is settled.
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

__all__ = ['Callers', 'Told']

OK = 200
PENDING = 202
GIVE_UP_S = 60.0
POLL_S = 0.25
ACCOUNT = 'retailers'


@dataclasses.dataclass(slots=True)
class Told:
    """What became of one request, as its caller knows.

    Attributes:
      ask: The request.
      request: Id, once it was told.
      accepted: It was taken: an answer began, or its acceptance was told.
      status: Last status; 0 if the connection broke.
      code: Code of the failure; empty for an answer.
      not_run: As the failure says; None for unknown or an answer.
      texts: Text of each token.
      stall_s: Longest time with nothing arriving, in seconds; over all
        repeats, and until the whole answer for patient work.
      repeats: How often it was sent again.
    """

    ask: traffic.Ask
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
        """An answer came, whole or not."""
        return self.status == OK and not self.code


class Callers:
    """Callers of a cluster.

    Attributes:
      told: What became of each request, in order of their ends.
    """

    def __init__(self, cluster: cluster_lib.Cluster) -> None:
        self.told: list[Told] = []
        self._cluster = cluster
        self._turns = itertools.count()
        self._stack = contextlib.AsyncExitStack()
        self._clients: dict[str, httpx2.AsyncClient] = {}

    async def __aenter__(self) -> Callers:
        """Opens the clients; routers keep their addresses over restarts."""
        token = board.TOKENS[ACCOUNT]
        for name, router in self._cluster.routers.items():
            client = caller.open_client(router.url, token)
            self._clients[name] = await self._stack.enter_async_context(client)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Closes the clients."""
        await self._stack.aclose()

    async def play(self, asks: Iterable[traffic.Ask]) -> None:
        """Sends each request at its time; returns when all have ended."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for ask in asks:
                await asyncio.sleep(began + ask.at_s - time.monotonic())
                group.create_task(self.serve(ask))

    async def serve(self, ask: traffic.Ask) -> Told:
        """Sends one request and follows it to its end."""
        told = Told(ask)
        asked = time.monotonic()
        while True:
            await self._send(told)
            late = time.monotonic() - asked > GIVE_UP_S
            if late or not ask.key or not _may_repeat(told):
                break
            told.repeats += 1
            await asyncio.sleep(POLL_S)
        if told.status == PENDING:
            await self._fetch(told, asked + GIVE_UP_S)
        if ask.kind.durable or told.repeats:
            told.stall_s = max(told.stall_s, time.monotonic() - asked)
        self.told.append(told)
        return told

    async def _send(self, told: Told) -> None:
        told.status, told.code, told.not_run = 0, '', None
        headers = {}
        if told.ask.kind.profile:
            headers['x-quetzalsill-profile'] = told.ask.kind.profile
        if told.ask.key:
            headers['idempotency-key'] = told.ask.key
        began = time.monotonic()
        with contextlib.suppress(httpx2.TransportError):
            if told.ask.kind.name == traffic.ORDER:
                await self._order(told, headers)
            elif told.ask.kind.durable:
                await self._submit(told, headers)
            else:
                await self._stream(told, headers)
                return
        told.stall_s = max(told.stall_s, time.monotonic() - began)

    async def _order(self, told: Told, headers: dict[str, str]) -> None:
        path = '/services/ordering/orders'
        body = {'id': told.ask.name}
        _take(told, await self._call('POST', path, json=body, headers=headers))

    async def _submit(self, told: Told, headers: dict[str, str]) -> None:
        headers |= {'prefer': 'respond-async'}
        body = {'model': board.MODEL, 'prompt': told.ask.prompt}
        path = '/v1/completions'
        _take(told, await self._call('POST', path, json=body, headers=headers))

    async def _stream(self, told: Told, headers: dict[str, str]) -> None:
        body = {'model': board.MODEL, 'prompt': told.ask.prompt}
        answer = caller.Response()
        try:
            await self._through(
                lambda client: caller.generate(
                    client, body, headers, answer=answer
                )
            )
        finally:
            answer.ended = answer.ended or time.monotonic()
            told.stall_s = max(told.stall_s, answer.stall_s)
            told.accepted |= answer.status == OK
            told.request = answer.request or told.request
        told.status, told.texts = answer.status, answer.texts
        if answer.error is not None:
            _take_error(told, answer.error)

    async def _fetch(self, told: Told, limit: float) -> None:
        """Asks after an accepted request through any router."""
        while time.monotonic() < limit:
            told.code, told.not_run = '', None
            with contextlib.suppress(httpx2.TransportError):
                path = f'/v1/requests/{told.request}'
                _take(told, await self._call('GET', path))
                if told.status != PENDING and told.code != 'store_unavailable':
                    return
            await asyncio.sleep(POLL_S)
        told.code = 'never_settled'

    async def _call(
        self, method: str, path: str, **content: Any
    ) -> httpx2.Response:
        return await self._through(
            lambda client: client.request(method, path, **content)
        )

    async def _through(self, send: Any) -> Any:
        """Sends by the next router that takes connections."""
        turn = next(self._turns)
        clients = list(self._clients.values())
        for number in range(len(clients)):
            client = clients[(turn + number) % len(clients)]
            try:
                return await send(client)
            except httpx2.ConnectError:
                continue
        raise httpx2.ConnectError('no router takes connections')


def _may_repeat(told: Told) -> bool:
    """Whether its key makes it safe and sensible to send it again."""
    if told.status in (OK, PENDING) and not told.code:
        return False
    told_to_wait = told.code in ('conflict', 'store_unavailable')
    return told.status == 0 or told.not_run is True or told_to_wait


def _take(told: Told, response: httpx2.Response) -> None:
    told.status = response.status_code
    if told.status in (OK, PENDING):
        # A failure tells the id of the call that failed, such as a fetch.
        told.accepted = True
        told.request = response.headers['x-request-id']
    body = json.loads(response.content)
    if 'error' in body:
        _take_error(told, body)
    elif 'choices' in body:
        (choice,) = body['choices']
        told.texts = [f'{token} ' for token in choice['text'].split()]


def _take_error(told: Told, body: dict[str, Any]) -> None:
    told.code = body['error']['code']
    told.not_run = body['error']['not_run']
