"""`python -m quetzalsill_dev.soak`: plays seeds and tells what broke."""

from __future__ import annotations

import asyncio
import pathlib
import sys

import click

from quetzalsill_dev.soak import run

__all__ = ['main']


@click.command()
@click.option('--first', default=1, help='First seed.')
@click.option('--seeds', default=1, help='How many seeds, one after another.')
@click.option('--seconds', default=10.0, help='How long faults are done.')
@click.option('--gateways', default=3, help='Processes under test.')
@click.option('--keep', type=click.Path(path_type=pathlib.Path),
              help='Folder for settings and logs of each seed.')  # fmt: skip
def main(
    first: int,
    seeds: int,
    seconds: float,
    gateways: int,
    keep: pathlib.Path | None,
) -> None:
    """Plays seeds; ends with an exit status other than 0 if one broke."""
    failed = 0
    for seed in range(first, first + seeds):
        folder = keep / str(seed) if keep else None
        result = asyncio.run(run.run(seed, seconds, gateways, folder))
        failed += bool(result.broken)
        click.echo(
            f'seed {seed}: {result.strikes} faults, {result.asked} asked, '
            f'{result.served} served, {len(result.broken)} broken'
        )
        for line in result.broken:
            click.echo(f'  {line}')
    click.echo(f'{seeds - failed} seeds held, {failed} broke')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
