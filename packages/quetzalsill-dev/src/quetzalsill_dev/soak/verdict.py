"""What must hold, whatever was done: judged by callers and servers alone."""

from __future__ import annotations

import collections
import re
from typing import TYPE_CHECKING

from quetzalsill_dev.soak import stage as stage_lib
from quetzalsill_dev.users_platform import engine

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from quetzalsill_dev.soak import load as load_lib

__all__ = ['broken', 'of_logs']

NOT_RUN = (408, 421, 429, 503)
ONCE = ('unsafe', 'plan')
OK = 200
# What a process writes when something happened that nobody thought of.
UNFORESEEN = re.compile(r'Traceback|level=(?:error|critical)')


def broken(
    stage: stage_lib.Stage, told: Iterable[load_lib.Told]
) -> Iterator[str]:
    """Yields what callers and servers saw that must never be."""
    ran = collections.Counter(
        run[0] for desk in stage.desks for run in desk.runs
    )
    ran.update({name: len(at) for name, at in stage.fleet.started.items()})
    for one in told:
        where = f'{one.kind} {one.request_id} at {one.gateway}'
        times = ran[one.request_id]
        if one.kind in ONCE and times > 1:
            yield f'{where} ran {times} times'
        if one.answer.status in NOT_RUN and one.kind in ONCE and times:
            yield f'{where} was told {one.answer.status}, and ran'
        if one.kind in ('plan', 'verdict'):
            yield from _stream(one, where)
        elif one.answer.status == OK and one.answer.whole:
            if not one.answer.body.decode().endswith(f':{one.request_id}'):
                yield f'{where} got another body: {one.answer.body!r}'
            if not times:
                yield f'{where} was answered and never ran'
    for name in stage.fleet.doubled:
        if any(one.request_id == name and one.kind == 'plan' for one in told):
            yield f'plan {name} ran at two engines at once'


def _stream(one: load_lib.Told, where: str) -> Iterator[str]:
    if one.answer.status != OK:
        return
    whole = b''.join(
        engine.event(one.request_id, n) for n in range(1, stage_lib.EVENTS + 1)
    )
    if one.answer.whole and one.answer.body != whole:
        yield f'{where} looks whole and is not: {one.answer.body[-80:]!r}'
    if not whole.startswith(one.answer.body):
        yield f'{where} got other events: {one.answer.body[-80:]!r}'


def of_logs(logs: Iterable[tuple[str, str]]) -> Iterator[str]:
    """Yields what the processes wrote that nobody foresaw."""
    for name, text in logs:
        for line in text.splitlines():
            if UNFORESEEN.search(line):
                yield f'{name}: {line[:300]}'
