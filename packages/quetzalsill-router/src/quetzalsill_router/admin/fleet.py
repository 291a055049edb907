"""Lists routers and sidecars with their state and active revision."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import TYPE_CHECKING

from quetzalsill.platform import error as platform_error
from quetzalsill_router.admin import response, view

if TYPE_CHECKING:
    from quetzalsill.config import model
    from quetzalsill.wire import message
    from quetzalsill_router.admin import call as admin_call
    from quetzalsill_router.admin import context as admin_context

__all__ = ['nodes', 'status']


def _load_view(load: message.Load) -> view.LoadView:
    return view.LoadView(
        queued=load.queued,
        running=load.running,
        used_tokens=load.used_tokens,
        capacity_tokens=load.capacity_tokens,
        expected_wait_ms=load.expected_wait_ms,
        models=load.models,
        healthy=load.healthy,
    )


def _state(peer: admin_context.LinkedPeer) -> str:
    if not peer.linked:
        return 'unlinked'
    return 'leaving' if peer.leaving else 'live'


def _sidecar_view(
    name: str,
    upstream: model.Upstream,
    peer: admin_context.LinkedPeer | None,
) -> view.NodeView:
    """Returns the view of an upstream's sidecar.

    State, load and revision come from the link of this router, if it has one.
    """
    linked = peer is not None and peer.linked
    load = peer.load if linked else None
    return view.NodeView(
        name=name,
        kind='sidecar',
        state=_state(peer) if peer is not None else 'unlinked',
        availability_zone=upstream.availability_zone,
        address=upstream.sidecar,
        incarnation=peer.incarnation if linked else 0,
        revision=load.revision if load is not None else 0,
        load=_load_view(load) if load is not None else None,
    )


def _sidecar_views(
    context: admin_context.AdminContext,
) -> Iterator[view.NodeView]:
    peers = {peer.upstream: peer for peer in context.peers()}
    for name, upstream in sorted(context.holder.current.upstreams.items()):
        yield _sidecar_view(name, upstream, peers.get(name))


async def _is_store_available(context: admin_context.AdminContext) -> bool:
    try:
        await context.store.head()
    except platform_error.PlatformError:
        return False
    return True


async def _router_views(
    context: admin_context.AdminContext,
) -> tuple[list[view.NodeView], bool]:
    """Returns the routers, and whether the store is available.

    While the store is down, the last known list may contain stopped routers
    and lack new ones.
    """
    confirmed = await _is_store_available(context)
    try:
        found = await context.routers()
    except platform_error.PlatformError:
        return [], False
    return [
        dataclasses.replace(router, revision=context.holder.revision)
        if router.name == context.node
        else router
        for router in found
    ], confirmed


async def nodes(call: admin_call.Call) -> response.Reply:
    """Returns every router and sidecar with its active revision.

    `complete` is false if the store is unavailable, so that the list of
    routers may be outdated.
    """
    context = call.context
    routers, complete = await _router_views(context)
    found = [*routers, *_sidecar_views(context)]
    return response.Reply(
        {
            'node': context.node,
            'revision': context.holder.revision,
            'complete': complete,
            'nodes': [dataclasses.asdict(node) for node in found],
        }
    )


def _count_in_state(found: list[view.NodeView], state: str) -> int:
    return sum(1 for node in found if node.state == state)


async def status(call: admin_call.Call) -> response.Reply:
    """Returns a summary of routers, sidecars, load and the store."""
    context = call.context
    routers, complete = await _router_views(context)
    sidecars = list(_sidecar_views(context))
    loads = [node.load for node in sidecars if node.load is not None]
    revision = context.holder.revision
    live = [n for n in (*routers, *sidecars) if n.state == 'live']
    return response.Reply(
        {
            'node': context.node,
            'operator': call.operator.name,
            'role': call.operator.role,
            'revision': revision,
            'store': 'available' if complete else 'unavailable',
            'routers': len(routers),
            'sidecars_live': _count_in_state(sidecars, 'live'),
            'sidecars_leaving': _count_in_state(sidecars, 'leaving'),
            'sidecars_unlinked': _count_in_state(sidecars, 'unlinked'),
            'behind': [n.name for n in live if n.revision < revision],
            'queued': sum(load.queued for load in loads),
            'running': sum(load.running for load in loads),
            'unhealthy': [
                n.name
                for n in sidecars
                if n.load is not None and not n.load.healthy
            ],
        }
    )
