"""The settled outcome of a request."""

from __future__ import annotations

import dataclasses

from quetzalsill.error import base
from quetzalsill.error import request as request_error

__all__ = ['Answer', 'DONE', 'failure']

DONE = 'done'


@dataclasses.dataclass(slots=True)
class Answer:
    """The settled outcome of a request.

    Attributes:
      code: `done`, or the code of a `quetzalsill.error.request` class.
      detail: Human-readable description of a failure.
      ran: Whether the work ran.
      status: HTTP status; 0 for a failure.
      headers: Header pairs of the answer.
      events: Content of the answer: one item per event of a generation, or
        the chunks of a body.
    """

    code: str = DONE
    detail: str = ''
    ran: base.Ran = base.Ran.YES
    status: int = 200
    headers: list[list[str]] = dataclasses.field(default_factory=list)
    events: list[bytes] = dataclasses.field(default_factory=list)

    @property
    def size(self) -> int:
        """Size of the answer's content, in bytes."""
        return sum(map(len, self.events))


def failure(exc: request_error.RequestError) -> Answer:
    """Returns the outcome of a request that failed."""
    return Answer(code=exc.code, detail=exc.detail, ran=exc.ran, status=0)
