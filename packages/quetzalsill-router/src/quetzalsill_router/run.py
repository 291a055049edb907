"""The router process: builds its components, serves, and stops."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import time
from typing import TYPE_CHECKING

from quetzalsill.config import follower as config_follower
from quetzalsill.config import holder as config_holder
from quetzalsill.config import store as config_store
from quetzalsill.daemon import background
from quetzalsill.net import client_memory, protocol, server
from quetzalsill.net import stop as net_stop
from quetzalsill.net import tls as net_tls
from quetzalsill.platform import clients
from quetzalsill.platform import error as platform_error
from quetzalsill.plugin import error as plugin_error
from quetzalsill.plugin import registry
from quetzalsill.schema import error as schema_error
from quetzalsill_router import context, event, membership
from quetzalsill_router.admin import context as admin_context
from quetzalsill_router.admin import routes, view
from quetzalsill_router.durable import registration as durable_registration
from quetzalsill_router.durable import state as durable_state
from quetzalsill_router.http import app as http_app
from quetzalsill_router.http import asgi, forward
from quetzalsill_router.limit import length
from quetzalsill_router.peer import peers as peers_module
from quetzalsill_router.request import (
    active,
    control,
    ident,
    recent_outcomes,
    retry,
    takeover,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import blacksheep

    from quetzalsill.config import model
    from quetzalsill_router import settings as settings_module

__all__ = ['run']

CONFIG_RETRY_S = 0.5
CLOSE_TIMEOUT_S = 5.0
ADMIN_STATUS_OK = 200
# Of a process whose settings do not name its memory.
DEFAULT_MEMORY_MB = 512
CONFIG_ERRORS = (
    platform_error.PlatformError,
    config_store.ConfigStoreError,
    schema_error.InvalidDocumentError,
)


async def run(settings: settings_module.RouterSettings) -> None:
    """Runs a router until SIGTERM or SIGINT; returns after a graceful stop."""
    with net_stop.StopSignal() as stop:
        async with clients.open_clients(settings.platform) as opened:
            await _serve(settings, opened, stop)


async def _serve(
    settings: settings_module.RouterSettings,
    platform: clients.Clients,
    stop: net_stop.StopSignal,
) -> None:
    """Serves callers until a stop is requested, then stops gracefully."""
    incarnation = ident.new_incarnation()
    ctx, state = _build(settings, platform, incarnation)
    app = http_app.build(ctx)
    _mount_admin(app, ctx)
    listener = server.HttpServer(
        asgi.wrap(app, lambda: ctx.closes_connections),
        settings.listen,
        settings.tls,
        protocol.Limits(write_timeout_s=settings.requests.write_stall_s),
        client_memory.bounds_of(settings.machine, DEFAULT_MEMORY_MB),
    )
    await listener.start()
    state.registration.router.address = (
        f'{settings.listen.host}:{listener.port}'
    )
    event.note(event.RouterReady(port=listener.port, incarnation=incarnation))
    async with _background(ctx, state, platform, incarnation):
        await stop.wait()
        await _drain(ctx, listener)
    await state.stop(settings.platform.timeout_s)
    await ctx.peers.stop()
    event.note(event.RouterStopped())


def _build(
    settings: settings_module.RouterSettings,
    platform: clients.Clients,
    incarnation: int,
) -> tuple[context.Context, durable_state.DurableState]:
    """Builds the components of a router that is not serving yet."""
    holder = config_holder.Holder()
    # Built at each dial, as the files are replaced before they expire.
    link_tls = functools.partial(net_tls.client_context, settings.link_tls)
    # Unusable files fail the start instead of every dial.
    link_tls()
    policies = holder.current.policies
    this_router = durable_registration.Router(
        node=settings.node.name,
        incarnation=incarnation,
        address='',
        availability_zone=settings.node.availability_zone,
        revision=0,
    )
    state = durable_state.DurableState(
        platform.table,
        platform.objects,
        this_router,
        settings.durable,
        lambda entry: takeover.recover(ctx, entry),
        lambda: takeover.release_superseded(ctx),
    )
    puller = membership.ConfigPuller(holder)
    peers = peers_module.Peers(
        settings.node,
        incarnation,
        settings.credential,
        holder,
        settings.links,
        link_tls,
        recover_s=settings.requests.recover_s,
        on_revision=puller.on_newer_revision,
    )
    ctx = context.Context(
        settings=settings,
        holder=holder,
        store=config_store.ConfigStore(platform.table, platform.objects),
        table=platform.table,
        recent=recent_outcomes.RecentOutcomes(),
        peers=peers,
        journal=state.journal,
        claims=state.claims,
        answers=state.answers,
        registration=state.registration,
        request_ids=ident.RequestIds(settings.node.name, incarnation),
        active=active.ActiveRequests(),
        limiter=_limiter(policies.limits, state),
        routing=registry.REGISTRY.get('routing', policies.routing),
        policies=policies,
        lengths=length.Lengths(),
        budget=retry.RetryBudget(
            settings.retries.budget_ratio, settings.retries.budget_burst
        ),
    )
    holder.on_change(lambda cfg: _apply_configuration(ctx, state, cfg))
    return ctx, state


def _limiter(name: str, state: durable_state.DurableState) -> object:
    """Makes the limiter of the named policy.

    Raises:
      UnknownPluginError: The policy is not registered.
    """
    make = registry.REGISTRY.get('limits', name)
    return make(state.registration.count)


def _apply_configuration(
    ctx: context.Context,
    state: durable_state.DurableState,
    cfg: model.Configuration,
) -> None:
    """Applies a new configuration to the components that keep state."""
    state.registration.router.revision = cfg.revision
    ctx.peers.reconcile(cfg, None)
    ctx.limiter.retain(set(cfg.accounts))
    try:
        _apply_policies(ctx, state, cfg.policies)
    except plugin_error.UnknownPluginError as exc:
        # Other routers may have plug-ins that this one lacks. The old
        # policies stay: without any, no request could be served.
        event.note(event.PolicyUnknown(detail=exc.detail))


def _apply_policies(
    ctx: context.Context,
    state: durable_state.DurableState,
    policies: model.Policies,
) -> None:
    """Replaces the policies; a limiter only if its name has changed."""
    if policies.limits != ctx.policies.limits:
        ctx.limiter = _limiter(policies.limits, state)
    ctx.routing = registry.REGISTRY.get('routing', policies.routing)
    ctx.policies = policies


def _mount_admin(app: blacksheep.Application, ctx: context.Context) -> None:
    """Mounts the administration API."""

    async def routers() -> list[view.NodeView]:
        return await membership.list_routers(ctx.registration, ctx.table)

    async def forward_to_routers(
        req: blacksheep.Request, request: str
    ) -> forward.ForwardResult:
        prefix = f'{routes.PREFIX}/requests'
        return await forward.forward_to_owner(
            ctx, req, prefix, request, ADMIN_STATUS_OK
        )

    routes.mount(
        app,
        admin_context.AdminContext(
            node=ctx.settings.node.name,
            bootstrap_sha256=ctx.settings.bootstrap_sha256,
            holder=ctx.holder,
            store=ctx.store,
            peers=ctx.peers.peers,
            routers=routers,
            requests=control.Control(ctx.active),
            forward_to_routers=forward_to_routers,
        ),
    )


@contextlib.asynccontextmanager
async def _background(
    ctx: context.Context,
    state: durable_state.DurableState,
    platform: clients.Clients,
    incarnation: int,
) -> AsyncIterator[None]:
    """Updates configuration, peers and registration in the background."""
    settings = ctx.settings
    follower = config_follower.Follower(
        ctx.store, ctx.holder, settings.follow_interval_s
    )

    async def hosts() -> None:
        await membership.poll_hosts(
            platform.hosts, ctx.holder, ctx.peers, settings.hosts_interval_s
        )

    state.start()
    tasks = [
        asyncio.create_task(_load_configuration(ctx, follower, incarnation)),
        asyncio.create_task(background.keep_running('follower', follower.run)),
        asyncio.create_task(background.keep_running('hosts', hosts)),
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _load_configuration(
    ctx: context.Context, follower: config_follower.Follower, incarnation: int
) -> None:
    """Loads the initial configuration, then marks the router as ready."""
    while ctx.holder.revision == 0:
        try:
            await follower.refresh()
        except CONFIG_ERRORS as exc:
            event.note(event.ConfigurationNotLoaded(detail=str(exc)))
            tls = net_tls.client_context(ctx.settings.link_tls)
            reply = await membership.fetch_newest_from_seeds(
                ctx.settings, incarnation, tls
            )
            if reply is not None:
                ctx.holder.install(reply.document, reply.revision)
        if ctx.holder.revision == 0:
            await asyncio.sleep(CONFIG_RETRY_S)
    ctx.ready = True


async def _drain(ctx: context.Context, listener: server.HttpServer) -> None:
    """Refuses new work and waits for running requests to end."""
    settings = ctx.settings.stop
    event.note(event.RouterStopping(running=len(ctx.active)))
    ctx.ready = False
    ctx.closes_connections = True
    await asyncio.sleep(settings.drain_delay_s)
    ctx.stopping = True
    for running in ctx.active:
        if running.work.recover_only:
            running.hand_over()
    deadline = time.monotonic() + settings.grace_s
    if not await ctx.active.wait_idle(settings.grace_s):
        _log_unfinished(ctx)
    tasks = [running.task for running in ctx.active]
    for running in ctx.active:
        running.hand_over()
    if tasks:
        await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_S)
    timeout_s = max(CLOSE_TIMEOUT_S, deadline - time.monotonic())
    open_connections = await listener.stop(timeout_s)
    if open_connections:
        event.note(event.ConnectionsCut(count=open_connections))


def _log_unfinished(ctx: context.Context) -> None:
    """Logs the requests that still run at the end of the grace period."""
    for running in ctx.active:
        event.note(
            event.RequestUnfinished(
                request=running.work.request,
                account=running.work.account,
                target=running.work.target,
                upstream=running.upstream,
                durable=running.work.durable,
                seconds=round(time.monotonic() - running.accepted, 1),
            )
        )
