"""Failures as callers of the HTTP interface see them."""

from __future__ import annotations

import json
import math

import blacksheep

from quetzalsill.error import base
from quetzalsill.error import request as request_error

__all__ = ['document', 'headers', 'response']

JSON_TYPE = b'application/json'
MILLIS = 1000
TYPES = {
    400: 'invalid_request_error',
    401: 'authentication_error',
    403: 'permission_error',
    404: 'not_found_error',
    409: 'conflict_error',
    413: 'invalid_request_error',
    429: 'rate_limit_error',
}
NOT_RUN = {base.Ran.NO: True, base.Ran.YES: False, base.Ran.UNKNOWN: None}


def document(error: request_error.RequestError, request: str = '') -> bytes:
    """Renders a failure as an OpenAI-shaped JSON document."""
    body = {
        'message': error.detail,
        'type': TYPES.get(error.status, 'server_error'),
        'code': error.code,
        'param': getattr(error, 'param', None),
        'not_run': NOT_RUN[error.ran],
        'advice': error.advice,
        'request_id': request,
    }
    return json.dumps({'error': body}).encode()


def headers(error: request_error.RequestError) -> list[tuple[bytes, bytes]]:
    """Returns the headers that tell a client whether to come back.

    Clients of the OpenAI library resend on 409, 429 and 5xx by themselves.
    Work whose outcome is not known to be "not run" would run twice that
    way, so they are told not to, in the header that they heed.
    """
    may_resend = error.ran is base.Ran.NO and error.retry_after_s is not None
    found = [(b'x-should-retry', b'true' if may_resend else b'false')]
    if error.retry_after_s is not None:
        seconds = max(0.0, error.retry_after_s)
        found.append((b'retry-after', b'%d' % math.ceil(seconds)))
        found.append((b'retry-after-ms', b'%d' % (seconds * MILLIS)))
    return found


def response(
    error: request_error.RequestError, request: str
) -> blacksheep.Response:
    """Builds the whole answer for a failed request."""
    content = blacksheep.Content(JSON_TYPE, document(error, request))
    found = [*headers(error), (b'x-request-id', request.encode())]
    return blacksheep.Response(error.status, found, content)
