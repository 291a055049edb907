"""Failures of a caller's request, as the caller is told of them."""

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
    """A request ends without its whole answer.

    Attributes:
      status: HTTP status told to the caller.
      ran: Whether the work ran; only `Ran.NO` permits another dispatch.
      retry_after_s: Seconds after which coming back helps; None if it
        does not.
      request: Id of the request; empty if it was given none.
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
    """No such request, path or object."""

    code = 'not_found'
    status = 404
    advice = 'Check the path and the names in it.'


class UnknownRequestError(NotFoundError):
    """No such request is kept: there never was one, or it is forgotten."""

    ran = base.Ran.UNKNOWN
    advice = 'This says nothing of whether it ran.'


class UnknownModelError(NotFoundError):
    """The configuration holds no such model."""

    code = 'unknown_model'
    advice = 'GET /v1/models lists the models.'


class UnknownProfileError(BadRequestError):
    """The configuration holds no such profile."""

    code = 'unknown_profile'


class ConflictError(RequestError):
    """An idempotency key came again with another body, or an edit lost."""

    code = 'conflict'
    status = 409


class TooLargeError(RequestError):
    """The body or an argument is over its bound."""

    code = 'too_large'
    status = 413


class LimitError(RequestError):
    """The client account is over one of its limits."""

    code = 'limit_exceeded'
    status = 429


class OverloadedError(RequestError):
    """No upstream can take the request in time."""

    code = 'overloaded'
    status = 503


class NoUpstreamError(RequestError):
    """No live upstream serves the model or service."""

    code = 'no_upstream'
    status = 503


class ShuttingDownError(RequestError):
    """The process takes no new work because it is stopping."""

    code = 'shutting_down'
    status = 503


class UpstreamLeavingError(RequestError):
    """The upstream takes no new work because it is leaving."""

    code = 'upstream_leaving'
    status = 503


class StaleRevisionError(RequestError):
    """The dispatch was made under a configuration that is superseded."""

    code = 'stale_revision'
    status = 503


class SupersededError(RequestError):
    """A newer owner or attempt of the same request exists."""

    code = 'superseded'
    status = 409


class StoreUnavailableError(RequestError):
    """The platform's store did not answer, so nothing was accepted."""

    code = 'store_unavailable'
    status = 503


class DeadlineError(RequestError):
    """The request cannot make, or did not make, its deadline."""

    code = 'deadline_exceeded'
    status = 504


class CancelledError(RequestError):
    """The caller or an operator cancelled the request."""

    code = 'cancelled'
    status = 409


class UpstreamFailedError(RequestError):
    """The upstream failed after work had reached it."""

    code = 'upstream_failed'
    status = 502
    ran = base.Ran.YES


class OutcomeUnknownError(RequestError):
    """Work was sent and nothing proves whether it ran."""

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
    """Rebuilds a failure that another process reported by its code."""
    cls = BY_CODE.get(code, RequestError)
    return cls(detail, ran=ran, retry_after_s=retry_after_s)
