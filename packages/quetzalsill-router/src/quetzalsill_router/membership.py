"""Follows the host list, and fetches configuration from sidecars."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from quetzalsill.platform import error as platform_error
from quetzalsill.schema import error as schema_error
from quetzalsill.wire import dial, message
from quetzalsill.wire import error as wire_error
from quetzalsill_router import event
from quetzalsill_router.admin import view
from quetzalsill_router.durable import row as durable_row
from quetzalsill_router.peer import error as peer_error

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncIterator

    from quetzalsill.config import holder as config_holder
    from quetzalsill.platform import hosts as platform_hosts
    from quetzalsill.platform import table as platform_table
    from quetzalsill_router import settings as settings_module
    from quetzalsill_router.durable import registration as durable_registration
    from quetzalsill_router.peer import peer as peer_module
    from quetzalsill_router.peer import peers as peers_module

__all__ = [
    'ConfigPuller',
    'fetch_newest_from_seeds',
    'list_routers',
    'poll_hosts',
    'poll_interval_s',
]

SEED_TIMEOUT_S = 3.0
# The host list is only a hint: a sidecar announces its own departure, and a
# configuration edit announces a new address within seconds. Reading it may use
# a third of a node's bandwidth for control traffic.
BYTES_PER_HOST = 112
MAX_LIST_BYTES_PER_S = 1000


async def poll_hosts(
    hosts: platform_hosts.HostList,
    holder: config_holder.Holder,
    peers: peers_module.Peers,
    interval_s: float,
) -> None:
    """Reconciles the peers with the host list until cancelled.

    The list may be stale. While it is unavailable, the peers stay unchanged.
    A long list is polled less often, as each poll transfers all of it.
    """
    down = False
    while True:
        delay_s = interval_s
        try:
            listed = await hosts.fetch()
        except platform_error.PlatformError as exc:
            if not down:
                event.note(event.HostListDown(detail=exc.detail))
            down = True
            listed = None
        else:
            down = False
            delay_s = poll_interval_s(interval_s, len(listed))
        peers.reconcile(holder.current, listed)
        await asyncio.sleep(delay_s)


def poll_interval_s(min_s: float, hosts: int) -> float:
    """Returns the poll interval in s for a list of `hosts` hosts."""
    return max(min_s, hosts * BYTES_PER_HOST / MAX_LIST_BYTES_PER_S)


class ConfigPuller:
    """Fetches a newer configuration from the sidecar that announced it.

    A peer may have the newest revision while the store is unavailable.
    """

    def __init__(self, holder: config_holder.Holder) -> None:
        self._holder = holder
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def on_newer_revision(self, revision: int, peer: peer_module.Peer) -> None:
        """Starts a fetch from a peer with a newer revision, unless running."""
        if peer.upstream in self._tasks:
            return
        task = asyncio.get_running_loop().create_task(self._pull(peer))
        self._tasks[peer.upstream] = task
        task.add_done_callback(lambda _: self._tasks.pop(peer.upstream))

    async def _pull(self, peer: peer_module.Peer) -> None:
        try:
            reply = await peer.fetch_config(self._holder.revision)
            self._holder.install(reply.document, reply.revision)
        except (
            peer_error.ConfigFetchError,
            schema_error.InvalidDocumentError,
        ) as exc:
            event.note(
                event.ConfigurationNotPulled(
                    upstream=peer.upstream, detail=str(exc)
                )
            )


async def list_routers(
    registration: durable_registration.Registration, table: platform_table.Table
) -> list[view.NodeView]:
    """Returns the live routers, with the revisions in their current rows.

    Raises:
      PlatformUnavailableError: The table is unavailable.
    """
    rows = [item.row for item in await durable_row.scan(table)]
    revisions = {(row.node, row.incarnation): row.revision for row in rows}
    return [
        view.NodeView(
            name=router.node,
            kind='router',
            state='live',
            availability_zone=router.availability_zone,
            address=router.address,
            incarnation=router.incarnation,
            revision=max(
                router.revision,
                revisions.get((router.node, router.incarnation), 0),
            ),
        )
        for router in registration.live_routers()
    ]


async def fetch_newest_from_seeds(
    settings: settings_module.RouterSettings,
    incarnation: int,
    tls: ssl.SSLContext | None,
) -> message.ConfigReply | None:
    """Queries all seeds concurrently and returns the newest configuration.

    With a single seed, a router that starts while the store is down could
    serve with a revision that was superseded long ago. The newest of several
    includes every accepted edit that reached one of the seeds.

    Returns:
      None if no seed has a configuration.
    """
    hello = message.Hello(
        message.VERSION,
        settings.node.name,
        incarnation,
        settings.credential,
        settings.node.availability_zone,
        0,
    )
    replies = await asyncio.gather(
        *(
            _fetch_from_seed(seed, hello, settings, tls)
            for seed in settings.seeds
        )
    )
    received = [reply for reply in replies if reply is not None]
    return max(received, key=lambda reply: reply.revision, default=None)


async def _fetch_from_seed(
    seed: str,
    hello: message.Hello,
    settings: settings_module.RouterSettings,
    tls: ssl.SSLContext | None,
) -> message.ConfigReply | None:
    """Returns a seed's configuration; None if it has none or fails."""
    try:
        async with (
            asyncio.timeout(SEED_TIMEOUT_S),
            _open_link(seed, hello, settings, tls) as messages,
        ):
            async for msg in messages:
                if isinstance(msg, message.ConfigReply):
                    return msg
    except (wire_error.WireError, TimeoutError) as exc:
        event.note(event.SeedUnreachable(seed=seed, detail=str(exc)))
    return None


@contextlib.asynccontextmanager
async def _open_link(
    seed: str,
    hello: message.Hello,
    settings: settings_module.RouterSettings,
    tls: ssl.SSLContext | None,
) -> AsyncIterator[AsyncIterator[message.Message]]:
    """Opens a link to a seed and requests its configuration."""
    host, _, port = seed.rpartition(':')
    link = await dial.dial(host, int(port), hello, settings.links, tls)
    try:
        link.send_nowait(message.ConfigFetch(0))
        yield link.messages()
    finally:
        link.close()
