"""Terminal messages for failures on the upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.wire import message

if TYPE_CHECKING:
    from quetzalsill_sidecar import error

__all__ = ['failed', 'from_status']

REFUSAL_CODES = {
    429: request_error.OverloadedError.code,
    503: request_error.OverloadedError.code,
    404: request_error.NoUpstreamError.code,
}
FORBIDDEN = b'"forbidden"'


def failed(
    attempt: str,
    code: str,
    detail: str,
    ran: base.Ran = base.Ran.YES,
    *,
    gone: bool = False,
) -> message.Failed:
    """Returns the terminal of a started attempt that failed."""
    return message.Failed(attempt, code, detail, ran.value, gone)


def from_status(attempt: str, exc: error.UpstreamStatusError) -> message.Failed:
    """Returns the terminal for an error status in response to a start."""
    status = exc.status
    if status == 409 and FORBIDDEN in exc.body:
        return failed(
            attempt, request_error.CancelledError.code, exc.detail, base.Ran.NO
        )
    if status in REFUSAL_CODES:
        return failed(attempt, REFUSAL_CODES[status], exc.detail, base.Ran.NO)
    if status in (400, 413, 422):
        return failed(
            attempt, request_error.BadRequestError.code, exc.detail, base.Ran.NO
        )
    return failed(attempt, request_error.UpstreamFailedError.code, exc.detail)
