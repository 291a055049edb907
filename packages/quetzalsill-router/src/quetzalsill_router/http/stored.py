"""Responses from stored answers."""

from __future__ import annotations

import json

import blacksheep

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill_router.durable import answer as durable_answer
from quetzalsill_router.http import answer, error, event_id, relay
from quetzalsill_router.request import record

__all__ = ['conflict', 'failure', 'pending', 'render']

JSON_TYPE = b'application/json'
PENDING_RETRY_S = 1


def render(
    request: str, stored: durable_answer.Answer, as_events: bool
) -> blacksheep.Response:
    """Renders a settled answer like the direct response.

    Args:
      request: Id of the request.
      stored: Its settled outcome.
      as_events: Whether to render a generation as server-sent events.
    """
    if stored.code != durable_answer.DONE:
        return error.response(failure(stored), request)
    kind = _header(stored, record.KIND_HEADER)
    if not kind:
        return _call_response(request, stored)
    if as_events:
        events = event_id.make_id_replacer(request)(stored.events)
        data = answer.encode_events(events) + answer.DONE
        content = blacksheep.Content(answer.SSE_TYPE, data)
    else:
        model = _header(stored, record.MODEL_HEADER)
        document = answer.join_events(request, model, kind, stored.events)
        content = blacksheep.Content(JSON_TYPE, document)
    response = blacksheep.Response(200, None, content)
    response.add_header(b'x-request-id', request.encode())
    return response


def failure(stored: durable_answer.Answer) -> request_error.RequestError:
    """Rebuilds the error that a request was settled with."""
    return request_error.from_code(
        stored.code, stored.detail, base.Ran(stored.ran)
    )


def pending(request: str) -> blacksheep.Response:
    """Builds the response for a request that has not ended."""
    document = {'id': request, 'object': 'request', 'status': 'pending'}
    headers = [
        (b'location', f'/v1/requests/{request}'.encode()),
        (b'retry-after', b'%d' % PENDING_RETRY_S),
        (b'x-request-id', request.encode()),
    ]
    content = blacksheep.Content(JSON_TYPE, json.dumps(document).encode())
    return blacksheep.Response(202, headers, content)


def conflict(request: str) -> request_error.ConflictError:
    """Makes the error for a duplicate whose original is still running."""
    error = request_error.ConflictError(
        f'request {request} with this idempotency key has not ended',
        ran=base.Ran.UNKNOWN,
        retry_after_s=PENDING_RETRY_S,
        advice=f'Repeat it later, or ask GET /v1/requests/{request}.',
    )
    error.request = request
    return error


def _call_response(
    request: str, stored: durable_answer.Answer
) -> blacksheep.Response:
    """Renders the stored answer of a service call."""
    body = b''.join(stored.events)
    response = relay.response(stored.status, stored.headers)
    if response.status not in relay.STATUSES_WITHOUT_BODY:
        kind = relay.content_type(stored.headers)
        response.content = blacksheep.Content(kind, body)
    response.add_header(b'x-request-id', request.encode())
    return response


def _header(stored: durable_answer.Answer, name: str) -> str:
    """Returns a header of the stored answer; empty if it is absent."""
    for header_name, value in stored.headers:
        if header_name == name:
            return value
    return ''
