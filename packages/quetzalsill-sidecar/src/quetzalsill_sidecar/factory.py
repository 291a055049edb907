"""Creates attempts and queue demands from Dispatches and configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.config import model
from quetzalsill.wire import kind
from quetzalsill_sidecar.attempt import body, state, tail
from quetzalsill_sidecar.queue import policy

if TYPE_CHECKING:
    from quetzalsill.wire import message
    from quetzalsill_sidecar import settings as settings_lib

__all__ = ['make_attempt', 'make_demand']


def make_attempt(
    dispatch: message.Dispatch,
    settings: settings_lib.SidecarSettings,
    cfg: model.Configuration,
    now: float,
) -> state.Attempt:
    """Creates the state of an attempt that arrived at `now`.

    For durable profiles the whole answer is kept as long as the attempt is
    known, so that another router can take it over from its first item.
    """
    bounds, timing = settings.bounds, settings.timing
    durable = _profile(dispatch, cfg).durable
    is_call = dispatch.kind == kind.CALL
    return state.Attempt(
        dispatch=dispatch,
        arrived=now,
        deadline=now + dispatch.remaining_ms / 1000,
        queue_deadline=now + dispatch.queue_ms / 1000,
        tail=tail.Tail(
            dispatch.attempt,
            dispatch.credit,
            bounds.call_bytes if is_call else bounds.tail_bytes,
            keep_all=durable and not is_call,
        ),
        body=body.RequestBody(
            dispatch.payload,
            is_open=dispatch.body_open,
            max_bytes=bounds.body_bytes,
        ),
        orphan_s=timing.durable_orphan_s if durable else timing.orphan_s,
    )


def make_demand(
    attempt: state.Attempt, cfg: model.Configuration
) -> policy.Demand:
    """Creates the queue demand of an attempt under a configuration."""
    dispatch = attempt.dispatch
    profile = _profile(dispatch, cfg)
    account = cfg.accounts.get(dispatch.account)
    return policy.Demand(
        attempt=attempt.id,
        account=dispatch.account,
        profile=dispatch.profile,
        model=dispatch.model,
        arrived=attempt.arrived,
        weight=account.weight if account else 1.0,
        priority=profile.priority,
        ageing_s=profile.ageing_s,
        uses_headroom=profile.uses_headroom,
        quantile=profile.memory_quantile,
        prompt_tokens=dispatch.prompt_tokens,
        max_tokens=dispatch.max_tokens,
    )


def _profile(
    dispatch: message.Dispatch, cfg: model.Configuration
) -> model.Profile:
    return cfg.profiles.get(dispatch.profile) or model.Profile()
