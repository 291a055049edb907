"""Checks whether a Dispatch may run here.

A refused Dispatch has not run.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.wire import message
    from quetzalsill_sidecar.attempt import fence

__all__ = ['Refusal', 'SidecarState', 'find_refusal']

MIN_RETRY_MS = 100
NON_NEGATIVE_FIELDS = (
    'prompt_tokens',
    'max_tokens',
    'credit',
    'fence',
    'engine',
)


@dataclasses.dataclass(slots=True)
class Refusal:
    """Why a Dispatch is refused.

    Attributes:
      code: Code of an `error.request` class.
      detail: Explanation for a human reader.
      retry_after_ms: Delay after which a retry may succeed; 0 if unknown.
    """

    code: str
    detail: str
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True)
class SidecarState:
    """State of the sidecar that a Dispatch is checked against.

    Attributes:
      incarnation: Incarnation of this process.
      revision: Revision of the active configuration.
      leaving: Why new work is refused; empty if it is accepted.
      kinds: Kinds of Dispatch that the upstream serves.
      fences: Highest ownership epochs seen.
      queued: Number of queued attempts.
      max_queued: Limit on queued attempts.
      expected_wait_ms: Expected queue wait of this Dispatch.
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
    dispatch: message.Dispatch, sidecar: SidecarState
) -> Refusal | None:
    """Returns why the Dispatch is refused, or None if it may be queued.

    A recovery only attaches to work that the engine already has, so the
    checks for new work don't apply to it.
    """
    for check in RECOVER_CHECKS if dispatch.recover else ALL_CHECKS:
        refusal = check(dispatch, sidecar)
        if refusal is not None:
            return refusal
    return None


def _check_incarnation(
    dispatch: message.Dispatch, sidecar: SidecarState
) -> Refusal | None:
    if dispatch.incarnation == sidecar.incarnation:
        return None
    return Refusal(
        request_error.SupersededError.code,
        f'this is incarnation {sidecar.incarnation}',
    )


def _check_kind(
    dispatch: message.Dispatch, sidecar: SidecarState
) -> Refusal | None:
    if dispatch.kind in sidecar.kinds:
        return None
    return Refusal(
        request_error.BadRequestError.code,
        f'kind {dispatch.kind!r} is not served here',
    )


def _check_numbers(
    dispatch: message.Dispatch, sidecar: SidecarState
) -> Refusal | None:
    # With a negative credit an attempt would run without ever delivering or
    # ending; negative lengths would count as freed memory in admission.
    del sidecar
    for name in NON_NEGATIVE_FIELDS:
        value = getattr(dispatch, name)
        if value < 0:
            return Refusal(
                request_error.BadRequestError.code,
                f'{name} is {value}, below 0',
            )
    return None


def _check_fence(
    dispatch: message.Dispatch, sidecar: SidecarState
) -> Refusal | None:
    if sidecar.fences.admit(dispatch.request, dispatch.fence):
        return None
    return Refusal(
        request_error.SupersededError.code, f'fence {dispatch.fence} is old'
    )


def _check_leaving(
    dispatch: message.Dispatch, sidecar: SidecarState
) -> Refusal | None:
    del dispatch
    if not sidecar.leaving:
        return None
    return Refusal(request_error.UpstreamLeavingError.code, sidecar.leaving)


def _check_revision(
    dispatch: message.Dispatch, sidecar: SidecarState
) -> Refusal | None:
    if dispatch.revision >= sidecar.revision:
        return None
    return Refusal(
        request_error.StaleRevisionError.code,
        f'revision {sidecar.revision} is in force',
    )


def _check_queue(
    dispatch: message.Dispatch, sidecar: SidecarState
) -> Refusal | None:
    wait_ms = sidecar.expected_wait_ms
    if sidecar.queued >= sidecar.max_queued:
        return Refusal(
            request_error.OverloadedError.code,
            'queue full',
            max(wait_ms, MIN_RETRY_MS),
        )
    allowed_ms = min(dispatch.queue_ms, dispatch.remaining_ms)
    if wait_ms <= allowed_ms:
        return None
    retry_ms = max(wait_ms - allowed_ms, MIN_RETRY_MS)
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
