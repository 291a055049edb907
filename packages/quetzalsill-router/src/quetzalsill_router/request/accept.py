"""Builds `Work` from a validated API request."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill_router.request import field, spec

if TYPE_CHECKING:
    from quetzalsill.config import model
    from quetzalsill_router import context
    from quetzalsill_router.http import auth, generation

__all__ = [
    'build_generation_work',
    'check_accepting',
    'limit_tokens',
    'pick_profile',
]

STOPPING_RETRY_AFTER_S = 1.0
FALLBACK_PROFILE = 'prompt'


def check_accepting(ctx: context.Context) -> None:
    """Refuses new work while the process stops or has no configuration.

    Raises:
      ShuttingDownError: The process accepts no new work; not run.
      StoreUnavailableError: No configuration was loaded yet; not run.
    """
    if ctx.stopping:
        raise request_error.ShuttingDownError(
            'this router is stopping', retry_after_s=STOPPING_RETRY_AFTER_S
        )
    if ctx.holder.revision == 0:
        raise request_error.StoreUnavailableError(
            'this router has no configuration yet',
            retry_after_s=STOPPING_RETRY_AFTER_S,
        )


def pick_profile(
    cfg: model.Configuration,
    caller: auth.Caller,
    requested: str,
    model_default: str = '',
) -> tuple[str, model.Profile]:
    """Returns the name of the profile to use, and the profile.

    The name is the first one set of: the requested one, the account's
    default, the model's default, and `prompt`.

    Raises:
      UnknownProfileError: No such profile.
      ForbiddenError: The account may not use it.
    """
    account_default = caller.account.default_profile
    name = requested or account_default or model_default or FALLBACK_PROFILE
    profile = cfg.profiles.get(name)
    if profile is None:
        raise request_error.UnknownProfileError(
            f'no profile {name!r}',
            advice='Name one of the configured profiles.',
        )
    allowed = caller.account.profiles
    if allowed and name not in allowed:
        raise request_error.ForbiddenError(
            f'account {caller.name} may not use profile {name!r}',
            advice=f'Use one of: {", ".join(allowed)}.',
        )
    return name, profile


def build_generation_work(
    ctx: context.Context,
    caller: auth.Caller,
    requested: generation.Generation,
    profile_name: str,
    key: str,
) -> spec.Work:
    """Builds the work of a completion or chat request.

    Raises:
      RequestError: The configuration does not permit it.
    """
    cfg = ctx.holder.current
    target = cfg.models.get(requested.model)
    if target is None:
        raise request_error.UnknownModelError(f'no model {requested.model!r}')
    if requested.adapter and requested.adapter not in target.adapters:
        raise field.FieldError(
            'adapter', f'model {requested.model} has no {requested.adapter!r}'
        )
    name, profile = pick_profile(cfg, caller, profile_name, target.profile)
    _check_size(requested, target, profile)
    max_tokens = limit_tokens(
        requested.max_tokens, requested.prompt_tokens, target, profile
    )
    return spec.Work(
        request='',
        account=caller.name,
        profile_name=name,
        profile=profile,
        target=requested.model,
        kind=requested.kind,
        payload=requested.payload(max_tokens),
        deadline=time.monotonic() + profile.deadline_s,
        idempotent=profile.idempotent,
        revision=cfg.revision,
        stream=requested.stream,
        prompt_tokens=requested.prompt_tokens,
        requested_tokens=requested.max_tokens,
        max_tokens=max_tokens,
        prefix=requested.prefix,
        adapter=requested.adapter,
        key=key,
    )


def limit_tokens(
    requested: int,
    prompt_tokens: int,
    target: model.Model,
    profile: model.Profile,
) -> int:
    """Returns the limit on generated tokens; 0 requests the maximum."""
    available = max(1, target.context_tokens - prompt_tokens)
    bound = min(available, profile.max_output_tokens)
    return min(requested or bound, bound)


def _check_size(
    requested: generation.Generation,
    target: model.Model,
    profile: model.Profile,
) -> None:
    """Checks that prompt and answer fit in the context and the profile.

    Raises:
      TooLargeError: The prompt fills the context.
      BadRequestError: The caller requests more tokens than allowed.
    """
    available = target.context_tokens - requested.prompt_tokens
    if available < 1:
        raise request_error.TooLargeError(
            f'the prompt has about {requested.prompt_tokens} tokens; the '
            f'context of the model holds {target.context_tokens}',
            advice='Shorten the prompt.',
        )
    bound = min(available, profile.max_output_tokens)
    if requested.max_tokens > bound:
        raise field.FieldError(
            'max_tokens',
            f'{requested.max_tokens} is over {bound}',
            advice=f'Ask for at most {bound} tokens with this profile.',
        )
