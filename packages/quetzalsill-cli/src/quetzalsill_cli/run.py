"""Entry point `quetzalsill`."""

from __future__ import annotations

import click

__all__ = ['main']


@click.group()
def main() -> None:
    """Operates quetzalsill through the administration API of a router."""
