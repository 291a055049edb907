"""Runs the operators' command line as an operator would."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib
import sys
from typing import TYPE_CHECKING, Any

from quetzalsill_dev import board

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['CommandFailedError', 'CommandResult', 'run', 'run_json']

BINARY = pathlib.Path(sys.executable).with_name('quetzalsill')
TIMEOUT_S = 60.0


class CommandFailedError(Exception):
    """A command ended with an exit status other than 0."""


@dataclasses.dataclass(slots=True)
class CommandResult:
    """Result of an ended command.

    Attributes:
      exit_status: Exit status; `quetzalsill --help` says what each means.
      stdout: Text written to standard output.
      stderr: Text written to standard error.
    """

    exit_status: int
    stdout: str
    stderr: str


async def run(
    routers: Iterable[str], *args: str, token: str = board.OPERATOR_TOKEN
) -> CommandResult:
    """Runs `quetzalsill ARGS` against routers, given by their URLs.

    Raises:
      TimeoutError: The command did not end within TIMEOUT_S and was killed.
    """
    router_options = [f'--router={url}' for url in routers]
    process = await asyncio.create_subprocess_exec(
        BINARY,
        *router_options,
        *args,
        env=os.environ | {'QUETZALSILL_TOKEN': token},
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            stdout, stderr = await process.communicate()
    except TimeoutError:
        process.kill()
        await process.wait()
        raise
    return CommandResult(process.returncode, stdout.decode(), stderr.decode())


async def run_json(routers: Iterable[str], *args: str) -> Any:
    """Runs a read-only command with `--json` and returns its output.

    Raises:
      CommandFailedError: The command ended with an exit status other than 0.
    """
    result = await run(routers, *args, '--json')
    if result.exit_status:
        raise CommandFailedError(result.stderr)
    return json.loads(result.stdout)
