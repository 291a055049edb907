"""Client calls and waits for the failure tests, and counts of what ran.

An order goes to the HTTP service, a brief to the model engine; neither may
run twice. The upstream stand-ins count the requests received for each name.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import hashlib

import httpx2

from quetzalsill_dev import board, caller

APP = 'app-ikeja-hall-1'
ENGINE = 'model-ikeja-hall-1'
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
DIGEST_LENGTH = 16
PENDING = 202


@dataclasses.dataclass
class CallResult:
    """Result of a call as the client sees it.

    Attributes:
      status: HTTP status; 0 if the connection broke.
      code: Error code; empty for a successful response.
      not_run: `not_run` of the error; None if unknown.
      request: Request id; empty if there was none.
      body: Decoded response body.
      retry_after: Value of that header; empty if there was none.
    """

    status: int = 0
    code: str = ''
    not_run: bool | None = None
    request: str = ''
    body: object = None
    retry_after: str = ''

    @property
    def succeeded(self):
        """Whether the complete response was received."""
        return self.status == httpx2.codes.OK


async def send_order(router, name, key=''):
    """Sends an order to the HTTP service."""
    return await _post(router, '/services/ordering/orders', {'id': name}, key)


async def send_brief(router, name, key='', profile='brief'):
    """Requests a generation that may not run twice."""
    body = {'model': board.MODEL, 'prompt': _prompt(name)}
    return await _post(router, '/v1/completions', body, key, profile)


async def submit_long_brief(router, name, tokens, profile):
    """Submits an asynchronous generation of `tokens` tokens."""
    body = {'model': board.MODEL, 'prompt': _prompt(name, tokens)}
    headers = {'x-quetzalsill-profile': profile, 'prefer': 'respond-async'}
    return await _send(
        router, 'POST', '/v1/completions', json=body, headers=headers
    )


async def send_scene(router, name, key=''):
    """Requests a durable generation that may not run twice."""
    return await send_brief(router, name, key, 'scene')


async def _post(router, path, body, key, profile=''):
    headers = {'x-quetzalsill-profile': profile} if profile else {}
    if key:
        headers['idempotency-key'] = key
    return await _send(router, 'POST', path, json=body, headers=headers)


async def wait_for_outcome(router, result=None, key=''):
    """Polls a request, by id or idempotency key, until it has an outcome."""
    path = f'/v1/requests?idempotency_key={key}'
    if result is not None:
        path = f'/v1/requests/{result.request}'
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            found = await _send(router, 'GET', path)
            if found.status != PENDING:
                return found
            await asyncio.sleep(POLL_INTERVAL_S)


async def retry(ask, router, name, key):
    """Retries a request under its idempotency key until it has an outcome.

    The key makes this safe after any earlier response.
    """
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            result = await ask(router, name, key)
            if not (result.not_run or result.code == 'conflict'):
                return result
            await asyncio.sleep(POLL_INTERVAL_S)


async def _send(router, method, path, **content):
    token = board.TOKENS['retailers']
    try:
        async with caller.open_client(router.url, token) as client:
            response = await client.request(method, path, **content)
    except httpx2.TransportError:
        return CallResult()
    result = CallResult(
        response.status_code,
        request=response.headers.get('x-request-id', ''),
        body=response.json(),
        retry_after=response.headers.get('retry-after', ''),
    )
    if 'error' in result.body:
        result.code = result.body['error']['code']
        result.not_run = result.body['error']['not_run']
    return result


def _prompt(name, tokens=5):
    return f'{name} [[tokens={tokens}]]'


def digest(name, tokens=5):
    """Returns the digest of a prompt as in the engine's audit."""
    full_digest = hashlib.sha256(_prompt(name, tokens).encode()).hexdigest()
    return full_digest[:DIGEST_LENGTH]


async def send_query(router, name, key=''):
    """Requests a generation that may be repeated."""
    return await send_brief(router, name, key, 'prompt')


async def count_runs(cluster, engines=(ENGINE,)):
    """Counts how often each order and brief reached its upstream."""
    audits = [await cluster.audit(name) for name in engines]
    runs = [run for audit in audits for run in audit['runs']]
    return RunCounts((await cluster.audit(APP))['orders'], runs)


class RunCounts:
    """Counts of what ran, from the audits of the upstreams.

    Attributes:
      attempts: Ids of the attempts that reached an engine.
    """

    def __init__(self, orders, runs):
        self.attempts = {run['request_id'] for run in runs}
        self._orders = orders
        self._briefs = collections.Counter(run['prompt_digest'] for run in runs)

    def count(self, name):
        """Returns how often this order or brief reached its upstream."""
        return self._orders.get(name, 0) + self._briefs[digest(name)]


async def wait_until(check):
    """Polls the coroutine function `check` until its result is true.

    Returns:
      That result.
    """
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            found = await check()
            if found:
                return found
            await asyncio.sleep(POLL_INTERVAL_S)


async def read_count(stand_in, name):
    """Reads a counter of a platform stand-in."""
    async with caller.open_client(stand_in.url) as client:
        return (await client.get('/stand-in/counts')).json().get(name, 0)


async def wait_for_count(stand_in, name, minimum):
    """Waits until a counter of a platform stand-in reaches `minimum`."""

    async def reached():
        return await read_count(stand_in, name) >= minimum

    await wait_until(reached)


async def wait_until_ran(cluster, *names):
    """Waits until each of the named requests has reached its upstream."""

    async def all_ran():
        found = await count_runs(cluster)
        return all(map(found.count, names))

    await wait_until(all_ran)


async def wait_until_served(cluster):
    """Waits until every router serves both upstreams."""

    async def served(router, ask, name):
        return (await ask(router, name)).succeeded

    for router in cluster.routers.values():
        for ask in (send_order, send_brief):
            await wait_until(lambda r=router, a=ask: served(r, a, 'test'))
