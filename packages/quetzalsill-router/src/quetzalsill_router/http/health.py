"""`/healthz`, `/readyz` and `/metrics`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import blacksheep

from quetzalsill.telemetry import metric

if TYPE_CHECKING:
    from quetzalsill_router import context

__all__ = ['mount']

TEXT_TYPE = b'text/plain; charset=utf-8'


def mount(app: blacksheep.Application, ctx: context.Context) -> None:
    """Adds the routes for load balancers and monitoring."""

    async def healthz(request: blacksheep.Request) -> blacksheep.Response:
        del request
        return _text(200, 'ok')

    async def readyz(request: blacksheep.Request) -> blacksheep.Response:
        del request
        if ctx.stopping or not ctx.ready:
            return _text(503, 'stopping')
        if ctx.holder.revision == 0:
            return _text(503, 'no configuration')
        return _text(200, 'ready')

    async def metrics(request: blacksheep.Request) -> blacksheep.Response:
        del request
        content = blacksheep.Content(
            metric.CONTENT_TYPE.encode(), metric.render()
        )
        return blacksheep.Response(200, None, content)

    app.router.add('GET', '/healthz', healthz)
    app.router.add('GET', '/readyz', readyz)
    app.router.add('GET', '/metrics', metrics)


def _text(status: int, text: str) -> blacksheep.Response:
    """Builds a one-line text response."""
    content = blacksheep.Content(TEXT_TYPE, f'{text}\n'.encode())
    return blacksheep.Response(status, None, content)
