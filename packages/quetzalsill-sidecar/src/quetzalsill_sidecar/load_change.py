"""When a change of the load is worth telling every router."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.wire import message

__all__ = ['Change', 'classify', 'min_interval_s']

LEAST_INTERVAL_S = 0.25
LEAST_SMALL_INTERVAL_S = 1.0
# A Load is about 200 bytes on the network, headers and acknowledgement
# included, and goes to every router. So reports of large changes cost a
# sidecar 1.6 KB/s at most and those of small ones 0.4 KB/s, however many
# routers there are.
INTERVAL_S_PER_LINK = 0.125
SMALL_INTERVAL_S_PER_LINK = 0.5

RELATIVE = 0.25
MEMORY_PART = 0.05
WAIT_MS = 50.0
TOKEN_MS = 2.0
STATE = ('models', 'leaving', 'healthy', 'revision', 'engine')


class Change(enum.IntEnum):
    """How much two reports differ."""

    NONE = 0
    SMALL = 1
    LARGE = 2
    STATE = 3


def classify(told: message.Load, now: message.Load) -> Change:
    """Compares the report that routers have with the present one."""
    if any(getattr(told, name) != getattr(now, name) for name in STATE):
        return Change.STATE
    if _is_large(told, now):
        return Change.LARGE
    return Change.NONE if told == now else Change.SMALL


def min_interval_s(kind: Change, links: int) -> float:
    """Least time since the last report before a change is told, in s."""
    if kind is Change.STATE:
        return LEAST_INTERVAL_S
    if kind is Change.LARGE:
        return max(LEAST_INTERVAL_S, links * INTERVAL_S_PER_LINK)
    return max(LEAST_SMALL_INTERVAL_S, links * SMALL_INTERVAL_S_PER_LINK)


def _is_large(told: message.Load, now: message.Load) -> bool:
    room = MEMORY_PART * now.capacity_tokens
    return (
        _has_moved(told.used_tokens, now.used_tokens, room)
        or _has_moved(told.expected_wait_ms, now.expected_wait_ms, WAIT_MS)
        or _has_moved(told.token_ms, now.token_ms, TOKEN_MS)
        or _has_moved(told.queued, now.queued, 0)
        or _has_moved(told.running, now.running, 0)
    )


def _has_moved(told: float, now: float, least: float) -> bool:
    return abs(now - told) > max(least, RELATIVE * told)
