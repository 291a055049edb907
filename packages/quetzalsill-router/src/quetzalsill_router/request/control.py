"""Running requests as operators see and cancel them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill_router.admin import view

if TYPE_CHECKING:
    from quetzalsill_router.request import active as active_module

__all__ = ['Control']

CANCEL_REASON = 'cancelled by an operator'


class Control:
    """Looks up and cancels the requests of this router."""

    def __init__(self, active: active_module.ActiveRequests) -> None:
        self._active = active

    async def find(self, request: str) -> view.RequestView | None:
        """Returns a running request; None if it does not run here."""
        running = self._active.get(request)
        return _view(running) if running is not None else None

    async def cancel(self, request: str) -> view.RequestView | None:
        """Cancels a request; None if it does not run here."""
        running = self._active.get(request)
        if running is None:
            return None
        running.cancel(CANCEL_REASON)
        return _view(running)


def _view(running: active_module.ActiveRequest) -> view.RequestView:
    """Shows a running request without its prompt and answer."""
    work = running.work
    started = running.ran_by_attempt.get(running.attempt) is base.Ran.YES
    return view.RequestView(
        request=work.request,
        state='running' if started else 'queued',
        account=work.account,
        profile=work.profile_name,
        model=work.target,
        upstream=running.upstream,
        attempts=running.attempts,
        age_s=round(time.monotonic() - running.accepted, 3),
        delivered=running.delivered,
        durable=work.durable,
        code=running.cancelled.code if running.cancelled else '',
    )
