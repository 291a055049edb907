"""Runs the platform stand-in in the test process."""

from __future__ import annotations

from quetzalsill.platform import clients, error
from quetzalsill.settings import section
from quetzalsill_dev.platform_standin import serve
from quetzalsill_dev.platform_standin import table as standin_table

__all__ = ['open_clients', 'start', 'transact']


async def start(case, part):
    """Serves one part of the platform until the test ends."""
    standin = serve.StandIn(part)
    await standin.start()
    case.addAsyncCleanup(standin.stop)
    return standin


async def open_clients(case, url, timeout_s):
    """Opens platform clients that are closed when the test ends."""
    cfg = section.Platform(url, url, url, timeout_s)
    return await case.enterAsyncContext(clients.open_clients(cfg))


def transact(rows, conditions, writes):
    """Runs a transaction; raises the errors of `platform.table`."""
    try:
        return rows.transact(conditions, writes)
    except standin_table.ConflictError as exc:
        raise error.ConditionFailedError(
            exc.failed, exc.version, exc.value
        ) from exc
