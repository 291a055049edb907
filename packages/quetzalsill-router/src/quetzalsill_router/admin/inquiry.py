"""Shows and cancels callers' requests."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill.telemetry import log
from quetzalsill_router.admin import answer

if TYPE_CHECKING:
    from quetzalsill_router.admin import call as admin_call
    from quetzalsill_router.admin import view

__all__ = ['cancel', 'show']

_LOG = log.get(__name__)


def _reply(found: view.RequestView | None, request: str) -> answer.Reply:
    if found is None:
        raise request_error.NotFoundError(
            f'no request {request} runs in this router',
            advice='Ask the other routers too; only one runs it.',
        )
    return answer.Reply(dataclasses.asdict(found))


async def show(call: admin_call.Call) -> answer.Reply:
    """Gives the state of a request."""
    request = call.name()
    return _reply(await call.context.requests.find(request), request)


async def cancel(call: admin_call.Call) -> answer.Reply:
    """Cancels a request."""
    request = call.name()
    found = await call.context.requests.cancel(request)
    _LOG.info(
        'request_cancelled_by_operator',
        request=request,
        operator=call.operator.name,
        known=found is not None,
    )
    return _reply(found, request)
