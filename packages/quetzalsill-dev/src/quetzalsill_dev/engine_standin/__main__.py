"""Command line of the engine stand-in."""

from __future__ import annotations

import click

from quetzalsill_dev import serve
from quetzalsill_dev.engine_standin import app, engine, model

__all__ = ['main']


@click.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', default=0, help='0 for a free port.')
@click.option('--capacity-tokens', default=20_000, type=click.IntRange(2))
@click.option('--max-batch', default=64, type=click.IntRange(1))
@click.option(
    '--token-s',
    default=0.02,
    help='Duration of a step without load, in seconds.',
)
@click.option(
    '--models', default='', help='Names of loaded models, separated by commas.'
)
@click.option('--checks-fence', is_flag=True)
@click.option('--seed', default=0, help='Seed of the lengths of responses.')
def main(
    host: str,
    port: int,
    capacity_tokens: int,
    max_batch: int,
    token_s: float,
    models: str,
    checks_fence: bool,
    seed: int,
) -> None:
    """Runs a stand-in of a model engine until SIGTERM or SIGINT."""
    options = engine.EngineOptions(
        capacity_tokens=capacity_tokens,
        max_batch=max_batch,
        costs=model.Costs(base_s=token_s),
        models=[name for name in models.split(',') if name],
        checks_fence=checks_fence,
        seed=seed,
    )
    serve.run(app.make_app(engine.Engine(options)), host, port)


if __name__ == '__main__':
    main()
