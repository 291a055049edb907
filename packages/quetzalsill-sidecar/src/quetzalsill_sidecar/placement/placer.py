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
MAX_UPSTREAMS_READ = 8
# Time for an order to reach the engine once the lease was looked at.
MIN_LEASE_LEFT_S = 1.0
RENEWALS_PER_TTL = 3
# Intervals over which the first looks of a fleet are spread.
START_SPREAD_INTERVALS = 5

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
        self._failure_code = ''
        self._unloaded: set[str] = set()

    async def run(self) -> None:
        """Works until cancelled."""
        # A whole fleet that starts at once, as after a cut of power, would
        # read and write all its rows within one interval.
        spread_s = START_SPREAD_INTERVALS * self._timing.interval_s
        await asyncio.sleep(spread_s * random.random())
        while True:
            try:
                await self._step()
            except (
                platform_error.PlatformError,
                config_store.ConfigStoreError,
                error.ExchangeError,
            ) as exc:
                self._record_state(exc.code, exc.detail)
            else:
                self._record_state('', '')
            wait_s = self._timing.interval_s * random.uniform(0.8, 1.2)
            await asyncio.sleep(wait_s)

    def _record_state(self, code: str, detail: str) -> None:
        """Logs when placement begins to fail and when it works again."""
        if code != self._failure_code:
            event.note(event.PlacementState(failing=code, detail=detail))
        self._failure_code = code

    async def _step(self) -> None:
        """Reads the engine back and gives the first order that is due."""
        report = await self._sidecar.runs.engine.report()
        leaving = report.leaving or bool(self._sidecar.leaving.refusal())
        # The report lags: what was just unloaded may still be in it, and
        # another upstream that relied on it would unload the last one.
        self._unloaded &= set(report.models)
        models = sorted(set(report.models) - self._unloaded)
        await self._loaded.confirm([] if leaving else models)
        cfg = self._sidecar.configuration.current
        wanted = cfg.upstreams.get(self._name)
        due = list(plan.commands(wanted, report)) if wanted else []
        if not due or leaving:
            if self._lease.valid():
                await self._lease.release()
            return
        if await self._may_command(cfg):
            for command in due:
                if await self._execute(command, cfg):
                    return

    async def _may_command(self, cfg: model.Configuration) -> bool:
        """Takes the lease, and looks whether the configuration is current.

        A sidecar that was paused may find the lease free again, its successor
        being done: it would undo that under its old configuration.
        """
        await self._check_revision(cfg)
        if self._lease.valid() and await self._lease.renew():
            return True
        if not await self._lease.acquire():
            return False
        await self._check_revision(cfg)
        return True

    async def _check_revision(self, cfg: model.Configuration) -> None:
        """Gives the lease back under an old configuration.

        Raises:
          OrderWithheldError: A newer one is published.
          PlatformError: The store does not answer as it should.
        """
        newest = (await self._store.head()).revision
        if newest != cfg.revision:
            await self._lease.release()
            raise error.OrderWithheldError(f'revision {newest} is published')

    async def _execute(
        self, command: plan.Command, cfg: model.Configuration
    ) -> bool:
        """Gives an order; False if it has to wait for others."""
        if command.unloads_model:
            return await self._unload(command, cfg)
        if not command.loads:
            await self._send(command, cfg)
            return True
        load_slot = await self._slots.acquire(cfg.policies.load_slots)
        if load_slot is None:
            return False
        try:
            await self._send(command, cfg, load_slot)
        finally:
            await load_slot.release()
        return True

    async def _unload(
        self, command: plan.Command, cfg: model.Configuration
    ) -> bool:
        """Unloads a model that has no work here and is loaded elsewhere."""
        if any(
            attempt.terminal is None and attempt.dispatch.model == command.name
            for attempt in self._sidecar.attempts
        ):
            return False
        if command.name in cfg.models:
            others = list(_other_upstreams(cfg, self._name, command.name))[
                :MAX_UPSTREAMS_READ
            ]
            if not await self._loaded.take_out(command.name, others):
                return False
        self._unloaded.add(command.name)
        try:
            await self._send(command, cfg)
        except (error.AnswerRejectedError, error.OrderWithheldError):
            self._unloaded.discard(command.name)
            raise
        return True

    async def _send(
        self,
        command: plan.Command,
        cfg: model.Configuration,
        load_slot: lease.Lease | None = None,
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
            is_expiring = self._lease.remaining_s() < MIN_LEASE_LEFT_S
            if is_expiring or (load_slot is not None and not load_slot.valid()):
                raise error.OrderWithheldError('the lease has lapsed')
            if self._sidecar.configuration.revision != cfg.revision:
                raise error.OrderWithheldError('the configuration is old')

        engine = self._sidecar.runs.engine
        outcome = 'failed'
        try:
            async with self._renewing(
                [self._lease, *([load_slot] if load_slot else [])]
            ):
                await engine.send_command(
                    command.kind,
                    command.name,
                    cfg.revision,
                    self._timing.order_s,
                    check,
                )
                outcome = 'done'
                await self._read_back(command)
        finally:
            orders_total.inc({'kind': command.kind, 'outcome': outcome})
            event.note(
                event.OrderEnded(
                    kind=command.kind,
                    name=command.name,
                    fence=cfg.revision,
                    outcome=outcome,
                )
            )

    async def _read_back(self, command: plan.Command) -> None:
        """Waits until the engine's report, which lags, shows the order."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._timing.read_back_s):
                while True:
                    report = await self._sidecar.runs.engine.report()
                    if _is_applied(report, command):
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
            await asyncio.sleep(self._timing.lease_s / RENEWALS_PER_TTL)
            for held in leases:
                with contextlib.suppress(platform_error.PlatformError):
                    await held.renew()


def _other_upstreams(
    cfg: model.Configuration, own: str, name: str
) -> Iterator[str]:
    """Yields other model servers, first those that are to have the model."""
    others = [
        (name not in spec.models, upstream)
        for upstream, spec in cfg.upstreams.items()
        if upstream != own and spec.kind == 'model' and not spec.draining
    ]
    yield from (upstream for _, upstream in sorted(others))


def _is_applied(report: engine.EngineReport, command: plan.Command) -> bool:
    verb, _, subject = command.kind.partition('_')
    if verb == 'set':
        return report.role == command.name
    names = report.models if subject == 'model' else report.adapters
    return (command.name in names) == (verb == 'load')
