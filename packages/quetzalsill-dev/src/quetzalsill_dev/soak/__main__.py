"""`python -m quetzalsill_dev.soak`: runs seeds and prints violations."""

from __future__ import annotations

import asyncio
import pathlib
import statistics
import sys

import click

from quetzalsill_dev.soak import checks, run

__all__ = ['main']


@click.command()
@click.option('--first', default=1, help='First seed.')
@click.option('--seeds', default=1, help='Number of consecutive seeds.')
@click.option('--seconds', default=10.0, help='How long faults are injected.')
@click.option('--gateways', default=3, help='Number of gateway processes.')
@click.option(
    '--keep',
    type=click.Path(path_type=pathlib.Path),
    help='Folder for settings and logs of each seed.',
)
@click.option(
    '--only-drills',
    is_flag=True,
    help='Inject only restore drills and the faults that overlap them.',
)
@click.option(
    '--fleet-kills',
    is_flag=True,
    help='Inject kills of all gateways beside replacements and drills instead.',
)
@click.option(
    '--beside',
    is_flag=True,
    help='Run each seed again with outages in place of drills.',
)
def main(
    first: int,
    seeds: int,
    seconds: float,
    gateways: int,
    keep: pathlib.Path | None,
    *,
    only_drills: bool,
    fleet_kills: bool,
    beside: bool,
) -> None:
    """Runs seeds; exits with a non-zero status if one fails."""

    def run_seed(seed: int, *, rolls_back: bool) -> run.Result:
        name = str(seed) if rolls_back else f'{seed}-outage'
        result = asyncio.run(
            run.run(
                seed,
                seconds,
                gateways,
                keep / name if keep else None,
                rolls_back=rolls_back,
                only_drills=only_drills,
                fleet_kills=fleet_kills,
            )
        )
        click.echo(
            f'seed {name}: {result.injections} faults, {result.sent} sent, '
            f'{result.served} served, {result.lost} lost, '
            f'{result.streams} streams, {result.mixed} mixed, '
            f'{result.taken_up} taken up, {result.went_on:.2f} go on, '
            f'{result.began:.2f} begin, refused {result.refusals}, '
            f'{result.ended_by_parts} engines ended by parts, '
            f'{len(result.violations)} violations'
        )
        for line in result.violations:
            click.echo(f'  {line}')
        return result

    numbers = range(first, first + seeds)
    failed = 0
    loss_differences = []
    for seed in numbers:
        result = run_seed(seed, rolls_back=True)
        failed += bool(result.violations)
        if beside:
            outage = run_seed(seed, rolls_back=False)
            loss_differences.append(result.lost_share - outage.lost_share)
    click.echo(f'{seeds - failed} seeds passed, {failed} failed')
    is_worse = checks.is_significantly_above_zero(loss_differences)
    if loss_differences:
        mean = statistics.fmean(loss_differences)
        word = 'more' if is_worse else 'no more'
        click.echo(
            f'{word} lost than in outages: mean difference {mean:+.5f} of all '
            f'requests'
        )
    sys.exit(1 if failed or is_worse else 0)


if __name__ == '__main__':
    main()
