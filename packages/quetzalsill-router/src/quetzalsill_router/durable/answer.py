"""Settled answers, and how any router finds one by its request id."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.error import base

if TYPE_CHECKING:
    from quetzalsill.platform import objects as platform_objects
    from quetzalsill.platform import table as platform_table

__all__ = ['Answer', 'Answers', 'Stored']


@dataclasses.dataclass(slots=True)
class Answer:
    """The settled outcome of a request.

    Attributes:
      code: `done`, or the code of a `quetzalsill.error.request` class.
      detail: Text of a failure for its reader.
      ran: Whether the work ran.
      status: HTTP status; 0 for a failure.
      headers: Header pairs of the answer.
      events: The answer: one item per event of a generation, or the pieces
        of a body.
    """

    code: str = 'done'
    detail: str = ''
    ran: base.Ran = base.Ran.YES
    status: int = 200
    headers: list[list[str]] = dataclasses.field(default_factory=list)
    events: list[bytes] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Stored:
    """What the platform holds of a request.

    Attributes:
      request: Id of the request.
      answer: The settled outcome; None while the request is pending.
    """

    request: str
    answer: Answer | None


class Answers:
    """Reads answers through any router."""

    def __init__(
        self,
        table: platform_table.Table,
        objects: platform_objects.Objects,
    ) -> None:
        self._table = table
        self._objects = objects

    async def get(self, account: str, request: str) -> Stored:
        """Looks a request up.

        Raises:
          NotFoundError: No such request of this account, or it has expired.
          StoreUnavailableError: The platform did not answer.
        """
        raise NotImplementedError

    async def wait(self, account: str, request: str, within_s: float) -> Stored:
        """Like `get`, but waits up to `within_s` for a pending request."""
        raise NotImplementedError
