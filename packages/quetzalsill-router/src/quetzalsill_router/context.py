"""What the parts of one router process share."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.config import holder, store
    from quetzalsill_router import settings
    from quetzalsill_router.limit import length, shares
    from quetzalsill_router.peer import peers
    from quetzalsill_router.request import active, ident, retry

__all__ = ['Context']


@dataclasses.dataclass(slots=True)
class Context:
    """The router as its requests see it.

    Attributes:
      settings: Settings of the process.
      holder: The configuration in force.
      store: Revisions in the platform.
      peers: Links to sidecars.
      idents: Source of request and attempt ids.
      active: Requests that run here now.
      limiter: Limits of client accounts.
      lengths: Observed output lengths.
      budget: Budget of the router's own retries.
      ready: Whether the balancer should send new callers.
      stopping: No new work is taken.
    """

    settings: settings.RouterSettings
    holder: holder.Holder
    store: store.ConfigStore
    peers: peers.Peers
    idents: ident.Idents
    active: active.ActiveRequests
    limiter: shares.Limiter
    lengths: length.Lengths
    budget: retry.RetryBudget
    ready: bool = False
    stopping: bool = False
