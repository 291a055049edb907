"""Whether a Dispatch may run here; every refusal means not run."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.wire import message
    from quetzalsill_sidecar.attempt import fence

__all__ = ['SidecarState', 'Refusal', 'find_refusal']

LEAST_RETRY_MS = 100
NOT_NEGATIVE = ('prompt_tokens', 'max_tokens', 'credit', 'fence', 'engine')


@dataclasses.dataclass(slots=True)
class Refusal:
    """Why a Dispatch is refused.

    Attributes:
      code: Code of an `error.request` class.
      detail: Text for the reader.
      retry_after_ms: When coming back may help; 0 if unknown.
    """

    code: str
    detail: str
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True)
class SidecarState:
    """What the sidecar knows while it judges.

    Attributes:
      incarnation: Of this process.
      revision: Configuration in force.
      leaving: Why nothing new is taken; empty if it is.
      kinds: Kinds of Dispatch that the upstream serves.
      fences: Highest ownership epochs seen.
      queued: Attempts waiting.
      max_queued: Bound on them.
      expected_wait_ms: Wait that this Dispatch would see.
    """

    incarnation: int
    revision: int
    leaving: str
    kinds: tuple[str, ...]
    fences: fence.Fences
    queued: int
    max_queued: int
    expected_wait_ms: int


def find_refusal(
    dispatch: message.Dispatch, known: SidecarState
) -> Refusal | None:
    """Returns why the Dispatch is refused, or None if it may be queued.

    A recovery only attaches to work that the engine already has, so nothing
    that guards new work applies to it.
    """
    for check in RECOVER_CHECKS if dispatch.recover else ALL_CHECKS:
        verdict = check(dispatch, known)
        if verdict is not None:
            return verdict
    return None


def _check_incarnation(
    dispatch: message.Dispatch, known: SidecarState
) -> Refusal | None:
    if dispatch.incarnation == known.incarnation:
        return None
    return Refusal(
        request_error.SupersededError.code,
        f'this is incarnation {known.incarnation}',
    )


def _check_kind(
    dispatch: message.Dispatch, known: SidecarState
) -> Refusal | None:
    if dispatch.kind in known.kinds:
        return None
    return Refusal(
        request_error.BadRequestError.code,
        f'kind {dispatch.kind!r} is not served here',
    )


def _check_numbers(
    dispatch: message.Dispatch, known: SidecarState
) -> Refusal | None:
    # With a credit below 0 an attempt runs, never delivers and never ends;
    # lengths below 0 would be planned as memory that it gives back.
    del known
    for name in NOT_NEGATIVE:
        value = getattr(dispatch, name)
        if value < 0:
            return Refusal(
                request_error.BadRequestError.code,
                f'{name} is {value}, below 0',
            )
    return None


def _check_fence(
    dispatch: message.Dispatch, known: SidecarState
) -> Refusal | None:
    if known.fences.admit(dispatch.request, dispatch.fence):
        return None
    return Refusal(
        request_error.SupersededError.code, f'fence {dispatch.fence} is old'
    )


def _check_leaving(
    dispatch: message.Dispatch, known: SidecarState
) -> Refusal | None:
    del dispatch
    if not known.leaving:
        return None
    return Refusal(request_error.UpstreamLeavingError.code, known.leaving)


def _check_revision(
    dispatch: message.Dispatch, known: SidecarState
) -> Refusal | None:
    if dispatch.revision >= known.revision:
        return None
    return Refusal(
        request_error.StaleRevisionError.code,
        f'revision {known.revision} is in force',
    )


def _check_queue(
    dispatch: message.Dispatch, known: SidecarState
) -> Refusal | None:
    wait_ms = known.expected_wait_ms
    if known.queued >= known.max_queued:
        return Refusal(
            request_error.OverloadedError.code,
            'queue full',
            max(wait_ms, LEAST_RETRY_MS),
        )
    allowed_ms = min(dispatch.queue_ms, dispatch.remaining_ms)
    if wait_ms <= allowed_ms:
        return None
    retry_ms = max(wait_ms - allowed_ms, LEAST_RETRY_MS)
    return Refusal(
        request_error.OverloadedError.code,
        f'expected wait {wait_ms} ms',
        retry_ms,
    )


if TYPE_CHECKING:
    Check = Callable[[message.Dispatch, SidecarState], Refusal | None]

ALL_CHECKS: tuple[Check, ...] = (
    _check_incarnation,
    _check_kind,
    _check_numbers,
    _check_fence,
    _check_leaving,
    _check_revision,
    _check_queue,
)
RECOVER_CHECKS: tuple[Check, ...] = (
    _check_incarnation,
    _check_kind,
    _check_numbers,
    _check_fence,
)
