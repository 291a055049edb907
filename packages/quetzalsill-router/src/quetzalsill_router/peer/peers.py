"""All sidecars that a router is linked to."""

from __future__ import annotations

import asyncio
import collections
import itertools
from typing import TYPE_CHECKING

from quetzalsill.wire import dial, message, pace
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
    """Default of `on_revision`."""


class Peers:
    """Keeps one `Peer` for each upstream of the router's subset."""

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
        """Makes an empty set; `reconcile` fills it.

        Args:
          node: Name and availability zone of the router.
          incarnation: Number of this run of the router.
          credential: Credential of the fleet's links.
          holder: Configuration in force.
          timing: Bounds of links.
          tls: Context of encrypted links, or a function that gives it for
            each dial, so that replaced certificates are used; None for
            plain ones.
          recover_s: Seconds without a link, or without an answer of a new
            sidecar, after which an attempt's outcome is given as unknown.
          on_revision: Called with a revision higher than the one in force
            and the peer that named it.
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
        """Gives an id that no attempt of any router has had."""
        return f'{self._node.name}/{self._incarnation}/{next(self._counter)}'

    def reconcile(
        self,
        cfg: model.Configuration,
        hosts: Iterable[platform_hosts.Host] | None,
    ) -> None:
        """Brings the peers to what configuration and host list say.

        Args:
          cfg: Configuration in force; it alone says which upstreams exist.
          hosts: The host list, a hint that lags; None while it is down,
            when what was known goes on.
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
        """Gives the peers that may get new work for a model or service."""
        return [
            peer
            for peer in self._peers_by_target.get(model_or_service, ())
            if peer.serves(model_or_service)
        ]

    def is_reconnecting(self, model_or_service: str) -> bool:
        """Whether a peer that serves it is dialed again after a lost link."""
        return any(
            peer.is_reconnecting(model_or_service)
            for peer in self._peers_by_target.get(model_or_service, ())
        )

    def peers(self) -> list[peer_module.Peer]:
        """Gives all peers, linked or not, in order of their names."""
        return [self._peers[name] for name in sorted(self._peers)]

    def get(self, upstream: str) -> peer_module.Peer | None:
        """Gives the peer of an upstream; None if it is not in the subset."""
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
        """Tells every sidecar of a new revision at once.

        A link that is never idle sends no heartbeat of its own, so that a
        sidecar under steady load would go on under the old revision.
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
        # A sidecar at another address is another one. Attempts open at the
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
        """Takes back a peer that still ends its attempts, if it is the same.

        A second link to one sidecar would split what is known of it.
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
        # The next reconcile makes a new one, should it be wanted after all.
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
            stretch=lambda: self._heartbeat_factor(peer),
        )

    def _heartbeat_factor(self, peer: peer_module.Peer) -> float:
        """Factor of the heartbeats of a link; none while it carries work."""
        return 1.0 if peer.outstanding else pace.dialled(len(self._peers))
