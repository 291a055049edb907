"""What the parts of one router process share."""

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
    """The router as its requests see it.

    Attributes:
      settings: Settings of the process.
      holder: The configuration in force.
      store: Revisions in the platform.
      table: The platform's table.
      recent: Outcomes that no journal keeps.
      peers: Links to sidecars.
      journal: Makes acceptances and outcomes durable.
      claims: Idempotency keys.
      answers: Settled answers.
      registration: The live routers.
      request_ids: Source of ids of requests that no journal names.
      active: Requests that run here now.
      limiter: Limits of client accounts.
      lengths: Observed output lengths.
      budget: Budget of the router's own retries.
      routing: Policy that chooses the upstream.
      policies: Names of the policies that `limiter` and `routing` follow.
      ready: Whether the balancer should send new callers.
      stopping: No new work is taken.
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
