"""Interface between the administration API and its router."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import blacksheep

    from quetzalsill.config import holder, store
    from quetzalsill.wire import message
    from quetzalsill_router.admin import view
    from quetzalsill_router.http import forward

__all__ = ['AdminContext', 'LinkedPeer', 'RequestControl']


class LinkedPeer(Protocol):
    """The attributes of `peer.Peer` that are shown to operators."""

    upstream: str
    availability_zone: str
    incarnation: int
    linked: bool
    leaving: bool
    load: message.Load | None


class RequestControl(Protocol):
    """Looks up and cancels the requests of this router."""

    async def find(self, request: str) -> view.RequestView | None:
        """Returns a request; None if this router does not run it."""

    async def cancel(self, request: str) -> view.RequestView | None:
        """Cancels a request and returns its state; None if unknown."""


@dataclasses.dataclass(slots=True)
class AdminContext:
    """The parts of the router that the administration API uses.

    Attributes:
      node: Node name of this router.
      bootstrap_sha256: Digest of the credential that may apply the first
        configuration; empty if there is none.
      holder: The active configuration of this process; installing a revision
        announces it to the peers.
      store: The configuration revisions in the platform store.
      peers: Returns the current peers, one for each sidecar.
      routers: Reads the live routers from their registration rows; raises
        `PlatformUnavailableError`.
      requests: Looks up and cancels requests by id.
      forward_to_routers: Forwards a call about a request to the other
        routers.
    """

    node: str
    bootstrap_sha256: str
    holder: holder.Holder
    store: store.ConfigStore
    peers: Callable[[], Iterable[LinkedPeer]]
    routers: Callable[[], Awaitable[list[view.NodeView]]]
    requests: RequestControl
    forward_to_routers: Callable[
        [blacksheep.Request, str], Awaitable[forward.ForwardResult]
    ]
