"""The platform's stand-in inside the process of a test."""

from __future__ import annotations

from quetzalsill.platform import clients, error
from quetzalsill.settings import section
from quetzalsill_dev.platform_standin import serve
from quetzalsill_dev.platform_standin import table as standin_table

__all__ = ['open_clients', 'start', 'transact']


async def start(case, part):
    """Serves a part of the platform until the test ends."""
    standin = serve.StandIn(part)
    await standin.start()
    case.addAsyncCleanup(standin.stop)
    return standin


async def open_clients(case, url, timeout_s):
    """Opens the clients of a platform until the test ends."""
    cfg = section.Platform(url, url, url, timeout_s)
    return await case.enterAsyncContext(clients.open_clients(cfg))


def transact(rows, conditions, writes):
    """Runs a transaction on rows, with the errors of `platform.table`."""
    try:
        return rows.transact(conditions, writes)
    except standin_table.ConflictError as exc:
        raise error.ConditionFailedError(
            exc.failed, exc.version, exc.value
        ) from exc
