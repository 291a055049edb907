"""Runs the stand-in: `python -m quetzalsill_dev.platform_standin`."""

from __future__ import annotations

import asyncio
import signal

import click

from quetzalsill_dev.platform_standin import serve

__all__ = ['main']


async def _run(part: str, port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    standin = serve.StandIn(part, port)
    await standin.start()
    print(f'ready port={standin.port}', flush=True)
    await stop.wait()
    await standin.stop()


@click.command()
@click.option('--part', type=click.Choice(['store', 'hosts', 'all']))
@click.option('--port', default=0, help='0 for a free port.')
def main(part: str | None, port: int) -> None:
    """Serves until SIGTERM or SIGINT."""
    asyncio.run(_run(part or 'all', port))


if __name__ == '__main__':
    main()
