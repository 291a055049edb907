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

__all__ = ['CommandFailedError', 'Ended', 'operate', 'read']

BINARY = pathlib.Path(sys.executable).with_name('quetzalsill')
BOUND_S = 60.0


class CommandFailedError(Exception):
    """A command ended with another exit status than 0."""


@dataclasses.dataclass(slots=True)
class Ended:
    """An ended command.

    Attributes:
      status: Exit status; `quetzalsill --help` says what each means.
      output: What it printed on standard output.
      complaint: What it printed on standard error.
    """

    status: int
    output: str
    complaint: str


async def operate(
    routers: Iterable[str], *args: str, token: str = board.OPERATOR_TOKEN
) -> Ended:
    """Runs `quetzalsill ARGS` against routers, given by their URLs.

    Raises:
      TimeoutError: It did not end within the bound, and was killed.
    """
    named = [f'--router={url}' for url in routers]
    process = await asyncio.create_subprocess_exec(
        BINARY,
        *named,
        *args,
        env=os.environ | {'QUETZALSILL_TOKEN': token},
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(BOUND_S):
            output, complaint = await process.communicate()
    except TimeoutError:
        process.kill()
        await process.wait()
        raise
    return Ended(process.returncode, output.decode(), complaint.decode())


async def read(routers: Iterable[str], *args: str) -> Any:
    """Runs a reading command with `--json` and returns what it tells.

    Raises:
      CommandFailedError: It ended with another exit status than 0.
    """
    ended = await operate(routers, *args, '--json')
    if ended.status:
        raise CommandFailedError(ended.complaint)
    return json.loads(ended.output)
