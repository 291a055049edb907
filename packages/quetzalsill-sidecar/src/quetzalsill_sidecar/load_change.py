"""When a change of the load is reported to all routers."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.wire import message

__all__ = ['Change', 'classify', 'min_interval_s']

MIN_INTERVAL_S = 0.25
MIN_SMALL_INTERVAL_S = 1.0
# A Load takes about 200 bytes on the network, including headers and
# acknowledgement, and is sent to every router. This limits a sidecar to 1.6
# KB/s for large changes and 0.4 KB/s for small ones, for any number of
# routers.
INTERVAL_S_PER_LINK = 0.125
SMALL_INTERVAL_S_PER_LINK = 0.5

RELATIVE_THRESHOLD = 0.25
MEMORY_THRESHOLD = 0.05
WAIT_THRESHOLD_MS = 50.0
TOKEN_THRESHOLD_MS = 2.0
STATE_FIELDS = ('models', 'leaving', 'healthy', 'revision', 'engine')


class Change(enum.IntEnum):
    """How much two load reports differ."""

    NONE = 0
    SMALL = 1
    LARGE = 2
    STATE = 3


def classify(reported: message.Load, current: message.Load) -> Change:
    """Compares the last reported load with the current one."""
    if any(
        getattr(reported, name) != getattr(current, name)
        for name in STATE_FIELDS
    ):
        return Change.STATE
    if _is_large(reported, current):
        return Change.LARGE
    return Change.NONE if reported == current else Change.SMALL


def min_interval_s(kind: Change, link_count: int) -> float:
    """Minimum time between the last report and this one, in seconds."""
    if kind is Change.STATE:
        return MIN_INTERVAL_S
    if kind is Change.LARGE:
        return max(MIN_INTERVAL_S, link_count * INTERVAL_S_PER_LINK)
    return max(MIN_SMALL_INTERVAL_S, link_count * SMALL_INTERVAL_S_PER_LINK)


def _is_large(reported: message.Load, current: message.Load) -> bool:
    memory_threshold = MEMORY_THRESHOLD * current.capacity_tokens
    return (
        _exceeds(reported.used_tokens, current.used_tokens, memory_threshold)
        or _exceeds(
            reported.expected_wait_ms,
            current.expected_wait_ms,
            WAIT_THRESHOLD_MS,
        )
        or _exceeds(reported.token_ms, current.token_ms, TOKEN_THRESHOLD_MS)
        or _exceeds(reported.queued, current.queued, 0)
        or _exceeds(reported.running, current.running, 0)
    )


def _exceeds(reported: float, current: float, threshold: float) -> bool:
    return abs(current - reported) > max(
        threshold, RELATIVE_THRESHOLD * reported
    )
