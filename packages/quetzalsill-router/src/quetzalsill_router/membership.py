"""Keeps the router's peers and configuration in step with the system."""

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
# The list is a hint: a sidecar itself says that it is leaving, and an edit
# gives a new address within seconds. So it may cost a third of what a node
# has for control.
BYTES_PER_HOST = 112
MAX_LIST_BYTES_PER_S = 1000


async def poll_hosts(
    hosts: platform_hosts.HostList,
    holder: config_holder.Holder,
    peers: peers_module.Peers,
    interval_s: float,
) -> None:
    """Reconciles the peers with the host list, until cancelled.

    The list lags and may be down; the peers then go on as they are. A long
    list is read more rarely, since it comes whole each time.
    """
    down = False
    while True:
        wait_s = interval_s
        try:
            found = await hosts.fetch()
        except platform_error.PlatformError as exc:
            if not down:
                event.note(event.HostListDown(detail=exc.detail))
            down = True
            found = None
        else:
            down = False
            wait_s = poll_interval_s(interval_s, len(found))
        peers.reconcile(holder.current, found)
        await asyncio.sleep(wait_s)


def poll_interval_s(least_s: float, hosts: int) -> float:
    """Gives the time between two reads of a list of so many hosts, in s."""
    return max(least_s, hosts * BYTES_PER_HOST / MAX_LIST_BYTES_PER_S)


class ConfigPuller:
    """Fetches a newer configuration from the sidecar that named it.

    The store may be down while a peer has the newest revision already.
    """

    def __init__(self, holder: config_holder.Holder) -> None:
        self._holder = holder
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def on_newer_revision(self, revision: int, peer: peer_module.Peer) -> None:
        """Starts one fetch from a peer that has a newer revision."""
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
    """Reads the live routers, with the revisions that their rows name now.

    Raises:
      PlatformUnavailableError: The table does not answer.
    """
    rows = [found.row for found in await durable_row.scan(table)]
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
    """Asks all seeds at once and returns the newest configuration.

    A router that starts while the store is down could otherwise serve
    under a revision that was superseded long ago: the newest of several
    is what was last in force wherever an accepted edit arrived.

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
    known = [reply for reply in replies if reply is not None]
    return max(known, key=lambda reply: reply.revision, default=None)


async def _fetch_from_seed(
    seed: str,
    hello: message.Hello,
    settings: settings_module.RouterSettings,
    tls: ssl.SSLContext | None,
) -> message.ConfigReply | None:
    """Returns the configuration of one seed; None if it has or says none."""
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
    """Opens a link to a seed and asks for its configuration."""
    host, _, port = seed.rpartition(':')
    link = await dial.dial(host, int(port), hello, settings.links, tls)
    try:
        link.send_nowait(message.ConfigFetch(0))
        yield link.messages()
    finally:
        link.close()
