"""Entry point of `quetzalsilld`."""

from __future__ import annotations

import sys
import traceback

import click

from quetzalsill.daemon import command, exit_code
from quetzalsill.error import base

__all__ = ['main']


def main() -> None:
    """Runs the command line; see `daemon.exit_code` for the exit codes."""
    try:
        command.cli(prog_name='quetzalsilld')
    except base.QuetzalsillError as exc:
        click.echo(f'{type(exc).__name__}: {exc}. {exc.advice}', err=True)
        sys.exit(exit_code.ExitCode.CANNOT_START)
    except Exception:
        traceback.print_exc()
        sys.exit(exit_code.ExitCode.INTERNAL)


if __name__ == '__main__':
    main()
