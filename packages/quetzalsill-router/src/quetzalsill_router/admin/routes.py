"""Mounts the administration API on the router's application."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import blacksheep

    from quetzalsill_router.admin import context as admin_context

__all__ = ['PREFIX', 'mount']

PREFIX = '/admin/v1'


def mount(
    app: blacksheep.Application, context: admin_context.AdminContext
) -> None:
    """Adds every route below `/admin/v1` to the application."""
