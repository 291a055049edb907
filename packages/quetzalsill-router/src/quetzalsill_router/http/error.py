"""Error responses of the HTTP API."""

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
    """Encodes an error as an OpenAI-compatible JSON document."""
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
    """Returns the headers that tell a client whether to retry.

    The OpenAI client library retries on 409, 429 and 5xx by default. Work that
    is not known to be "not run" could then run twice, so `x-should-retry`,
    which the library honors, disables the retry.
    """
    may_retry = error.ran is base.Ran.NO and error.retry_after_s is not None
    result = [(b'x-should-retry', b'true' if may_retry else b'false')]
    if error.retry_after_s is not None:
        seconds = max(0.0, error.retry_after_s)
        result.append((b'retry-after', b'%d' % math.ceil(seconds)))
        result.append((b'retry-after-ms', b'%d' % (seconds * MILLIS)))
    return result


def response(
    error: request_error.RequestError, request: str
) -> blacksheep.Response:
    """Builds the error response of a failed request."""
    content = blacksheep.Content(JSON_TYPE, document(error, request))
    all_headers = [*headers(error), (b'x-request-id', request.encode())]
    return blacksheep.Response(error.status, all_headers, content)
