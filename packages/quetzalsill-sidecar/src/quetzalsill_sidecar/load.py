"""Reports the load of the upstream to all routers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.telemetry import metric
from quetzalsill.wire import message
from quetzalsill_sidecar import error, event, load_change
from quetzalsill_sidecar.upstream import engine

if TYPE_CHECKING:
    from quetzalsill_sidecar import context

__all__ = ['LoadReporter']

CHECK_INTERVAL_S = 0.1
FOREIGN_SMOOTHING = 0.1
HIGHEST_RANK = 0

queued_gauge = metric.gauge(
    'quetzalsill_sidecar_queued', 'Attempts waiting in the sidecar.'
)
running_gauge = metric.gauge(
    'quetzalsill_sidecar_running', 'Attempts on the upstream.'
)
used_gauge = metric.gauge(
    'quetzalsill_sidecar_used_tokens', 'Key-value memory in use, in tokens.'
)
preemptions_gauge = metric.gauge(
    'quetzalsill_engine_preemptions', 'Preemptions told by the engine.'
)


class LoadReporter:
    """Polls the engine and reports its load to routers.

    Attributes:
      report: Latest report of the engine, which lags behind its real state.
      healthy: Whether the upstream responded to the last poll.
    """

    def __init__(self, sidecar: context.SidecarContext) -> None:
        """Creates a reporter for `sidecar`."""
        self.report = engine.EngineReport()
        self.healthy = True
        self._sidecar = sidecar
        self._changed = asyncio.Event()
        self._foreign_mean = 0.0

    def mark_changed(self) -> None:
        """Marks the load as changed, so that it is reported."""
        self._changed.set()

    def build_message(self) -> message.Load:
        """Returns a message with the current load."""
        sidecar = self._sidecar
        queue = sidecar.queue
        wait_s = queue.expected_wait_s(HIGHEST_RANK)
        return message.Load(
            queued=queue.queued,
            running=queue.running,
            used_tokens=queue.used_tokens,
            capacity_tokens=queue.capacity_tokens,
            expected_wait_ms=round(wait_s * 1000),
            token_ms=float(self.report.token_ms),
            models=list(self.report.models),
            leaving=bool(sidecar.leaving.refusal_reason()),
            healthy=self.healthy,
            revision=sidecar.configuration.revision,
            engine=self.report.incarnation,
        )

    async def run(self) -> None:
        """Reports changes; larger changes are reported sooner."""
        clock = asyncio.get_running_loop().time
        reported, reported_at = self.build_message(), clock()
        while True:
            await self._changed.wait()
            self._changed.clear()
            msg = self.build_message()
            self._set_gauges(msg)
            kind = load_change.classify(reported, msg)
            links = self._sidecar.link_count
            wait_s = (
                reported_at + load_change.min_interval_s(kind, links) - clock()
            )
            if kind is not load_change.Change.NONE and wait_s <= 0:
                self._sidecar.broadcast(msg)
                reported, reported_at = msg, clock()
            elif kind is not load_change.Change.NONE:
                self._changed.set()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def poll(self) -> None:
        """Polls the engine for its report until cancelled."""
        interval_s = self._sidecar.settings.timing.poll_s
        while True:
            try:
                self._apply_report(await self._sidecar.runner.engine.report())
            except error.ExchangeError as exc:
                self._set_healthy(False, exc.detail)
            await asyncio.sleep(interval_s)

    def _apply_report(self, report: engine.EngineReport) -> None:
        self._set_healthy(True, '')
        self.report = report
        queue = self._sidecar.queue
        queue.capacity_tokens = report.capacity_tokens
        # The report lags: it misses attempts that have just started and still
        # includes those that have just ended. Both errors cancel out in the
        # mean. If single samples were clamped at zero, the lag would count as
        # memory held by others.
        own = queue.used_tokens - queue.foreign_tokens
        foreign = report.used_tokens - own
        self._foreign_mean += (foreign - self._foreign_mean) * FOREIGN_SMOOTHING
        queue.foreign_tokens = max(0, round(self._foreign_mean))
        preemptions_gauge.set({}, report.preemptions)
        if report.leaving:
            self._sidecar.leave('engine is leaving')
        self.mark_changed()

    def _set_healthy(self, healthy: bool, detail: str) -> None:
        if healthy != self.healthy:
            self.healthy = healthy
            event.note(
                event.EngineHealthChanged(healthy=healthy, detail=detail)
            )
            self.mark_changed()

    def _set_gauges(self, msg: message.Load) -> None:
        queued_gauge.set({}, msg.queued)
        running_gauge.set({}, msg.running)
        used_gauge.set({}, msg.used_tokens)
