"""Works the measured slopes out to the target size.

Every figure is a slope times a size, or a sum of such; docs/CAPACITY.md says
what each rests on and what it means.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_dev.bench.capacity import size

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from quetzalsill_dev.bench.capacity import series

__all__ = ['Figure', 'lines', 'work_out']

TARGET, BUDGET = size.TARGET, size.BUDGET
ROUTER_REQUESTS = TARGET.requests_per_s / TARGET.routers
ROUTER_TOKENS = TARGET.tokens_per_s / TARGET.routers
SIDECAR_REQUESTS = TARGET.requests_per_s / TARGET.upstreams
SIDECAR_TOKENS = TARGET.tokens_per_s / TARGET.upstreams
TOKEN_S = 0.043
FOLLOW_S = 1.0
HEAD_READ_BYTES = 500
SCAN_BYTES_PER_S = 1500
SIDECARS_PER_ROUTER = TARGET.upstreams / TARGET.routers


@dataclasses.dataclass(slots=True, frozen=True)
class Figure:
    """A figure at the target size.

    Attributes:
      role: `router`, `sidecar` or `platform`.
      name: What it is.
      value: Its value.
      unit: Its unit.
      limit: What it may be; None if nobody set a bound.
    """

    role: str
    name: str
    value: float
    unit: str
    limit: float | None = None


def work_out(found: Mapping[str, series.Series]) -> Iterator[Figure]:
    """Gives the figures of all roles from the series of a whole run."""
    yield from _router(found)
    yield from _sidecar(found)
    yield from _platform(found)


def lines(figures: Iterable[Figure]) -> Iterator[str]:
    """Gives the figures as a table in Markdown."""
    yield '| role | figure | at the target | limit | |'
    yield '|---|---|---|---|---|'
    for each in figures:
        limit = '' if each.limit is None else f'{each.limit:.4g}'
        met = each.limit is None or each.value <= each.limit
        verdict = '' if met else f'**missed, x{each.value / each.limit:.2g}**'
        yield (
            f'| {each.role} | {each.name} | {each.value:.4g} {each.unit} '
            f'| {limit} | {verdict} |'
        )


def _router(found: Mapping[str, series.Series]) -> Iterator[Figure]:
    role = 'router'
    work = found['throughput.router per request']
    yield Figure(
        role,
        'requests and tokens',
        ROUTER_REQUESTS * work.base + ROUTER_TOKENS * work.slope,
        'cores',
        1.0,
    )
    streams = ROUTER_TOKENS * TOKEN_S
    memory = found['throughput.router resident']
    held = found['links.router idle resident'].slope * size.ROUTER_LINKS
    control = found['links.router idle resident'].base + held + _config(found)
    yield Figure(
        role, 'memory of control', control, 'bytes', BUDGET.memory_bytes
    )
    yield Figure(role, 'memory of streams', streams * memory.slope, 'bytes')
    rest = found['links.router idle core'].at(size.ROUTER_LINKS)
    hosts = _at(found, 'store.host list read core') / _at(
        found, 'store.host list interval'
    )
    cost = rest + hosts + _install(found)
    yield Figure(role, 'control', cost, 'cores', BUDGET.core)
    yield from _sum(
        role,
        [
            (
                'links at rest',
                found['links.router idle wire'].at(size.ROUTER_LINKS),
            ),
            ('host list', _hosts_bytes(found)),
            ('head of the configuration', HEAD_READ_BYTES / FOLLOW_S),
            ('scan of the routers', SCAN_BYTES_PER_S),
            ('edits, read from the store', _edit_bytes(found)),
            (
                'edits, given to sidecars',
                _edit_bytes(found) * SIDECARS_PER_ROUTER,
            ),
        ],
    )


def _sidecar(found: Mapping[str, series.Series]) -> Iterator[Figure]:
    role = 'sidecar'
    work = found['throughput.sidecar per request']
    yield Figure(
        role,
        'requests and tokens',
        SIDECAR_REQUESTS * work.base + SIDECAR_TOKENS * work.slope,
        'cores',
        1.0,
    )
    links = found['links.sidecar idle resident']
    control = links.at(size.SIDECAR_LINKS) + _config(found)
    yield Figure(
        role, 'memory of control', control, 'bytes', BUDGET.memory_bytes
    )
    streams = SIDECAR_TOKENS * TOKEN_S
    memory = found['throughput.sidecar resident'].slope * streams
    yield Figure(role, 'memory of streams', memory, 'bytes')
    rest = found['links.sidecar idle core'].at(size.SIDECAR_LINKS)
    yield Figure(role, 'control', rest + _install(found), 'cores', BUDGET.core)
    yield from _sum(
        role,
        [
            (
                'links at rest',
                found['links.sidecar idle wire'].at(size.SIDECAR_LINKS),
            ),
            ('edits', _edit_bytes(found)),
        ],
    )


def _platform(found: Mapping[str, series.Series]) -> Iterator[Figure]:
    beat = _last(found, 'store.heartbeat interval')
    scan = max(beat, TARGET.routers * 250 / SCAN_BYTES_PER_S)
    reads = TARGET.routers * (1 / FOLLOW_S + 1 / beat + 1 / scan)
    yield Figure('platform', 'reads at rest', reads, '1/s', 2000)
    writes = TARGET.routers / beat
    yield Figure('platform', 'writes at rest', writes, '1/s', 350)
    yield Figure(
        'platform',
        'wait for a journal write',
        _last(found, 'store.journal interval'),
        's',
    )
    whole = found['edits.median time, whole document'].points[0][1]
    yield Figure('platform', 'edit in force', whole, 's', BUDGET.edit_s)


def _sum(role: str, parts: list[tuple[str, float]]) -> Iterator[Figure]:
    for name, value in parts:
        yield Figure(role, f'control, {name}', value, 'bytes/s')
    total = sum(value for _, value in parts)
    yield Figure(role, 'control, in all', total, 'bytes/s', BUDGET.bytes_per_s)


def _config(found: Mapping[str, series.Series]) -> float:
    names = ('configuration.memory, whole', 'configuration.document, whole')
    return sum(found[name].base for name in names)


def _install(found: Mapping[str, series.Series]) -> float:
    return found['configuration.install, whole'].base * TARGET.edits_per_s


def _edit_bytes(found: Mapping[str, series.Series]) -> float:
    document = found['edits.bytes to a sidecar, whole document'].points[0][1]
    return document * TARGET.edits_per_s


def _hosts_bytes(found: Mapping[str, series.Series]) -> float:
    read = _at(found, 'store.host list read')
    return read / _at(found, 'store.host list interval')


def _at(found: Mapping[str, series.Series], name: str) -> float:
    """Value at the largest size measured, which is the target's."""
    return max(found[name].points)[1]


def _last(found: Mapping[str, series.Series], name: str) -> float:
    return found[name].points[-1][1]
