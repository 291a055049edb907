"""Drives the engine to its desired state, again and again."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

from quetzalsill.config import store as config_store
from quetzalsill.platform import error as platform_error
from quetzalsill.platform import lease
from quetzalsill.telemetry import metric
from quetzalsill_sidecar import error, event
from quetzalsill_sidecar.placement import loaded, plan, slot

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from quetzalsill.config import model
    from quetzalsill.platform import clients
    from quetzalsill_sidecar import sidecar as sidecar_lib
    from quetzalsill_sidecar.upstream import engine

__all__ = ['Placer']

# Upstreams asked, one read each, before a model is unloaded.
MAX_ASKED = 8
# Time for an order to reach the engine once the lease was looked at.
ORDER_MARGIN_S = 1.0
RENEW_PART = 3
# Intervals over which the first looks of a fleet are spread.
START_SPREAD = 5

orders_total = metric.counter(
    'quetzalsill_sidecar_orders_total', 'Orders to the engine, by outcome.'
)


class Placer:
    """Gives the orders of one upstream.

    There is no controller: what is wanted is configuration, and each sidecar
    alone orders from its own engine, one order at a time, reading back after
    each. While there is nothing to order it writes one row every `confirm_s`
    and reads nothing.
    """

    def __init__(
        self, sidecar: sidecar_lib.Sidecar, platform: clients.Clients
    ) -> None:
        """Prepares; `run` does the work."""
        settings = sidecar.settings
        self._sidecar = sidecar
        self._timing = settings.placement
        self._name = settings.upstream.name
        self._store = config_store.ConfigStore(platform.table, platform.objects)
        self._lease = lease.Lease(
            platform.table,
            f'upstream/{self._name}',
            f'{settings.node.name}/{sidecar.incarnation}',
            self._timing.lease_s,
        )
        self._slots = slot.Slots(
            platform.table, self._name, self._timing.lease_s
        )
        self._loaded = loaded.LoadedRows(
            platform.table,
            self._name,
            self._timing.confirm_s,
            lease.suspend_aware_clock,
        )
        self._failing = ''
        self._taken_out: set[str] = set()

    async def run(self) -> None:
        """Works until cancelled."""
        # A whole fleet that starts at once, as after a cut of power, would
        # read and write all its rows within one interval.
        spread_s = START_SPREAD * self._timing.interval_s
        await asyncio.sleep(spread_s * random.random())
        while True:
            try:
                await self._step()
            except (
                platform_error.PlatformError,
                config_store.ConfigStoreError,
                error.ExchangeError,
            ) as exc:
                self._note(exc.code, exc.detail)
            else:
                self._note('', '')
            wait_s = self._timing.interval_s * random.uniform(0.8, 1.2)
            await asyncio.sleep(wait_s)

    def _note(self, code: str, detail: str) -> None:
        """Logs when placement begins to fail and when it works again."""
        if code != self._failing:
            event.note(event.PlacementState(failing=code, detail=detail))
        self._failing = code

    async def _step(self) -> None:
        """Reads the engine back and gives the first order that is due."""
        report = await self._sidecar.runner.engine.report()
        leaving = report.leaving or bool(self._sidecar.leaving.refusal_reason())
        # The report lags: what was just unloaded may still be in it, and
        # another upstream that relied on it would unload the last one.
        self._taken_out &= set(report.models)
        models = sorted(set(report.models) - self._taken_out)
        await self._loaded.confirm([] if leaving else models)
        cfg = self._sidecar.configuration.current
        wanted = cfg.upstreams.get(self._name)
        due = list(plan.commands(wanted, report)) if wanted else []
        if not due or leaving:
            if self._lease.valid():
                await self._lease.release()
            return
        if await self._may_order(cfg):
            for order in due:
                if await self._give(order, cfg):
                    return

    async def _may_order(self, cfg: model.Configuration) -> bool:
        """Takes the lease, and looks whether the configuration is current.

        A sidecar that was paused may find the lease free again, its successor
        being done: it would undo that under its old configuration.
        """
        await self._check_newest(cfg)
        if self._lease.valid() and await self._lease.renew():
            return True
        if not await self._lease.acquire():
            return False
        await self._check_newest(cfg)
        return True

    async def _check_newest(self, cfg: model.Configuration) -> None:
        """Gives the lease back under an old configuration.

        Raises:
          OrderWithheldError: A newer one is published.
          PlatformError: The store does not answer as it should.
        """
        newest = (await self._store.head()).revision
        if newest != cfg.revision:
            await self._lease.release()
            raise error.OrderWithheldError(f'revision {newest} is published')

    async def _give(
        self, order: plan.Command, cfg: model.Configuration
    ) -> bool:
        """Gives an order; False if it has to wait for others."""
        if order.unloads_model:
            return await self._unload(order, cfg)
        if not order.loads:
            await self._send(order, cfg)
            return True
        taken = await self._slots.acquire(cfg.policies.load_slots)
        if taken is None:
            return False
        try:
            await self._send(order, cfg, taken)
        finally:
            await taken.release()
        return True

    async def _unload(
        self, order: plan.Command, cfg: model.Configuration
    ) -> bool:
        """Unloads a model that has no work here and is loaded elsewhere."""
        if any(
            attempt.terminal is None and attempt.dispatch.model == order.name
            for attempt in self._sidecar.attempts
        ):
            return False
        if order.name in cfg.models:
            others = list(_others(cfg, self._name, order.name))[:MAX_ASKED]
            if not await self._loaded.take_out(order.name, others):
                return False
        self._taken_out.add(order.name)
        try:
            await self._send(order, cfg)
        except (error.UpstreamStatusError, error.OrderWithheldError):
            self._taken_out.discard(order.name)
            raise
        return True

    async def _send(
        self,
        order: plan.Command,
        cfg: model.Configuration,
        taken: lease.Lease | None = None,
    ) -> None:
        """Sends an order and waits until the engine shows it.

        Raises:
          ExchangeError: It was not sent, or was refused, or its answer was
            lost. What it did is read back in the next step.
        """

        def check() -> None:
            # A process that was paused anywhere before this wakes here with
            # a lease that others have seen lapse; an engine that ignores
            # fences would take its order. Only a pause between here and the
            # write, a few instructions on, gets by: what it did differs from
            # what is wanted, so that the successor's read-back undoes it.
            late = self._lease.remaining_s() < ORDER_MARGIN_S
            if late or (taken is not None and not taken.valid()):
                raise error.OrderWithheldError('the lease has lapsed')
            if self._sidecar.configuration.revision != cfg.revision:
                raise error.OrderWithheldError('the configuration is old')

        engine = self._sidecar.runner.engine
        outcome = 'failed'
        try:
            async with self._renewing(
                [self._lease, *([taken] if taken else [])]
            ):
                await engine.send_command(
                    order.kind,
                    order.name,
                    cfg.revision,
                    self._timing.order_s,
                    check,
                )
                outcome = 'done'
                await self._read_back(order)
        finally:
            orders_total.inc({'kind': order.kind, 'outcome': outcome})
            event.note(
                event.OrderEnded(
                    kind=order.kind,
                    name=order.name,
                    fence=cfg.revision,
                    outcome=outcome,
                )
            )

    async def _read_back(self, order: plan.Command) -> None:
        """Waits until the engine's report, which lags, shows the order."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._timing.read_back_s):
                while True:
                    report = await self._sidecar.runner.engine.report()
                    if _shows(report, order):
                        return
                    await asyncio.sleep(self._timing.interval_s)

    @contextlib.asynccontextmanager
    async def _renewing(self, leases: list[lease.Lease]) -> AsyncIterator[None]:
        """Renews leases meanwhile: a load may last longer than their TTL."""
        task = asyncio.create_task(self._renew(leases))
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _renew(self, leases: list[lease.Lease]) -> None:
        while True:
            await asyncio.sleep(self._timing.lease_s / RENEW_PART)
            for held in leases:
                with contextlib.suppress(platform_error.PlatformError):
                    await held.renew()


def _others(cfg: model.Configuration, own: str, name: str) -> Iterator[str]:
    """Yields other model servers, first those that are to have the model."""
    others = [
        (name not in spec.models, upstream)
        for upstream, spec in cfg.upstreams.items()
        if upstream != own and spec.kind == 'model' and not spec.draining
    ]
    yield from (upstream for _, upstream in sorted(others))


def _shows(report: engine.EngineReport, order: plan.Command) -> bool:
    verb, _, what = order.kind.partition('_')
    if verb == 'set':
        return report.role == order.name
    names = report.models if what == 'model' else report.adapters
    return (order.name in names) == (verb == 'load')
