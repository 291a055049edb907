"""Callers that ask without pause, and what the processes say of it."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import re

import httpx2

from quetzalsill_dev import board, caller
from tests.failure import asking

STARTED = re.compile(r'event=attempt_started\b.*\battempt=(\S+)')
WORKERS = 8
TOKENS = 5
# Pause between requests that wait for one to reach an engine. Longer than an
# engine takes to begin an answer.
ASK_S = 0.1
FIRST_ASKED = 6


def prompt(name, tokens=TOKENS):
    """A prompt whose answer has so many tokens."""
    return f'{name} [[tokens={tokens}]]'


def digest(name, tokens=TOKENS):
    """Digest of a prompt as the engine's audit gives it."""
    plain = prompt(name, tokens).encode()
    return hashlib.sha256(plain).hexdigest()[: asking.DIGEST_LENGTH]


async def generate(
    router, name, tokens=TOKENS, profile='', answer=None, key=''
):
    """Asks one router for a generation."""
    headers = {'x-quetzalsill-profile': profile} if profile else {}
    if key:
        headers['idempotency-key'] = key
    body = {'model': board.MODEL, 'prompt': prompt(name, tokens)}
    token = board.TOKENS['retailers']
    async with caller.open_client(router.url, token) as client:
        return await caller.generate(client, body, headers, answer=answer)


def ask(*args, **named):
    """Asks in a task; gives it with the answer that it fills meanwhile."""
    answer = caller.Response()
    task = asyncio.create_task(generate(*args, answer=answer, **named))
    return task, answer


class Traffic:
    """Prompt requests and orders at all routers, again and again.

    Attributes:
      answers: Answers to generations so far.
      orders: What the callers of orders were told, by the order's name.
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
        await self.go_on()
        return self

    async def __aexit__(self, *exc):
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def go_on(self, count=15):
        """Waits until so many more generations and orders are answered."""
        wanted = [len(self.answers) + count, len(self.orders) + count]

        async def answered():
            have = [len(self.answers), len(self.orders)]
            return all(h >= w for h, w in zip(have, wanted, strict=True))

        await asking.until(answered)

    def assert_served(self, case):
        """Checks that every caller got its whole answer."""
        for answer in self.answers:
            case.assertEqual(answer.status, 200, answer.error)
            case.assertTrue(answer.is_complete, answer)
        for name, told in self.orders.items():
            case.assertTrue(told.answered, (name, told))

    async def _generate(self):
        while not self._stopped:
            name = f'traffic-{next(self._names)}'
            self.answers.append(await generate(next(self._routers), name))

    async def _order(self):
        while not self._stopped:
            name = f'traffic-{next(self._names)}'
            self.orders[name] = await asking.order(next(self._routers), name)


def started(process, since=0):
    """Attempts that a sidecar said it started, from a place in its log."""
    return STARTED.findall(process.log_text()[since:])


async def logged(process, *words):
    """Waits for a line with all these words; gives where the log stood."""

    async def found():
        place = 0
        for line in process.log_text().splitlines(keepends=True):
            if all(word in line for word in words):
                return place + 1
            place += len(line)
        return 0

    return await asking.until(found) - 1


async def runs(cluster):
    """All runs of the engines that can be asked, by upstream."""
    found = {}
    for name, process in cluster.upstreams.items():
        if process.running and 'model' in name:
            found[name] = (await cluster.audit(name))['runs']
    return found


async def until_sent(cluster, tokens, *names):
    """Waits until an engine has each of these prompts."""
    wanted = {digest(name, tokens) for name in names}

    async def sent():
        found = await runs(cluster)
        return wanted <= {
            run['prompt_digest'] for each in found.values() for run in each
        }

    await asking.until(sent)


async def until_running(cluster, upstream, count):
    """Waits until an engine is in the middle of so many generations."""

    async def found():
        return await _under_way(cluster, upstream) >= count

    await asking.until(found)


async def ask_until_running(cluster, router, upstream, name, tokens):
    """Asks until an engine is in the middle of an answer; gives all asked.

    Which engine gets a request is the router's choice, made by loads that it
    was told some time ago: all of the first few may go to other engines. Each
    one there makes it dearer, so that the next go to this one.
    """
    asked = [ask(router, f'{name}-{n}', tokens) for n in range(FIRST_ASKED)]

    async def found():
        await asyncio.sleep(ASK_S)
        if await _under_way(cluster, upstream):
            return True
        asked.append(ask(router, f'{name}-{len(asked)}', tokens))
        return False

    await asking.until(found)
    return asked


async def _under_way(cluster, upstream):
    audit = await cluster.audit(upstream)
    return sum(map(_is_under_way, audit['runs']))


def _is_under_way(run):
    return run['tokens'] and not (run['finished'] or run['cancelled'])


async def nodes(router):
    """What a router tells of each upstream's sidecar."""
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


async def until_state(routers, wanted, names=()):
    """Waits until all these routers see upstreams (or all) in a state."""

    async def seen():
        for router in routers:
            found = await nodes(router)
            states = {name: _state(node) for name, node in found.items()}
            if {states.get(name) for name in names or found} != {wanted}:
                return False
        return True

    await asking.until(seen)


async def drain(router, name, undo=False):
    """Drains an upstream as an operator; gives the revision that does."""
    path = f'/admin/v1/upstreams/{name}/{"undrain" if undo else "drain"}'
    async with caller.open_client(router.url, board.OPERATOR_TOKEN) as client:
        found = (await client.get('/admin/v1/config')).json()
        headers = {'if-match': f'"{found["revision"]}"'}
        response = await client.post(path, headers=headers)
    return response.raise_for_status().json()['revision']


async def readiness(router):
    """Status of `/readyz`; 0 if nobody listens."""
    with contextlib.suppress(httpx2.TransportError):
        async with caller.open_client(router.url) as client:
            return (await client.get('/readyz')).status_code
    return 0
