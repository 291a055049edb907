"""HTTP endpoints `/healthz`, `/readyz` and `/metrics` of a sidecar."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import blacksheep

from quetzalsill.net import client_memory, server
from quetzalsill.settings import section
from quetzalsill.telemetry import metric

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzalsill_sidecar import sidecar as sidecar_lib

__all__ = ['make_app', 'serve']

TEXT_TYPE = b'text/plain; charset=utf-8'
STOP_GRACE_S = 1.0


def make_app(sidecar: sidecar_lib.Sidecar) -> blacksheep.Application:
    """Creates the monitoring application of a sidecar."""
    app = blacksheep.Application(router=blacksheep.Router())

    async def healthz(request: blacksheep.Request) -> blacksheep.Response:
        del request
        return _text(200, 'ok')

    async def readyz(request: blacksheep.Request) -> blacksheep.Response:
        del request
        reason = sidecar.leaving.refusal_reason()
        if not reason and not sidecar.load.healthy:
            reason = 'the upstream does not answer'
        if not reason and not sidecar.configuration.revision:
            reason = 'no configuration'
        return _text(503 if reason else 200, reason or 'ready')

    async def metrics(request: blacksheep.Request) -> blacksheep.Response:
        del request
        content_type = metric.CONTENT_TYPE.encode()
        content = blacksheep.Content(content_type, metric.render())
        return blacksheep.Response(200, None, content)

    app.router.add('GET', '/healthz', healthz)
    app.router.add('GET', '/readyz', readyz)
    app.router.add('GET', '/metrics', metrics)
    return app


@contextlib.asynccontextmanager
async def serve(sidecar: sidecar_lib.Sidecar) -> AsyncIterator[None]:
    """Serves the application if the settings specify a port.

    Raises:
      ListenError: The address can't be bound.
    """
    options = sidecar.settings.monitoring
    if not options.port:
        yield
        return
    listen = section.Listen(options.host, options.port)
    http_server = server.HttpServer(
        make_app(sidecar),
        listen,
        options.tls,
        bounds=client_memory.MONITORING_BOUNDS,
    )
    await http_server.start()
    try:
        yield
    finally:
        await http_server.stop(STOP_GRACE_S)


def _text(status: int, text: str) -> blacksheep.Response:
    content = blacksheep.Content(TEXT_TYPE, f'{text}\n'.encode())
    return blacksheep.Response(status, None, content)
