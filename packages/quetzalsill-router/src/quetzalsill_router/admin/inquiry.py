"""Shows and cancels callers' requests."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill.telemetry import log
from quetzalsill_router.admin import answer
from quetzalsill_router.http import forward
from quetzalsill_router.request import ident

if TYPE_CHECKING:
    from quetzalsill_router.admin import call as admin_call
    from quetzalsill_router.admin import view

__all__ = ['cancel', 'show']

_LOG = log.get(__name__)


async def _reply(
    call: admin_call.Call, found: view.RequestView | None, request: str
) -> answer.Reply:
    """Tells of a request that runs here, or in another router.

    Raises:
      NotFoundError: No router runs it.
      OutcomeUnknownError: None that answers runs it, and some don't answer.
    """
    if found is not None:
        return answer.Reply(dataclasses.asdict(found))
    elsewhere = forward.ForwardResult()
    if ident.is_request_id(request) and not forward.was_forwarded(call.req):
        elsewhere = await call.context.elsewhere(call.req, request)
    if elsewhere.body is not None:
        return answer.Reply(json.loads(elsewhere.body))
    if elsewhere.unreachable:
        raise request_error.OutcomeUnknownError(
            f'no router that answers runs request {request}; silent: '
            f'{", ".join(elsewhere.unreachable)}',
            advice='Repeat the call; a request is cancelled once at most.',
        )
    raise request_error.NotFoundError(f'no router runs a request {request}')


async def show(call: admin_call.Call) -> answer.Reply:
    """Gives the state of a request."""
    request = call.name()
    found = await call.context.requests.find(request)
    return await _reply(call, found, request)


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
    return await _reply(call, found, request)
