"""Continuous client load, and queries of logs, audits and node states."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import re

import httpx2

from quetzalsill_dev import board, caller
from tests.failure import harness

STARTED = re.compile(r'event=attempt_started\b.*\battempt=(\S+)')
WORKERS = 8
TOKENS = 5
# Longer than an engine takes to return the first token.
REQUEST_INTERVAL_S = 0.1
INITIAL_REQUESTS = 6


def prompt(name, tokens=TOKENS):
    """Returns a prompt whose answer has `tokens` tokens."""
    return f'{name} [[tokens={tokens}]]'


def digest(name, tokens=TOKENS):
    """Returns the digest of a prompt as in the engine's audit."""
    encoded = prompt(name, tokens).encode()
    return hashlib.sha256(encoded).hexdigest()[: harness.DIGEST_LENGTH]


async def generate(
    router, name, tokens=TOKENS, profile='', answer=None, key=''
):
    """Requests a generation from a router."""
    headers = {'x-quetzalsill-profile': profile} if profile else {}
    if key:
        headers['idempotency-key'] = key
    body = {'model': board.MODEL, 'prompt': prompt(name, tokens)}
    token = board.TOKENS['retailers']
    async with caller.open_client(router.url, token) as client:
        return await caller.generate(client, body, headers, answer=answer)


def start_generation(*args, **options):
    """Starts a generation; returns its task and the growing answer."""
    answer = caller.Response()
    task = asyncio.create_task(generate(*args, answer=answer, **options))
    return task, answer


class Traffic:
    """Continuous generations and orders at all routers.

    Attributes:
      answers: Answers to generations so far.
      orders: Results of orders so far, by name.
    """

    _names = itertools.count(1)

    def __init__(self, routers):
        self._routers = itertools.cycle(routers)
        self._tasks = []
        self._stopped = False
        self.answers = []
        self.orders = {}

    async def __aenter__(self):
        self._tasks = [
            asyncio.create_task(work())
            for work in [self._generate, self._order] * (WORKERS // 2)
        ]
        await self.wait_for_more()
        return self

    async def __aexit__(self, *exc):
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def wait_for_more(self, count=15):
        """Waits until `count` more generations and orders are answered."""
        wanted = [len(self.answers) + count, len(self.orders) + count]

        async def enough_answered():
            have = [len(self.answers), len(self.orders)]
            return all(h >= w for h, w in zip(have, wanted, strict=True))

        await harness.wait_until(enough_answered)

    def assert_served(self, case):
        """Checks that every client received a complete answer."""
        for answer in self.answers:
            case.assertEqual(answer.status, 200, answer.error)
            case.assertTrue(answer.is_complete, answer)
        for name, result in self.orders.items():
            case.assertTrue(result.succeeded, (name, result))

    async def _generate(self):
        while not self._stopped:
            name = f'traffic-{next(self._names)}'
            self.answers.append(await generate(next(self._routers), name))

    async def _order(self):
        while not self._stopped:
            name = f'traffic-{next(self._names)}'
            self.orders[name] = await harness.send_order(
                next(self._routers), name
            )


def started_attempts(process, start=0):
    """Attempts that a sidecar logged as started, from a log position."""
    return STARTED.findall(process.log_text()[start:])


async def wait_for_log(process, *words):
    """Waits for a log line with all these words; returns its position."""

    async def found():
        position = 0
        for line in process.log_text().splitlines(keepends=True):
            if all(word in line for word in words):
                return position + 1
            position += len(line)
        return 0

    return await harness.wait_until(found) - 1


async def runs_by_upstream(cluster):
    """All runs of the running engines, by upstream."""
    found = {}
    for name, process in cluster.upstreams.items():
        if process.running and 'model' in name:
            found[name] = (await cluster.audit(name))['runs']
    return found


async def wait_until_sent(cluster, tokens, *names):
    """Waits until each of these prompts has reached an engine."""
    wanted = {digest(name, tokens) for name in names}

    async def sent():
        found = await runs_by_upstream(cluster)
        return wanted <= {
            run['prompt_digest'] for each in found.values() for run in each
        }

    await harness.wait_until(sent)


async def wait_until_running(cluster, upstream, count):
    """Waits until an engine has `count` generations in progress."""

    async def found():
        return await _count_running(cluster, upstream) >= count

    await harness.wait_until(found)


async def start_until_running(cluster, router, upstream, name, tokens):
    """Starts requests until one is in progress on an engine; returns them all.

    The router chooses engines by load reports that may be stale, so the first
    few requests may all go to other engines. Each of them raises the load
    there, so that later ones go to this engine.
    """
    requests = [
        start_generation(router, f'{name}-{n}', tokens)
        for n in range(INITIAL_REQUESTS)
    ]

    async def found():
        await asyncio.sleep(REQUEST_INTERVAL_S)
        if await _count_running(cluster, upstream):
            return True
        requests.append(
            start_generation(router, f'{name}-{len(requests)}', tokens)
        )
        return False

    await harness.wait_until(found)
    return requests


async def _count_running(cluster, upstream):
    audit = await cluster.audit(upstream)
    return sum(map(_is_running, audit['runs']))


def _is_running(run):
    return run['tokens'] and not (run['finished'] or run['cancelled'])


async def sidecar_nodes(router):
    """Returns a router's view of each sidecar, by upstream."""
    async with caller.open_client(router.url, board.OPERATOR_TOKEN) as client:
        found = (await client.get('/admin/v1/nodes')).json()
    return {
        node['name']: node
        for node in found['nodes']
        if node['kind'] == 'sidecar'
    }


def _state(node):
    load = node['load']
    if node['state'] != 'live':
        return node['state']
    ready = load and load['healthy']
    if 'model' in node['name']:
        ready = ready and load['models']
    return 'live' if ready else 'unhealthy'


async def wait_for_state(routers, wanted, names=()):
    """Waits until all routers see the upstreams (default: all) in a state."""

    async def seen():
        for router in routers:
            found = await sidecar_nodes(router)
            states = {name: _state(node) for name, node in found.items()}
            if {states.get(name) for name in names or found} != {wanted}:
                return False
        return True

    await harness.wait_until(seen)


async def drain(router, name, undo=False):
    """Drains an upstream as an operator; returns the new revision."""
    path = f'/admin/v1/upstreams/{name}/{"undrain" if undo else "drain"}'
    async with caller.open_client(router.url, board.OPERATOR_TOKEN) as client:
        found = (await client.get('/admin/v1/config')).json()
        headers = {'if-match': f'"{found["revision"]}"'}
        response = await client.post(path, headers=headers)
    return response.raise_for_status().json()['revision']


async def readiness(router):
    """Status of `/readyz`; 0 if the connection fails."""
    with contextlib.suppress(httpx2.TransportError):
        async with caller.open_client(router.url) as client:
            return (await client.get('/readyz')).status_code
    return 0
