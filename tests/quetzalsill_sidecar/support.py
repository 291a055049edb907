"""Parts that the tests of the sidecar share."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import socket
from typing import TYPE_CHECKING

import uvicorn

from quetzalsill.config import document, model
from quetzalsill.plugin import registry as registry_lib
from quetzalsill.settings import section
from quetzalsill.wire import dial, message
from quetzalsill_dev import relay as relay_lib
from quetzalsill_dev.engine_standin import app as engine_app
from quetzalsill_dev.engine_standin import completion
from quetzalsill_dev.engine_standin import engine as engine_lib
from quetzalsill_dev.engine_standin import model as model_lib
from quetzalsill_sidecar import plugin
from quetzalsill_sidecar import settings as settings_lib
from quetzalsill_sidecar import sidecar as sidecar_lib
from quetzalsill_sidecar.upstream import http as upstream_http

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from quetzalsill.wire import link as link_lib

MODEL = 'planner'
CREDENTIAL = 'secret'
TIMEOUT_S = 10.0

_attempt_numbers = itertools.count(1)


def registry() -> registry_lib.Registry:
    """A registry that holds the sidecar's plug-ins alone."""
    plugins = registry_lib.Registry()
    plugin.register(plugins)
    plugins.add(
        'admission', 'one', lambda view, _: not view.running, 'One at a time.'
    )
    return plugins


def configuration(**policies: object) -> bytes:
    """The document of a small configuration."""
    return document.render(
        model.Configuration(
            profiles={
                'prompt': model.Profile(priority=0, uses_headroom=True),
                'patient': model.Profile(priority=8, durable=True),
            },
            models={MODEL: model.Model()},
            accounts={'apapa': model.Account()},
            policies=model.Policies(**policies),
        )
    )


def settings(url: str, kind: str = 'model', **timing: float):
    """Settings of a sidecar with short bounds."""
    bounds = {
        'stall_s': 1.0,
        'resume_s': 2.0,
        'poll_s': 0.05,
        'queued_orphan_s': 0.2,
        'orphan_s': 5.0,
        'grace_s': 10.0,
    }
    return settings_lib.SidecarSettings(
        node=section.Node('ikeja-side-1', 'ikeja-hall'),
        upstream=settings_lib.UpstreamTarget('ikeja-planner-1', url, kind),
        credential=CREDENTIAL,
        platform=section.Platform(url, url, url),
        link=section.LinkTiming(idle_s=0.2, silence_s=2.0),
        timing=settings_lib.Timing(**(bounds | timing)),
    )


@contextlib.asynccontextmanager
async def serve_app(
    app: object, port: int = 0, http: object = 'auto'
) -> AsyncIterator[str]:
    """Serves an ASGI application; gives its URL."""
    listener = socket.create_server(('127.0.0.1', port))
    cfg = uvicorn.Config(
        app,
        http=http,
        loop='none',
        log_level='critical',
        timeout_graceful_shutdown=0,
    )
    server = uvicorn.Server(cfg)
    server.capture_signals = contextlib.nullcontext
    task = asyncio.create_task(server.serve([listener]))
    try:
        yield f'http://127.0.0.1:{listener.getsockname()[1]}'
    finally:
        server.should_exit = True
        await task


@contextlib.asynccontextmanager
async def engine(port: int = 0, **options: object):
    """Serves an engine stand-in; gives it and its URL."""
    stand_in = engine_lib.Engine(
        engine_lib.EngineOptions(models=[MODEL], **options)
    )
    async with serve_app(engine_app.make_app(stand_in), port) as url:
        yield stand_in, url


@contextlib.asynccontextmanager
async def sidecar(
    url: str,
    kind: str = 'model',
    policies: dict[str, object] | None = None,
    **timing: float,
) -> AsyncIterator[sidecar_lib.Sidecar]:
    """Runs a sidecar inside this process.

    A fault in a callback or a forgotten task, which asyncio only logs, fails
    the test.
    """
    faults: list[dict[str, object]] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: faults.append(context))
    running = sidecar_lib.Sidecar(settings(url, kind, **timing), registry())
    running.configuration.install(configuration(**(policies or {})), 1)
    await running.start()
    try:
        yield running
    finally:
        await running.stop()
        loop.set_exception_handler(None)
    if faults:
        raise AssertionError(faults)


