"""State shared by the components of one router process."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.config import holder, model, store
    from quetzalsill.platform import table
    from quetzalsill_router import settings
    from quetzalsill_router.durable import (
        answer,
        claim,
        journal,
        registration,
    )
    from quetzalsill_router.limit import length, shares
    from quetzalsill_router.peer import peers
    from quetzalsill_router.request import active, ident, recent_outcomes, retry
    from quetzalsill_router.routing import query

__all__ = ['Context']


@dataclasses.dataclass(slots=True)
class Context:
    """Components and state that requests of one router use.

    Attributes:
      settings: Settings of the process.
      holder: The active configuration.
      store: Configuration revisions in the platform.
      table: The platform's table service.
      recent: Recent outcomes of requests that are not journaled.
      peers: Links to sidecars.
      journal: Journal of accepted requests and their outcomes.
      claims: Idempotency keys.
      answers: Stored answers of settled requests.
      registration: Registration of this router, and the live routers.
      request_ids: Generator of ids for requests that are not journaled.
      active: Requests that this router is running.
      limiter: Enforces the limits of client accounts.
      lengths: Output length estimates.
      budget: Retry budget of this router.
      routing: Routing policy.
      policies: Names of the policies of `limiter` and `routing`.
      ready: Whether the load balancer may send new callers.
      stopping: Whether new requests are refused.
      closes_connections: Whether each response closes its connection, since
        this router is about to stop.
    """

    settings: settings.RouterSettings
    holder: holder.Holder
    store: store.ConfigStore
    table: table.Table
    recent: recent_outcomes.RecentOutcomes
    peers: peers.Peers
    journal: journal.Journal
    claims: claim.Claims
    answers: answer.Answers
    registration: registration.Registration
    request_ids: ident.RequestIds
    active: active.ActiveRequests
    limiter: shares.Limiter
    lengths: length.Lengths
    budget: retry.RetryBudget
    routing: query.Policy
    policies: model.Policies
    ready: bool = False
    stopping: bool = False
    closes_connections: bool = False
