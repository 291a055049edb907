"""Brings accepted work up to the configuration in force."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill_router.http import auth
from quetzalsill_router.request import accept, route, spec

if TYPE_CHECKING:
    from quetzalsill.config import model

__all__ = ['revalidate']


def revalidate(work: spec.Work, cfg: model.Configuration) -> int:
    """Decides about work anew if the configuration is another one by now.

    A router that was behind, such as one that was paused, is told so by the
    sidecar, which refuses the Dispatch. Sent again with a newer number but
    as it was decided before, the request would be served under the old
    revision. What the caller was promised (delivery, durability, deadline)
    stays; a journalled request is never refused here, as it was accepted.

    Returns:
      The revision under which the work is decided now.

    Raises:
      RequestError: The configuration no longer permits it.
    """
    if work.revision != cfg.revision:
        if work.entry is None:
            _check_permitted(work, cfg)
        _apply_limits(work, cfg)
        work.revision = cfg.revision
    return cfg.revision


def _check_permitted(work: spec.Work, cfg: model.Configuration) -> None:
    account = cfg.accounts.get(work.account)
    if account is None:
        raise request_error.UnauthorizedError('the account was removed')
    caller = auth.Caller(work.account, account)
    accept.pick_profile(cfg, caller, work.profile_name)
    if work.kind != spec.CALL and work.target not in cfg.models:
        raise request_error.UnknownModelError(f'no model {work.target!r}')
    if work.kind == spec.CALL and _route(work, cfg) is None:
        raise request_error.NotFoundError(
            f'service {work.target} has no route for {work.method} {work.path}'
        )


def _apply_limits(work: spec.Work, cfg: model.Configuration) -> None:
    profile = cfg.profiles.get(work.profile_name, work.profile)
    work.profile = dataclasses.replace(
        profile,
        delivery=work.profile.delivery,
        durable=work.profile.durable,
        deadline_s=work.profile.deadline_s,
    )
    if work.kind == spec.CALL:
        found = _route(work, cfg)
        still_idempotent = found is not None and found.idempotent
    else:
        still_idempotent = profile.idempotent
        target = cfg.models.get(work.target)
        if target is not None:
            work.max_tokens = accept.limit_tokens(
                work.requested_tokens, work.prompt_tokens, target, profile
            )
    # Work that was not idempotent at acceptance has its claim and its record
    # kept as such, so that it never becomes so.
    work.idempotent = work.idempotent and still_idempotent


def _route(work: spec.Work, cfg: model.Configuration) -> model.Route | None:
    service = cfg.services.get(work.target)
    if service is None:
        return None
    return route.pick_route(service, work.method, work.path)
