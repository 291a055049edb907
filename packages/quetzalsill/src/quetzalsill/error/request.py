"""Errors of a request, as they are reported to the caller."""

from __future__ import annotations

from quetzalsill.error import base

__all__ = [
    'BY_CODE',
    'BadRequestError',
    'CancelledError',
    'ConflictError',
    'DeadlineError',
    'ForbiddenError',
    'LimitError',
    'NoUpstreamError',
    'NotFoundError',
    'OutcomeUnknownError',
    'OverloadedError',
    'RequestError',
    'ShuttingDownError',
    'StaleRevisionError',
    'StoreUnavailableError',
    'SupersededError',
    'TooLargeError',
    'UnauthorizedError',
    'UnknownModelError',
    'UnknownProfileError',
    'UnknownRequestError',
    'UpstreamFailedError',
    'UpstreamLeavingError',
    'from_code',
]


class RequestError(base.QuetzalsillError):
    """A request ended without a complete response.

    Attributes:
      status: HTTP status sent to the caller.
      ran: Whether the work ran; only `Ran.NO` permits another dispatch.
      retry_after_s: Seconds after which a retry may succeed; None if a retry
        does not help.
      request: Id of the request; empty if none was assigned.
    """

    code = 'request_failed'
    status = 500
    ran = base.Ran.NO
    request = ''

    def __init__(
        self,
        detail: str = '',
        *,
        ran: base.Ran | None = None,
        retry_after_s: float | None = None,
        advice: str | None = None,
    ) -> None:
        super().__init__(detail, advice=advice)
        if ran is not None:
            self.ran = ran
        self.retry_after_s = retry_after_s


class BadRequestError(RequestError):
    """The request is malformed."""

    code = 'bad_request'
    status = 400
    advice = 'Correct the named field and send the request again.'


class UnauthorizedError(RequestError):
    """The bearer token is missing or unknown."""

    code = 'unauthorized'
    status = 401
    advice = 'Send the client account token as "Authorization: Bearer TOKEN".'


class ForbiddenError(RequestError):
    """The credential is known but its role does not permit the call."""

    code = 'forbidden'
    status = 403
    advice = 'Use a credential with the role that the call needs.'


class NotFoundError(RequestError):
    """The request, path or object does not exist."""

    code = 'not_found'
    status = 404
    advice = 'Check the path and the names in it.'


class UnknownRequestError(NotFoundError):
    """The request is not stored: it never existed or was removed."""

    ran = base.Ran.UNKNOWN
    advice = 'This says nothing of whether it ran.'


class UnknownModelError(NotFoundError):
    """The configuration does not contain the model."""

    code = 'unknown_model'
    advice = 'GET /v1/models lists the models.'


class UnknownProfileError(BadRequestError):
    """The configuration does not contain the profile."""

    code = 'unknown_profile'


class ConflictError(RequestError):
    """An idempotency key was reused for another body, or an edit conflicts."""

    code = 'conflict'
    status = 409


class TooLargeError(RequestError):
    """The body or an argument exceeds its limit."""

    code = 'too_large'
    status = 413


class LimitError(RequestError):
    """The client account exceeds one of its limits."""

    code = 'limit_exceeded'
    status = 429


class OverloadedError(RequestError):
    """No upstream can accept the request in time."""

    code = 'overloaded'
    status = 503


class NoUpstreamError(RequestError):
    """No live upstream serves the model or service."""

    code = 'no_upstream'
    status = 503


class ShuttingDownError(RequestError):
    """The process accepts no new work because it is shutting down."""

    code = 'shutting_down'
    status = 503


class UpstreamLeavingError(RequestError):
    """The upstream accepts no new work because it is leaving."""

    code = 'upstream_leaving'
    status = 503


class StaleRevisionError(RequestError):
    """The dispatch is based on an outdated configuration."""

    code = 'stale_revision'
    status = 503


class SupersededError(RequestError):
    """The same request has a newer owner or attempt."""

    code = 'superseded'
    status = 409


class StoreUnavailableError(RequestError):
    """The platform's store did not respond, so nothing was accepted."""

    code = 'store_unavailable'
    status = 503


class DeadlineError(RequestError):
    """The request cannot meet, or did not meet, its deadline."""

    code = 'deadline_exceeded'
    status = 504


class CancelledError(RequestError):
    """The caller or an operator cancelled the request."""

    code = 'cancelled'
    status = 409


class UpstreamFailedError(RequestError):
    """The upstream failed after it had received the work."""

    code = 'upstream_failed'
    status = 502
    ran = base.Ran.YES


class OutcomeUnknownError(RequestError):
    """The work was sent, and it is unknown whether it ran."""

    code = 'outcome_unknown'
    status = 504
    ran = base.Ran.UNKNOWN
    advice = 'Ask GET /v1/requests/{id} later for the settled outcome.'


BY_CODE: dict[str, type[RequestError]] = {
  cls.code: cls
  for cls in (
    RequestError, BadRequestError, UnauthorizedError, ForbiddenError,
    NotFoundError, UnknownModelError, UnknownProfileError, ConflictError,
    TooLargeError, LimitError, OverloadedError, NoUpstreamError,
    ShuttingDownError, UpstreamLeavingError, StaleRevisionError,
    SupersededError, StoreUnavailableError, DeadlineError, CancelledError,
    UpstreamFailedError, OutcomeUnknownError,
  )
}  # fmt: skip


def from_code(
    code: str,
    detail: str,
    ran: base.Ran,
    retry_after_s: float | None = None,
) -> RequestError:
    """Recreates an error that another process reported by its code."""
    cls = BY_CODE.get(code, RequestError)
    return cls(detail, ran=ran, retry_after_s=retry_after_s)
