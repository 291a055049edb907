"""Encodes and decodes shutdown notices of upstreams.

Loop times are sent as ages, since the clocks of two hosts differ.
"""

from __future__ import annotations

import asyncio
from typing import Any

from quetzalsill_gateway.fleet import shutdown_notices
from quetzalsill_gateway.peers import frame

__all__ = ['decode', 'encode']


def encode(node: str, update: shutdown_notices.NoticeUpdate) -> bytes:
    """Returns the datagram for notices that the gateway `node` knows."""
    now = asyncio.get_running_loop().time()
    notices = [(one.key, now - one.given_s) for one in update.notices]
    return frame.pack(frame.Kind.NOTICES, (node, notices))


def decode(fields: list[Any]) -> shutdown_notices.NoticeUpdate:
    """Returns the notices in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    node, notices = fields
    if len(notices) > shutdown_notices.MAX_ITEMS:
        raise ValueError('too many notices')
    now = asyncio.get_running_loop().time()
    return shutdown_notices.NoticeUpdate(
        tuple(
            shutdown_notices.Notice(
                frame.bounded_key(key), now - frame.bounded_age_s(age_s)
            )
            for key, age_s in notices
        ),
        str(node),
    )
