"""Reconciles the engine with its configured state."""

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

# Upstreams whose rows are read, one read each, before a model is unloaded.
MAX_UPSTREAMS_READ = 8
# Time for a command to reach the engine after the lease was checked.
MIN_LEASE_LEFT_S = 1.0
RENEWALS_PER_TTL = 3
# Intervals over which the first reconciliations of a fleet are spread.
START_SPREAD_INTERVALS = 5

orders_total = metric.counter(
    'quetzalsill_sidecar_orders_total', 'Orders to the engine, by outcome.'
)


class Placer:
    """Reconciles one upstream.

    There is no central controller: the wanted state is configuration, and
    each sidecar alone sends commands to its own engine, one at a time, and
    reads the state back after each. While nothing differs, it writes one row
    every `confirm_s` and reads nothing.
    """

    def __init__(
        self, sidecar: sidecar_lib.Sidecar, platform: clients.Clients
    ) -> None:
        """Prepares the reconciliation, which `run` performs."""
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
        """Reconciles until cancelled."""
        # A fleet that starts at once, as after a power failure, would
        # otherwise read and write all its rows within one interval.
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
        """Logs when reconciliation starts to fail and when it recovers."""
        if code != self._failure_code:
            event.note(event.PlacementState(failing=code, detail=detail))
        self._failure_code = code

    async def _step(self) -> None:
        """Reads the engine's state and sends the first command that is due."""
        report = await self._sidecar.runner.engine.report()
        leaving = report.leaving or bool(self._sidecar.leaving.refusal_reason())
        # The report lags and may still show a model that was just unloaded;
        # an upstream that relied on it would unload the last copy.
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
        """Acquires the lease and checks that the configuration is current.

        A sidecar that was paused may find the lease free again after its
        successor has finished, and would undo the successor's changes under
        its old configuration.
        """
        await self._check_revision(cfg)
        if self._lease.valid() and await self._lease.renew():
            return True
        if not await self._lease.acquire():
            return False
        await self._check_revision(cfg)
        return True

    async def _check_revision(self, cfg: model.Configuration) -> None:
        """Checks that `cfg` is the published configuration.

        Otherwise the lease is released.

        Raises:
          OrderWithheldError: Another revision is published.
          PlatformError: The store fails to answer properly.
        """
        newest = (await self._store.head()).revision
        if newest != cfg.revision:
            await self._lease.release()
            raise error.OrderWithheldError(
                f'the published revision is {newest}'
            )

    async def _execute(
        self, command: plan.Command, cfg: model.Configuration
    ) -> bool:
        """Executes a command; False if it has to wait for other sidecars."""
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
        except (error.UpstreamStatusError, error.OrderWithheldError):
            self._unloaded.discard(command.name)
            raise
        return True

    async def _send(
        self,
        command: plan.Command,
        cfg: model.Configuration,
        load_slot: lease.Lease | None = None,
    ) -> None:
        """Sends a command and waits until the engine reports its effect.

        Raises:
          ExchangeError: It was not sent, or was refused, or its response was
            lost. Its effect is read back in the next step.
        """

        def check() -> None:
            # A process that was paused at any point before this may hold a
            # lease that has expired for others, and an engine that ignores
            # fences would execute its command. Only a pause between this
            # check and the write, a few instructions later, goes undetected;
            # its effect differs from the wanted state, so the successor
            # reverts it.
            is_expiring = self._lease.remaining_s() < MIN_LEASE_LEFT_S
            if is_expiring or (load_slot is not None and not load_slot.valid()):
                raise error.OrderWithheldError('the lease has expired')
            if self._sidecar.configuration.revision != cfg.revision:
                raise error.OrderWithheldError(
                    'the configuration is no longer current'
                )

        engine = self._sidecar.runner.engine
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
        """Waits until the engine's report, which lags, shows the effect."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._timing.read_back_s):
                while True:
                    report = await self._sidecar.runner.engine.report()
                    if _is_applied(report, command):
                        return
                    await asyncio.sleep(self._timing.interval_s)

    @contextlib.asynccontextmanager
    async def _renewing(self, leases: list[lease.Lease]) -> AsyncIterator[None]:
        """Renews leases in the background, as a load may outlast their TTL."""
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
    """Yields other model servers, first those configured for the model."""
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
