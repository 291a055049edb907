"""Registers the router's role and policies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.plugin import role
from quetzalsill_router import settings
from quetzalsill_router.limit import shares
from quetzalsill_router.routing import baseline, expected_wait

if TYPE_CHECKING:
    from quetzalsill.plugin import registry

__all__ = ['register']


def register(registry: registry.Registry) -> None:
    """Registers the router's role and its policies."""
    registry.add(
        'role',
        'router',
        role.Role(
            'router',
            settings.RouterSettings,
            role.run_lazily('quetzalsill_router.run'),
        ),
        'Takes the requests of callers on an entry host.',
    )
    registry.add(
        'routing',
        'expected-wait',
        expected_wait.expected_wait(),
        'Least expected wait of a few candidates.',
    )
    registry.add('routing', 'rotate', baseline.rotate(), 'Candidates in turn.')
    registry.add(
        'routing',
        'fewest-outstanding',
        baseline.fewest_outstanding(),
        'Fewest own attempts outstanding.',
    )
    registry.add(
        'limits',
        'shares',
        shares.make_limiter,
        'Even parts of each limit for the live routers.',
    )
