"""What the administration API needs of the router around it."""

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
    """The part of `peer.Peer` that is shown to operators."""

    upstream: str
    availability_zone: str
    incarnation: int
    linked: bool
    leaving: bool
    load: message.Load | None


class RequestControl(Protocol):
    """Requests that this router knows of."""

    async def find(self, request: str) -> view.RequestView | None:
        """Looks a request up; None if it is unknown here."""

    async def cancel(self, request: str) -> view.RequestView | None:
        """Cancels a request and tells its state; None if unknown."""


@dataclasses.dataclass(slots=True)
class AdminContext:
    """The router as the administration API sees it.

    Attributes:
      node: Name of this router.
      bootstrap_sha256: Digest of the credential that may apply the first
        configuration; empty if there is none.
      holder: The configuration in force in this process; it tells the peers
        of each revision that is installed.
      store: The revisions in the platform.
      peers: Gives the present peers, one for each sidecar.
      routers: Reads the live routers from their registration rows; raises
        `PlatformUnavailableError`.
      requests: Requests by id.
      elsewhere: Sends a call about a request to the other routers.
    """

    node: str
    bootstrap_sha256: str
    holder: holder.Holder
    store: store.ConfigStore
    peers: Callable[[], Iterable[LinkedPeer]]
    routers: Callable[[], Awaitable[list[view.NodeView]]]
    requests: RequestControl
    forward_to_routers: Callable[
        [blacksheep.Request, str], Awaitable[forward.Elsewhere]
    ]
