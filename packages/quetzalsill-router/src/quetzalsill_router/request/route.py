"""Choice of the route of a call to a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.config import model

__all__ = ['pick_route']


def pick_route(
    service: model.Service, method: str, path: str
) -> model.Route | None:
    """Returns the route with the longest path that takes the call."""
    path_only = path.partition('?')[0]
    matching = [
        route
        for route in service.routes
        if _is_under(path_only, route.path)
        and (not route.methods or method in route.methods)
    ]
    return max(matching, key=lambda route: len(route.path), default=None)


def _is_under(path: str, prefix: str) -> bool:
    """Whether `path` is `prefix` or stands below it."""
    stem = prefix.rstrip('/')
    return path in (prefix, stem) or path.startswith(f'{stem}/')
