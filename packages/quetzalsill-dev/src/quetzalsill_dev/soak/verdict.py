"""What must hold, whatever was done: judged by callers and servers alone."""

from __future__ import annotations

import collections
import re
import statistics
from typing import TYPE_CHECKING

from quetzalsill_dev.soak import stage as stage_lib
from quetzalsill_dev.users_platform import engine

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from quetzalsill_dev.soak import load as load_lib

__all__ = [
    'broken',
    'is_above_chance',
    'known_upstreams',
    'of_logs',
    'stepped_back',
]

NOT_RUN = (408, 421, 429, 503)
ONCE = ('unsafe', 'plan')
OK = 200
NOT_FOUND = 404
# A request that is sent this long after another was answered is handled by the
# same process behind it.
BEHIND_S = 0.25
# Standard errors above which a mean is not by chance.
SIGMAS = 3.0
FEWEST_PAIRS = 5
# What a process writes when it takes an entry in, or drops it.
ENTRY = re.compile(r'event=upstream_(added|removed) .*?\bupstream=(\S+)')
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


def stepped_back(told: Iterable[load_lib.Told]) -> Iterator[str]:
    """Yields where a process serves an older configuration than before.

    A route that was served shows that its version is in force; from then on,
    that process knows the route, and no key of versions before.
    """
    asked = [one for one in told if one.version and one.incarnation]
    shown = [
        (one.ended_s + BEHIND_S, 0, one)
        for one in asked
        if one.kind == 'edit' and one.answer.status == OK
    ]
    sent = [(one.sent_s, 1, one) for one in asked]
    in_force: dict[tuple[str, int], int] = {}
    for _, is_sent, one in sorted(shown + sent, key=lambda at: at[:2]):
        process = (one.gateway, one.incarnation)
        newest = in_force.get(process, 0)
        if not is_sent:
            in_force[process] = max(newest, one.version)
        elif _is_of_before(one, newest):
            yield (
                f'{one.kind} {one.request_id} of version {one.version} got '
                f'{one.answer.status} at {one.gateway}, behind {newest}'
            )


def _is_of_before(one: load_lib.Told, newest: int) -> bool:
    """Whether only a configuration before a version handles it so."""
    if one.kind == 'edit':
        return one.answer.status == NOT_FOUND and one.version <= newest
    return one.answer.status == OK and one.version < newest


def is_above_chance(differences: Sequence[float]) -> bool:
    """Whether the mean of differences between pairs is above zero for sure.

    Faults that meet requests at other moments lose a few more or fewer; few
    pairs show nothing.
    """
    if len(differences) < FEWEST_PAIRS:
        return False
    error = statistics.stdev(differences) / len(differences) ** 0.5
    return statistics.fmean(differences) > SIGMAS * error


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


def known_upstreams(text: str) -> set[str]:
    """Returns the upstreams that a process knows, by what it wrote.

    Callers hardly see that one is missing, or is there that has ended: others
    serve them.
    """
    known: set[str] = set()
    for done, name in ENTRY.findall(text):
        if done == 'added':
            known.add(name)
        else:
            known.discard(name)
    return known
