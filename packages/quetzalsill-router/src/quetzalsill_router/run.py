"""The router process: wires its parts together and stops gracefully."""

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
from quetzalsill.net import protocol, server
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
LAST_WORD_S = 5.0
ADMIN_ANSWERED = 200
UNREADABLE = (
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
    """Serves callers until the stop is asked for, and then stops."""
    incarnation = ident.new_incarnation()
    ctx, state = _build(settings, platform, incarnation)
    app = http_app.build(ctx)
    _mount_admin(app, ctx)
    listener = server.HttpServer(
        asgi.wrap(app),
        settings.listen,
        settings.tls,
        protocol.Bounds(write_s=settings.requests.write_stall_s),
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
    """Makes the parts of a router that is not serving yet."""
    holder = config_holder.Holder()
    # Asked for at each dial, as the files are replaced before they expire.
    link_tls = functools.partial(net_tls.client_context, settings.link_tls)
    # Files that cannot be used end the start instead of each dial.
    link_tls()
    policies = holder.current.policies
    me = durable_registration.Router(
        node=settings.node.name,
        incarnation=incarnation,
        address='',
        availability_zone=settings.node.availability_zone,
        revision=0,
    )
    state = durable_state.DurableState(
        platform.table,
        platform.objects,
        me,
        settings.durable,
        lambda entry: takeover.recover(ctx, entry),
        lambda: takeover.release_superseded(ctx),
    )
    puller = membership.Puller(holder)
    peers = peers_module.Peers(
        settings.node,
        incarnation,
        settings.credential,
        holder,
        settings.links,
        link_tls,
        recover_s=settings.requests.recover_s,
        on_revision=puller.notice,
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
    holder.on_change(lambda cfg: _reconfigure(ctx, state, cfg))
    return ctx, state


def _limiter(name: str, state: durable_state.DurableState) -> object:
    """Makes the limiter of a policy.

    Raises:
      UnknownPluginError: There is no such policy.
    """
    make = registry.REGISTRY.get('limits', name)
    return make(state.registration.count)


def _reconfigure(
    ctx: context.Context,
    state: durable_state.DurableState,
    cfg: model.Configuration,
) -> None:
    """Puts a new configuration in force in the parts that keep state."""
    state.registration.router.revision = cfg.revision
    ctx.peers.reconcile(cfg, None)
    ctx.limiter.forget(set(cfg.accounts))
    try:
        _change_policies(ctx, state, cfg.policies)
    except plugin_error.UnknownPluginError as exc:
        # Another router may have plug-ins that this one lacks; without a
        # policy no request at all could be served here.
        event.note(event.PolicyUnknown(detail=exc.detail))


def _change_policies(
    ctx: context.Context,
    state: durable_state.DurableState,
    policies: model.Policies,
) -> None:
    """Makes the policies that have changed by name."""
    if policies.limits != ctx.policies.limits:
        ctx.limiter = _limiter(policies.limits, state)
    ctx.routing = registry.REGISTRY.get('routing', policies.routing)
    ctx.policies = policies


def _mount_admin(app: blacksheep.Application, ctx: context.Context) -> None:
    """Mounts the administration API."""

    async def routers() -> list[view.NodeView]:
        return await membership.routers(ctx.registration, ctx.table)

    async def forward_to_routers(
        req: blacksheep.Request, request: str
    ) -> forward.Elsewhere:
        prefix = f'{routes.PREFIX}/requests'
        return await forward.ask(ctx, req, prefix, request, ADMIN_ANSWERED)

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
    """Keeps configuration, peers and registration up to date meanwhile."""
    settings = ctx.settings
    follower = config_follower.Follower(
        ctx.store, ctx.holder, settings.follow_interval_s
    )

    async def hosts() -> None:
        await membership.follow_hosts(
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
    """Gets the first configuration, then lets the balancer send callers."""
    while ctx.holder.revision == 0:
        try:
            await follower.refresh()
        except UNREADABLE as exc:
            event.note(event.ConfigurationNotLoaded(detail=str(exc)))
            tls = net_tls.client_context(ctx.settings.link_tls)
            reply = await membership.newest_of_seeds(
                ctx.settings, incarnation, tls
            )
            if reply is not None:
                ctx.holder.install(reply.document, reply.revision)
        if ctx.holder.revision == 0:
            await asyncio.sleep(CONFIG_RETRY_S)
    ctx.ready = True


async def _drain(ctx: context.Context, listener: server.HttpServer) -> None:
    """Takes no new work and lets what runs come to its end."""
    settings = ctx.settings.stop
    event.note(event.RouterStopping(running=len(ctx.active)))
    ctx.ready = False
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
        await asyncio.wait(tasks, timeout=LAST_WORD_S)
    left_s = max(LAST_WORD_S, deadline - time.monotonic())
    cut = await listener.stop(left_s)
    if cut:
        event.note(event.ConnectionsCut(count=cut))


def _log_unfinished(ctx: context.Context) -> None:
    """Tells the operator what still runs at the end of the grace."""
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
