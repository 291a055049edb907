"""Endpoints that show and cancel callers' requests."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill.telemetry import log
from quetzalsill_router.admin import response
from quetzalsill_router.http import forward
from quetzalsill_router.request import ident

if TYPE_CHECKING:
    from quetzalsill_router.admin import call as admin_call
    from quetzalsill_router.admin import view

__all__ = ['cancel', 'show']

_LOG = log.get(__name__)


async def _reply(
    call: admin_call.Call, found: view.RequestView | None, request: str
) -> response.Reply:
    """Returns a request of this router, or asks the other routers for it.

    Raises:
      NotFoundError: No router runs the request.
      OutcomeUnknownError: No router that responded runs it, and some did not
        respond.
    """
    if found is not None:
        return response.Reply(dataclasses.asdict(found))
    forwarded = forward.ForwardResult()
    if ident.is_request_id(request) and not forward.was_forwarded(call.req):
        forwarded = await call.context.forward_to_routers(call.req, request)
    if forwarded.body is not None:
        return response.Reply(json.loads(forwarded.body))
    if forwarded.unreachable:
        raise request_error.OutcomeUnknownError(
            f'no router that answers runs request {request}; silent: '
            f'{", ".join(forwarded.unreachable)}',
            advice='Repeat the call; a request is cancelled once at most.',
        )
    raise request_error.NotFoundError(f'no router runs a request {request}')


async def show(call: admin_call.Call) -> response.Reply:
    """Returns the state of a request."""
    request = call.route_name()
    found = await call.context.requests.find(request)
    return await _reply(call, found, request)


async def cancel(call: admin_call.Call) -> response.Reply:
    """Cancels a request and returns its state."""
    request = call.route_name()
    found = await call.context.requests.cancel(request)
    _LOG.info(
        'request_cancelled_by_operator',
        request=request,
        operator=call.operator.name,
        known=found is not None,
    )
    return await _reply(call, found, request)
