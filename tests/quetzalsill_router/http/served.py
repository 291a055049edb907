"""Serves a router's HTTP API with fake peers on a real listener."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from quetzalsill.net import server
from quetzalsill.settings import section
from quetzalsill_dev import caller
from quetzalsill_router.http import app, asgi
from tests.quetzalsill_router.request import fake

if TYPE_CHECKING:
    import httpx2

    from quetzalsill_router import context

TIMEOUT_S = 20.0
TOKEN = 'retailers-token'


@contextlib.asynccontextmanager
async def serve(
    ctx: context.Context,
) -> AsyncIterator[httpx2.AsyncClient]:
    """Serves `ctx`; yields a client with the configured account's token."""
    served = asgi.wrap(app.build(ctx), lambda: ctx.closes_connections)
    listener = server.HttpServer(served, section.Listen())
    await listener.start()
    url = f'http://127.0.0.1:{listener.port}'
    try:
        async with (
            asyncio.timeout(TIMEOUT_S),
            caller.open_client(url, TOKEN) as client,
        ):
            yield client
    finally:
        for running in ctx.active:
            running.task.cancel()
        await listener.stop(0.0)


def complete_attempt(*texts: str) -> tuple:
    """Returns the messages of an attempt that generates `texts`."""
    items = [fake.event(text) for text in texts]
    return (fake.started(), fake.chunk(0, *items), fake.finished(len(items)))
