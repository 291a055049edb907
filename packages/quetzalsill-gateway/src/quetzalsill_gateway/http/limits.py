"""Limits on what one caller sends."""

from __future__ import annotations

import dataclasses

__all__ = ['Limits']


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits on the size and duration of a caller's request.

    Attributes:
      header_bytes: Maximum size of a request head.
      body_bytes: Maximum size of a body.
      header_s: Longest time in which a head, a size line or the trailers of a
        request are received, and without progress of its body, in seconds.
      idle_s: Longest time between two requests of a connection, and in which
        nothing of an answer is read, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0