@dataclasses.dataclass(slots=True)
class Router:
    """Router's end of a link; keeps what came and hands it out by attempt."""

    link: link_lib.Link
    inboxes: dict[str, asyncio.Queue]
    others: asyncio.Queue
    task: asyncio.Task | None = None

    @property
    def incarnation(self) -> int:
        return self.link.peer.incarnation

    async def read(self) -> None:
        with contextlib.suppress(Exception):
            async for msg in self.link.messages():
                attempt = getattr(msg, 'attempt', None)
                if attempt is None:
                    self.others.put_nowait(msg)
                else:
                    self.inbox(attempt).put_nowait(msg)

    def inbox(self, attempt: str) -> asyncio.Queue:
        return self.inboxes.setdefault(attempt, asyncio.Queue())

    async def receive(self, attempt: str) -> message.Message:
        """The next message about an attempt."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.inbox(attempt).get()

    async def receive_other(self, kind: type) -> message.Message:
        """The next message of a kind that is about no attempt."""
        async with asyncio.timeout(TIMEOUT_S):
            while not isinstance(msg := await self.others.get(), kind):
                pass
            return msg

    async def receive_all(self, attempt: str) -> list[message.Message]:
        """Messages about an attempt up to its terminal."""
        terminals = (
            message.Refused,
            message.Withdrawn,
            message.Finished,
            message.Failed,
        )
        messages = [await self.receive(attempt)]
        while not isinstance(messages[-1], terminals):
            messages.append(await self.receive(attempt))
        return messages

    def send(self, msg: message.Message) -> None:
        self.link.send_nowait(msg)

    def dispatch(self, **changes: object) -> str:
        """Sends a Dispatch; gives its attempt id."""
        sent = make_dispatch(**({'incarnation': self.incarnation} | changes))
        self.send(sent)
        return sent.attempt


@contextlib.asynccontextmanager
async def router(port: int, revision: int = 1) -> AsyncIterator[Router]:
    """Dials a sidecar as a router would."""
    hello = message.Hello(
        message.VERSION, 'entry-1', 7, CREDENTIAL, 'ikeja-hall', revision
    )
    timing = section.LinkTiming(idle_s=0.2, silence_s=5.0)
    link = await dial.dial('127.0.0.1', port, hello, timing)
    connected = Router(link, {}, asyncio.Queue())
    connected.task = asyncio.create_task(connected.read())
    try:
        yield connected
    finally:
        link.close()
        connected.task.cancel()


def make_dispatch(
    incarnation: int, tokens: int = 5, **changes: object
) -> message.Dispatch:
    """A Dispatch of a prompt completion of `tokens` tokens."""
    number = next(_attempt_numbers)
    dispatch = message.Dispatch(
        attempt=f'entry-1/7/{number}',
        request=f'request-{number}',
        incarnation=incarnation,
        revision=1,
        fence=0,
        account='apapa',
        profile='prompt',
        model=MODEL,
        kind='completion',
        method='POST',
        path='',
        headers=[],
        payload=prompt(tokens),
        body_open=False,
        idempotent=True,
        remaining_ms=60_000,
        queue_ms=30_000,
        prompt_tokens=8,
        max_tokens=4000,
        prefix='',
        recover=False,
        credit=10_000,
        trace='',
    )
    return dataclasses.replace(dispatch, **changes)


def prompt(tokens: int) -> bytes:
    """Payload whose answer has that many tokens."""
    return json.dumps({'prompt': f'plan [[tokens={tokens}]]'}).encode()


def indexes(messages: list[message.Message]) -> list[int]:
    """Token indexes that chunks carried, in order of arrival."""
    return [
        json.loads(item)['index']
        for msg in messages
        if isinstance(msg, message.Chunk)
        for item in msg.items
    ]


def generations(messages: list[message.Message]) -> set[int]:
    """Generations whose tokens chunks carried."""
    return {
        json.loads(item)['generation']
        for msg in messages
        if isinstance(msg, message.Chunk)
        for item in msg.items
    }


def costs(token_s: float) -> model_lib.Costs:
    """Costs of an engine that makes a token in about that time."""
    return model_lib.Costs(base_s=token_s)


def upstream(**changes: object) -> model.Upstream:
    """The upstream of these tests as the configuration has it."""
    spec = {
        'kind': 'model',
        'sidecar': '127.0.0.1:1',
        'availability_zone': 'ikeja-hall',
    }
    return model.Upstream(**(spec | changes))


async def start_relay(url: str) -> relay_lib.Relay:
    """A relay to a URL; the caller stops it."""
    origin = upstream_http.Origin.parse(url)
    relay = relay_lib.Relay(origin.host, origin.port)
    await relay.start()
    return relay


def url_of(relay: relay_lib.Relay) -> str:
    """URL at which a relay listens."""
    return f'http://127.0.0.1:{relay.port}'


def start_on_engine(engine: engine_lib.Engine, attempt: str) -> None:
    """Lets the request of an attempt arrive at an engine."""
    body = {'request_id': attempt, 'model': MODEL, 'prompt': 'late'}
    engine.start(completion.parse(body, chat=False))


async def wait_until(condition: Callable[[], object]) -> None:
    """Waits for a condition that no message tells of."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)
