"""Writes one segment, whatever the store does."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from quetzalsill.platform import error as platform_error
from quetzalsill.telemetry import log as telemetry_log
from quetzalsill_router.durable import error
from quetzalsill_router.durable import log as durable_log
from quetzalsill_router.durable import segment as durable_segment

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.platform import health as platform_health
    from quetzalsill.platform import objects as platform_objects

__all__ = ['write']

MIN_RETRY_INTERVAL_S = 0.05
MAX_RETRY_INTERVAL_S = 2.0

LOG = telemetry_log.get(__name__)


async def write(
    objects: platform_objects.Objects,
    health: platform_health.StoreHealth,
    segment_id: tuple[str, int],
    segment: durable_segment.Segment,
    drop_accepted: Callable[[bool], bool],
) -> durable_segment.Segment | None:
    """Creates a segment; repeats until the store has settled it.

    A write whose answer was lost may take effect at any later time. It is
    settled by creating the same number again: either this one succeeds, and
    the late one never can, or the number is taken and is read back. That
    holds also if the new write lacks the new entries of the lost one, so
    entries that are given up can be told apart: in the log, or never.

    Args:
      objects: Client of the object store.
      health: Told of each success and failure.
      segment_id: Name of the log and number of the segment.
      segment: What is to be written.
      drop_accepted: Asked after a failure whether the new entries are given
        up; its argument tells whether they may be in the store already.

    Returns:
      The segment that stands in the log, with or without its new entries;
      None if the log was sealed by another router.
    """
    tried = {segment.nonce: segment}
    lost = False
    retry_s = MIN_RETRY_INTERVAL_S
    while True:
        try:
            stored = await _create(objects, segment_id, segment, tried)
        except platform_error.PlatformError as exc:
            lost |= isinstance(exc, platform_error.PlatformAnswerLostError)
            health.failed()
            LOG.warning('segment_write_failed', log=segment_id[0], why=exc.code)
        else:
            health.succeeded()
            return stored
        # Asked after each failure: entries that queue behind this segment
        # have to be refused too, once the platform shows to be down.
        if drop_accepted(lost) and segment.accepted:
            segment = segment.without_accepted()
            tried[segment.nonce] = segment
        await asyncio.sleep(retry_s * random.uniform(0.5, 1.0))
        retry_s = min(2 * retry_s, MAX_RETRY_INTERVAL_S)


async def _create(
    objects: platform_objects.Objects,
    segment_id: tuple[str, int],
    segment: durable_segment.Segment,
    tried: dict[bytes, durable_segment.Segment],
) -> durable_segment.Segment | None:
    data = durable_segment.encode(segment)
    try:
        await objects.put(
            durable_log.key_of(*segment_id), data, create_only=True
        )
    except platform_error.ObjectExistsError:
        return await _read_back(objects, segment_id, tried)
    return segment


async def _read_back(
    objects: platform_objects.Objects,
    segment_id: tuple[str, int],
    tried: dict[bytes, durable_segment.Segment],
) -> durable_segment.Segment | None:
    try:
        found = await durable_log.read(objects, *segment_id)
    except error.MalformedSegmentError as exc:
        LOG.error('segment_malformed', log=segment_id[0], why=exc)
        return None
    return tried.get(found.nonce) if found else None
