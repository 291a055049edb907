"""The set of sidecars that a router is linked to."""

from __future__ import annotations

import asyncio
import collections
import itertools
from typing import TYPE_CHECKING

from quetzalsill.wire import dial, heartbeat, message
from quetzalsill_router import event
from quetzalsill_router.peer import peer as peer_module
from quetzalsill_router.peer import subset

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Iterable

    from quetzalsill.config import holder as config_holder
    from quetzalsill.config import model
    from quetzalsill.platform import hosts as platform_hosts
    from quetzalsill.settings import section
    from quetzalsill.wire import link

    Tls = ssl.SSLContext | Callable[[], ssl.SSLContext | None] | None

__all__ = ['RECOVER_S', 'Peers']


RECOVER_S = 15.0


def _ignore_revision(revision: int, peer: peer_module.Peer) -> None:
    """Does nothing; the default of `on_revision`."""


class Peers:
    """Maintains one `Peer` for each upstream in the router's subset."""

    def __init__(
        self,
        node: section.Node,
        incarnation: int,
        credential: str,
        holder: config_holder.Holder,
        timing: section.LinkTiming,
        tls: Tls = None,
        *,
        recover_s: float = RECOVER_S,
        on_revision: Callable[[int, peer_module.Peer], None] | None = None,
    ) -> None:
        """Initializes an empty set; `reconcile` fills it.

        Args:
          node: Name and availability zone of the router.
          incarnation: Number of this start of the router.
          credential: Credential for the fleet's links.
          holder: Holder of the current configuration.
          timing: Timeouts of links.
          tls: Context for encrypted links, or a function that returns it for
            each dial, so that renewed certificates are used; None for
            unencrypted links.
          recover_s: Seconds without a link, or without a response from a new
            sidecar, after which an attempt's outcome is reported as unknown.
          on_revision: Called with a revision newer than the current one and
            the peer that reported it.
        """
        self._node = node
        self._incarnation = incarnation
        self._credential = credential
        self._holder = holder
        self._timing = timing
        self._tls = tls
        self._recover_s = recover_s
        self._on_revision = on_revision or _ignore_revision
        self._peers: dict[str, peer_module.Peer] = {}
        self._retiring: dict[str, peer_module.Peer] = {}
        self._tasks: dict[peer_module.Peer, asyncio.Task[None]] = {}
        self._hosts: dict[str, platform_hosts.Host] = {}
        self._peers_by_target: dict[str, list[peer_module.Peer]] = {}
        self._counter = itertools.count(1)
        holder.on_change(self._broadcast_revision)

    def next_attempt_id(self) -> str:
        """Returns an attempt id that is unique across all routers."""
        return f'{self._node.name}/{self._incarnation}/{next(self._counter)}'

    def reconcile(
        self,
        cfg: model.Configuration,
        hosts: Iterable[platform_hosts.Host] | None,
    ) -> None:
        """Reconciles the peers with the configuration and the host list.

        Args:
          cfg: Current configuration; it alone defines which upstreams exist.
          hosts: The host list, a hint that may lag; None if it is
            unavailable, then the previous list stays in use.
        """
        if hosts is not None:
            self._hosts = {
                host.name: host for host in hosts if host.kind == 'upstream'
            }
        wanted = subset.select_upstreams(
            self._node.name,
            self._node.availability_zone,
            cfg,
            self._passive(cfg),
        )
        for name in sorted(self._peers.keys() - wanted):
            self._retire(name)
        for name in sorted(wanted):
            self._ensure_peer(name, cfg.upstreams[name])
        self._peers_by_target = self._index_by_target(cfg)

    def candidates(self, model_or_service: str) -> list[peer_module.Peer]:
        """Returns the peers that accept new work for a model or service."""
        return [
            peer
            for peer in self._peers_by_target.get(model_or_service, ())
            if peer.serves(model_or_service)
        ]

    def is_reconnecting(self, model_or_service: str) -> bool:
        """Whether a peer that serves it is reconnecting after a lost link."""
        return any(
            peer.is_reconnecting(model_or_service)
            for peer in self._peers_by_target.get(model_or_service, ())
        )

    def peers(self) -> list[peer_module.Peer]:
        """Returns all peers, linked or not, sorted by name."""
        return [self._peers[name] for name in sorted(self._peers)]

    def get(self, upstream: str) -> peer_module.Peer | None:
        """Returns the peer of an upstream; None if it is not in the subset."""
        return self._peers.get(upstream)

    async def stop(self) -> None:
        """Closes all links; open attempts end with an unknown outcome."""
        for peer in self._tasks:
            peer.send_go_away('shutting down')
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _broadcast_revision(self, cfg: model.Configuration) -> None:
        """Sends a new revision to every sidecar at once.

        Revisions are otherwise sent with heartbeats, and a link that is never
        idle sends none. A sidecar under steady load would keep using the old
        revision.
        """
        for peer in (*self._peers.values(), *self._retiring.values()):
            peer.send(message.Ping(0, cfg.revision))

    def _passive(self, cfg: model.Configuration) -> set[str]:
        leaving = {name for name, peer in self._peers.items() if peer.leaving}
        return leaving | {
            name
            for name, spec in cfg.upstreams.items()
            if spec.draining or self._listed_host(name)[0] == 'leaving'
        }

    def _listed_host(self, name: str) -> tuple[str, str]:
        host = self._hosts.get(name)
        return (host.state, host.address) if host else ('', '')

    def _ensure_peer(self, name: str, spec: model.Upstream) -> None:
        peer = self._peers.get(name)
        # A different address means a different sidecar. Attempts open at the
        # old one end there.
        if peer is not None and peer.address != spec.sidecar:
            self._retire(name)
            peer = None
        if peer is None:
            peer = self._reinstate(name, spec) or self._add(name, spec)
        peer.update(spec, *self._listed_host(name))

    def _retire(self, name: str) -> None:
        peer = self._peers.pop(name)
        self._retiring[name] = peer
        peer.retire()

    def _reinstate(
        self, name: str, spec: model.Upstream
    ) -> peer_module.Peer | None:
        """Reuses a retiring peer that still has attempts, if it is the same.

        A second link to one sidecar would split its state.
        """
        peer = self._retiring.get(name)
        if peer is None or peer.address != spec.sidecar:
            return None
        del self._retiring[name]
        self._peers[name] = peer
        peer.reinstate()
        return peer

    def _add(self, name: str, spec: model.Upstream) -> peer_module.Peer:
        peer = peer_module.Peer(
            name,
            spec,
            self._connect,
            self._holder,
            self._recover_s,
            self._on_revision,
        )
        self._peers[name] = peer
        task = asyncio.get_running_loop().create_task(peer.run())
        self._tasks[peer] = task
        task.add_done_callback(lambda task: self._on_task_done(peer, task))
        return peer

    def _on_task_done(
        self, peer: peer_module.Peer, task: asyncio.Task[None]
    ) -> None:
        self._tasks.pop(peer)
        if self._retiring.get(peer.upstream) is peer:
            del self._retiring[peer.upstream]
        if task.cancelled():
            return
        # The next `reconcile` creates a new one if it is still needed.
        if self._peers.get(peer.upstream) is peer:
            del self._peers[peer.upstream]
        if task.exception() is not None:
            event.note(
                event.PeerTaskFailed(
                    upstream=peer.upstream,
                ),
                exc=task.exception(),
            )

    def _index_by_target(
        self, cfg: model.Configuration
    ) -> dict[str, list[peer_module.Peer]]:
        by_target = collections.defaultdict(list)
        for peer in self.peers():
            spec = cfg.upstreams[peer.upstream]
            for target in (*spec.models, *spec.services):
                by_target[target].append(peer)
        return dict(by_target)

    async def _connect(
        self, host: str, port: int, peer: peer_module.Peer
    ) -> link.Link:
        hello = message.Hello(
            message.VERSION,
            self._node.name,
            self._incarnation,
            self._credential,
            self._node.availability_zone,
            self._holder.revision,
        )
        return await dial.dial(
            host,
            port,
            hello,
            self._timing,
            self._tls() if callable(self._tls) else self._tls,
            revision=lambda: self._holder.revision,
            on_revision=peer.record_revision,
            heartbeat_factor=lambda: self._heartbeat_factor(peer),
        )

    def _heartbeat_factor(self, peer: peer_module.Peer) -> float:
        """Returns the heartbeat interval factor; 1 while work is open."""
        return (
            1.0
            if peer.outstanding
            else heartbeat.dialling_factor(len(self._peers))
        )
