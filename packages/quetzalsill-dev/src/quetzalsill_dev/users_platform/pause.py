"""A pause that a stand-in server has asked for."""

from __future__ import annotations

import dataclasses

__all__ = ['Pause']


@dataclasses.dataclass(slots=True, frozen=True)
class Pause:
    """A rejection with the time for which the server wants no requests.

    Attributes:
      server: Id of the server.
      at_s: Loop time of the rejection.
      request_id: Id of the rejected request, which shows who sent it.
      for_s: The time, in seconds.
    """

    server: str
    at_s: float
    request_id: str
    for_s: float
