"""Log event and metric for the choice of an upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_gateway import event, meter

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway import exchange
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['log_choice']

MS_PER_S = 1000


def log_choice(
    core: core_lib.Core,
    req: exchange.Exchange,
    upstream: upstream_lib.Upstream,
    needs_tokens: int = 0,
) -> None:
    """Logs the choice with the statistics it was based on, and their age."""
    stats = core.stats_table.of(upstream)
    now = asyncio.get_running_loop().time()
    if req.pace_miss:
        meter.pace_misses.inc({'kind': req.route.kind.value})
    event.note(
        event.UpstreamChosen(
            request=req.id_text,
            route=req.route.name,
            upstream=upstream.id,
            able=len(core.upstreams.available(upstream.service)),
            outstanding=stats.outstanding,
            mean_ms=round(stats.expected_latency_s(now) * MS_PER_S, 1),
            runs=stats.runs,
            reserved_tokens=stats.reserved_tokens,
            reading_tokens=stats.prefill_tokens,
            needs_tokens=needs_tokens,
            late_probability=round(req.late_probability, 2),
            pace_miss=req.pace_miss,
            failures=round(stats.recent_failures(now), 2),
            configuration_age_ms=int(core.holder.age_s * MS_PER_S),
            membership_age_ms=int(core.upstreams.age_s * MS_PER_S),
            software_version=upstream.software_version,
        )
    )
