"""Quotas for tests that do not test quotas."""

from __future__ import annotations

from quetzalsill_gateway import source
from quetzalsill_gateway.fleet import members, quota

__all__ = ['unbounded']


def unbounded():
    """Returns a quota without limits."""
    return quota.Quota(
        source.RoutingTableHolder(),
        members.Members('entry-1'),
        quota.Warmup(),
        lambda _: quota.Connections(0, 0),
    )
