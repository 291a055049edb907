"""Error for an invalid field or header of a request."""

from __future__ import annotations

from quetzalsill.error import request as request_error

__all__ = ['FieldError']


class FieldError(request_error.BadRequestError):
    """A field or header of the request is invalid.

    Attributes:
      param: Name of the field or header.
    """

    def __init__(
        self, param: str, detail: str, *, advice: str | None = None
    ) -> None:
        super().__init__(f'{param}: {detail}', advice=advice)
        self.param = param
