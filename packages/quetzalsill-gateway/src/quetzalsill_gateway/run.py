"""Runs a gateway process from startup to graceful shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from quetzalsill.daemon import background
from quetzalsill.net import client_memory
from quetzalsill.net import stop as net_stop
from quetzalsill.plugin import registry
from quetzalsill_gateway import core as core_lib
from quetzalsill_gateway import (
    event,
    gateway,
    meter,
    readiness,
    reload,
    retry_budget,
    source,
)
from quetzalsill_gateway import settings as settings_lib
from quetzalsill_gateway.balance import shares, upstream_stats
from quetzalsill_gateway.fleet import (
    account_usage,
    backoff,
    engine_speed,
    members,
    quota,
    revision,
    server_limits,
    shutdown_notices,
    upstream,
)
from quetzalsill_gateway.http import call, listener, pool
from quetzalsill_gateway.peers import exchange as peer_exchange
from quetzalsill_gateway.peers import origin_lookup
from quetzalsill_gateway.quarantine import persistence
from quetzalsill_gateway.quarantine import update as quarantine_update
from quetzalsill_gateway.stream import engine_poll, live, resumption
from quetzalsill_gateway.watch import (
    configuration,
    lapsed_engines,
    membership,
    update,
    version_history,
    version_rows,
)

if TYPE_CHECKING:
    from quetzalsill_gateway import deployment as deployment_lib

__all__ = ['Process', 'run']

MS_PER_S = 1000
STOP_POLL_S = 0.05
# How long a connection stays open after a response that promised to keep it.
LINGER_S = 0.1
# Interval of checks whether to announce the use of accounts.
USAGE_POLL_S = 0.1
# A store that responds delivers both tables within a few round trips. After
# this time the gateway starts without them and refuses callers.
FIRST_READ_TIMEOUT_S = 0.5
FIRST_READ_POLL_S = 0.005
# Part of the grace period reserved for closing connections and exiting.
CLOSE_MARGIN_S = 0.3
# Part of that in which the last responses are sent.
FLUSH_S = 0.15
# Of a process whose settings do not name its memory.
DEFAULT_MEMORY_MB = 150


class Process:
    """A gateway with its listeners and background loops."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        deployment: deployment_lib.Deployment,
    ) -> None:
        self._settings = settings
        answers = settings.answers
        conns = pool.Pool(call.Limits(answers.head_bytes, answers.head_s))
        stats_table = upstream_stats.StatsTable()
        limits = server_limits.ServerLimits()
        holder = source.RoutingTableHolder()
        gateways = members.Members(settings.node.name)
        if not settings.peers:
            gateways.add_listed((), 0.0)
        backoffs = backoff.Backoffs(gateways)
        self.core = core_lib.Core(
            zone=settings.node.availability_zone,
            dialect=deployment.dialect,
            calls=deployment.calls(conns),
            holder=holder,
            health=source.Health(),
            upstreams=upstream.Upstreams(settings.regions),
            stats_table=stats_table,
            conns=conns,
            budget=_make_budget(settings.retry),
            live=live.LiveStreams(stats_table),
            members=gateways,
            quota=quota.Quota(
                holder,
                gateways,
                quota.Warmup(
                    settings.warmup.overage, settings.warmup.allowance
                ),
                conns.connections,
                settings.retry.gateways,
                limits,
                quota.Tolerance(
                    settings.server_limit.overage,
                    settings.server_limit.allowance,
                    settings.server_limit.window_s,
                ),
                backoffs,
            ),
            server_limits=limits,
            backoffs=backoffs,
            engine_speeds=stats_table.engine_speeds,
            shares=shares.Shares(
                shares.Weights(lambda: _accounts(holder)),
                is_enabled=settings.shares.enabled,
            ),
        )
        backoffs.on_end(lambda found: stats_table.of(found).reset_latency())
        self.core.health.on_recovery(self.core.upstreams.mark_source_recovered)
        sources = deployment.sources(settings, conns)
        self.epochs = sources.epochs
        self.membership = membership.Membership(
            sources.poll_membership,
            self.core.upstreams,
            self.core.health,
            settings.watch.leaving_ms / MS_PER_S,
            epochs=self.epochs,
            node=settings.node.name,
        )
        self.configuration = configuration.Configuration(
            sources.poll_configuration,
            sources.parse_configuration,
            self.core.holder,
            self.core.upstreams.zones,
            self.core.health,
            lambda: self.core.upstreams.gateway_count,
            settings.watch.configuration_ms / MS_PER_S,
            epochs=self.epochs,
            node=settings.node.name,
        )
        self._gateway = gateway.Gateway(self.core)
        self.callers = listener.Listener(
            self._gateway.handle,
            self._limits,
            client_memory.bounds_of(settings.machine, DEFAULT_MEMORY_MB),
            self._gateway.time_limit_s,
        )
        handler = readiness.make_handler(
            settings.ready_path,
            self.is_ready,
            self._observe,
            self.core.quarantine,
        )
        self.readiness, self.metrics = (
            listener.Listener(
                handler, listener.Limits, client_memory.MONITORING_BOUNDS
            )
            for _ in range(2)
        )
        self.peers = peer_exchange.Exchange(
            self.core, settings.node.name, sources.join, self.epochs
        )
        followers = {
            update.MembershipUpdate: self.membership,
            update.ConfigurationUpdate: self.configuration,
        }
        for kind, follower in followers.items():
            follower.set_announcer(self.peers.announce)
            follower.on_missing(self.peers.request_snapshot)
            self.peers.on_update(kind, follower.handle_update)
            self.peers.on_snapshot_request(follower.snapshot)
        found = self.core.quarantine
        found.set_announcer(self.peers.announce)
        self.peers.on_update(quarantine_update.QuarantineUpdate, found.receive)
        self.peers.on_greeting(found.snapshot)
        self.peers.on_refresh(found.recent)
        limits.set_announcer(self.peers.announce)
        self.peers.on_update(server_limits.LimitUpdate, limits.receive)
        self.peers.on_greeting(limits.updates)
        self.peers.on_refresh(self._refresh_limits)
        speeds = self.core.engine_speeds
        speeds.set_announcer(self.peers.announce)
        self.peers.on_update(engine_speed.SpeedUpdate, self._receive_speeds)
        self.peers.on_greeting(speeds.updates)
        self.peers.on_refresh(self._refresh_speeds)
        upstreams = self.core.upstreams
        upstreams.notices.set_announcer(self.peers.announce)
        self.peers.on_update(
            shutdown_notices.NoticeUpdate, upstreams.receive_notices
        )
        self.peers.on_greeting(upstreams.notices.updates)
        self.peers.on_refresh(self._refresh_notices)
        self.lapsed_engines = lapsed_engines.LapsedEngines(
            settings.node.name,
            lambda found: engine_poll.ask(self.core, found),
            lambda found: engine_poll.askers(self.core, found),
            upstreams.is_lapsed,
        )
        upstreams.on_lapsed(self.lapsed_engines.start)
        self.lapsed_engines.set_announcer(self.peers.announce)
        self.peers.on_update(
            lapsed_engines.AnswerUpdate, self.lapsed_engines.receive
        )
        self.peers.on_update(account_usage.AccountUpdate, self._receive_usage)
        self._persistence = persistence.Persistence(
            found,
            settings.node.name,
            lambda: self.peers.writers,
            sources.load_quarantine,
            sources.save_quarantine,
            sources.epochs,
        )
        lookup = origin_lookup.OriginLookup(
            self.peers,
            gateways,
            upstreams,
            self.core.origins,
            has_peers=bool(settings.peers),
        )
        self.core.is_view_confirmed = lambda: lookup.is_view_confirmed
        self._version_history = version_history.VersionHistory(
            upstreams,
            settings.node.name,
            lambda: self.peers.writers,
            sources.load_versions,
            sources.save_versions,
            lambda: resumption.lifetime_s(holder.current),
            lambda: lookup.is_isolated,
            sources.epochs,
        )
        self._version_history.set_announcer(self.peers.announce)
        self.peers.on_update(
            version_rows.StoredUpdate, self._version_history.receive
        )
        self.peers.on_greeting(self._version_history.updates)
        self.peers.on_refresh(self._version_history.recent)
        self._tasks: list[asyncio.Task[None]] = []

    def _receive_usage(self, update: account_usage.AccountUpdate) -> None:
        now = asyncio.get_running_loop().time()
        self.core.shares.receive(update, now)

    async def _announce_usage(self) -> None:
        """Announces the use of accounts while requests wait somewhere."""
        core, loop = self.core, asyncio.get_running_loop()
        while True:
            await asyncio.sleep(USAGE_POLL_S)
            if (
                core.admission.waiting_tokens()
                or core.stats_table.is_waiting_at_peers
            ):
                update = core.shares.usage(loop.time())
                if update is not None:
                    self.peers.announce(update)

    def _refresh_limits(self) -> list[server_limits.LimitUpdate]:
        limits, known = self.core.server_limits, self.core.upstreams.all()
        limits.expire(known)
        self.core.backoffs.expire(known)
        self.core.stats_table.expire(known)
        return limits.updates()

    def _receive_speeds(self, update: engine_speed.SpeedUpdate) -> None:
        self.core.engine_speeds.receive(update)
        self.core.engine_speeds.identify(self.core.upstreams.all())

    def _refresh_speeds(self) -> list[engine_speed.SpeedUpdate]:
        speeds = self.core.engine_speeds
        speeds.expire(self.core.upstreams.all())
        return speeds.recent()

    def _refresh_notices(self) -> list[shutdown_notices.NoticeUpdate]:
        upstreams = self.core.upstreams
        upstreams.notices.expire(upstreams.all())
        return upstreams.notices.recent()

    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this gateway."""
        core = self.core
        has_state = (
            core.holder.current is not None
            and core.upstreams.revision > revision.NONE
        )
        return has_state and not self.callers.stopping

    def apply(self, settings: settings_lib.Settings) -> None:
        """Applies settings that were changed while the process runs."""
        cfg = settings.retry
        self.core.budget.set_limits(
            cfg.ratio, cfg.allowance, cfg.window_s, cfg.gateways
        )

    async def start(self) -> None:
        """Opens the listeners and starts the background loops."""
        loops = {
            'configuration': self.configuration.run,
            'membership': self.membership.run,
            'callers': self.callers.enforce_timeouts,
            'readiness': self.readiness.enforce_timeouts,
            'lookout': lambda: engine_poll.run(self.core),
            'versions': self._version_history.run,
            'outlived': self.core.quarantine.review_runs,
        }
        if self._settings.peers:
            await self.peers.open(settings_lib.address(self._settings.peers))
            loops['directory'] = self.peers.join_directory
            loops['peers'] = self.peers.publish_changes
            if self.core.shares.is_enabled:
                loops['accounts'] = self._announce_usage
            loops['quarantine'] = self._persistence.load_entries
            loops['quarantine-store'] = self._persistence.store_changes
        self._tasks = [
            asyncio.create_task(background.keep_running(name, loop))
            for name, loop in loops.items()
        ]
        cfg = self._settings
        await self.readiness.start(*settings_lib.address(cfg.ready))
        await self._wait_for_sources()
        await self.callers.start(*settings_lib.address(cfg.listen))
        if cfg.metrics:
            await self.metrics.start(*settings_lib.address(cfg.metrics))

    async def _wait_for_sources(self) -> None:
        """Waits briefly for the first configuration and membership.

        Callers that connect meanwhile stay in the listen queue. Accepted at
        once, they would be refused because the configuration, which arrives
        within a few round trips, is still missing.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FIRST_READ_TIMEOUT_S
        while (  # noqa: ASYNC110
            not (self.is_ready() and self._knows_quarantine())
            and loop.time() < end_s
        ):
            await asyncio.sleep(FIRST_READ_POLL_S)

    def _knows_quarantine(self) -> bool:
        """Whether quarantined requests are known, from peers or the store."""
        return not self._settings.peers or (
            self.peers.is_greeted or self._persistence.is_loaded
        )

    async def stop(self) -> None:
        """Stops accepting callers and waits for requests in flight.

        The load balancer sends new connections until it has polled readiness
        twice, so connections are accepted and served until then. Requests that
        arrive on open connections after that are refused as not run.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        stop = self._settings.stop
        end_s = started_s + stop.grace_s - CLOSE_MARGIN_S
        self.core.shutdown.begin(end_s)
        self.callers.stopping = True
        await asyncio.sleep(min(stop.leave_s, stop.grace_s))
        self.callers.stop()
        self.core.shutdown.stop_accepting()
        flushed_s = end_s + FLUSH_S
        while self.callers.connections and loop.time() < flushed_s:
            self.callers.close_idle(LINGER_S)
            await asyncio.sleep(STOP_POLL_S)
        took_s = round(loop.time() - started_s, 2)
        event.note(event.Stopped(self.core.shutdown.unfinished, took_s))
        await self.close()

    async def close(self) -> None:
        """Closes the listeners and cancels the loops at once."""
        self.callers.stop()
        self.readiness.stop()
        self.metrics.stop()
        self.peers.close()
        self.lapsed_engines.close()
        for conn in [*self.callers.connections, *self.readiness.connections]:
            conn.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _observe(self) -> None:
        meter.observe(self.core, len(self.callers.connections), self.peers)
        self.callers.ledger.observe()

    def _limits(self) -> listener.Limits:
        table = self.core.holder.current
        return table.limits if table else listener.Limits()


def _accounts(holder: source.RoutingTableHolder) -> dict | None:
    table = holder.current
    return table.accounts if table else None


def _make_budget(cfg: settings_lib.Retry) -> retry_budget.RetryBudget:
    return retry_budget.RetryBudget(
        cfg.ratio, cfg.allowance, cfg.window_s, cfg.gateways
    )


async def run(
    settings: settings_lib.Settings,
    read: Callable[[], settings_lib.Settings],
) -> None:
    """Runs a gateway until a stop signal, then shuts it down gracefully.

    Args:
      settings: Settings of the process.
      read: Reads the settings again after a change.
    """
    plugin = registry.REGISTRY.get('deployment', settings.deployment)
    with net_stop.StopSignal() as stop_signal:
        process = Process(settings, plugin)
        reload.reload_on_sighup(settings, read, process.apply)
        await process.start()
        event.note(event.Listening(process.callers.port))
        await stop_signal.wait()
        event.note(event.Stopping(len(process.callers.connections)))
        await process.stop()
