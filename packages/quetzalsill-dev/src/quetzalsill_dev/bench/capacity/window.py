"""Resource usage over a time window."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from quetzalsill_dev.bench.capacity import usage

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalsill.wire import link as link_lib

__all__ = ['Window', 'measure']

SETTLE_S = 2.0
# Covers the longest heartbeat interval.
WINDOW_S = 20.0


@dataclasses.dataclass(slots=True, frozen=True)
class Window:
    """Usage of a process and its links.

    Attributes:
      core: Processor time per second, as a fraction of a core.
      payload: Bytes per second on its links, in both directions.
      wire: The same including segment headers.
      resident: Resident memory at the end, in bytes.
    """

    core: float
    payload: float
    wire: float
    resident: int


async def measure(pid: int, links: Sequence[link_lib.Link]) -> Window:
    """Measures a process and its links after a settling time."""
    await asyncio.sleep(SETTLE_S)
    before = _read(pid, links)
    await asyncio.sleep(WINDOW_S)
    after = _read(pid, links)
    passed_s, core_s, payload, wire = (
        now - then for now, then in zip(after, before, strict=True)
    )
    return Window(
        core=core_s / passed_s,
        payload=payload / passed_s,
        wire=wire / passed_s,
        resident=usage.resident_bytes(pid),
    )


def _read(pid: int, links: Sequence[link_lib.Link]) -> tuple[float, ...]:
    return (
        time.monotonic(),
        usage.core_s(pid),
        sum(link.sent_bytes + link.received_bytes for link in links),
        sum(map(usage.wire_bytes, links)),
    )
