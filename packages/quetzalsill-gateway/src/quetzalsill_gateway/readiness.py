"""Serves the load balancer's readiness check, metrics and operators."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from quetzalsill.telemetry import metric
from quetzalsill_gateway.quarantine import api

if TYPE_CHECKING:
    from quetzalsill_gateway.http import listener, message
    from quetzalsill_gateway.http import responder as responder_lib
    from quetzalsill_gateway.quarantine import quarantine as quarantine_lib

__all__ = ['METRICS_PATH', 'make_handler']

METRICS_PATH = b'/metrics'
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


def make_handler(
    path: str,
    is_ready: Callable[[], bool],
    observe: Callable[[], None],
    quarantine: quarantine_lib.Quarantine,
) -> listener.Handler:
    """Returns the HTTP handler for readiness checks, metrics and operators.

    Args:
      path: Path of the readiness check.
      is_ready: Whether callers are accepted.
      observe: Updates the gauges before they are rendered.
      quarantine: Quarantined requests.
    """
    ready_path = path.encode()

    async def handle(
        req: message.Request, responder: responder_lib.Responder
    ) -> None:
        if req.path == ready_path:
            responder.reply(OK if is_ready() else UNAVAILABLE, [])
        elif req.path == METRICS_PATH:
            observe()
            content_type = (b'content-type', metric.CONTENT_TYPE.encode())
            responder.reply(OK, [content_type], metric.render())
        elif req.path.startswith(api.PATH):
            api.handle(quarantine, req, responder)
        else:
            responder.reply(NOT_FOUND, [])

    return handle
