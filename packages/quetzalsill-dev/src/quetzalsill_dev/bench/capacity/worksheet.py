"""Extrapolates the measured slopes to the target size.

Every figure is a slope times a size, or a sum of such products;
docs/CAPACITY.md explains the basis and the meaning of each.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_dev.bench.capacity import size

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from quetzalsill_dev.bench.capacity import series

__all__ = ['Figure', 'extrapolate', 'lines']

TARGET, BUDGET = size.TARGET, size.BUDGET
ROUTER_REQUESTS = TARGET.requests_per_s / TARGET.routers
ROUTER_TOKENS = TARGET.tokens_per_s / TARGET.routers
SIDECAR_REQUESTS = TARGET.requests_per_s / TARGET.upstreams
SIDECAR_TOKENS = TARGET.tokens_per_s / TARGET.upstreams
TOKEN_S = 0.043
POLL_INTERVAL_S = 1.0
HEAD_READ_BYTES = 500
SCAN_BYTES_PER_S = 1500
SIDECARS_PER_ROUTER = TARGET.upstreams / TARGET.routers


@dataclasses.dataclass(slots=True, frozen=True)
class Figure:
    """A figure at the target size.

    Attributes:
      role: `router`, `sidecar` or `platform`.
      name: Name in the table.
      value: Its value.
      unit: Its unit.
      limit: Upper limit; None if there is none.
    """

    role: str
    name: str
    value: float
    unit: str
    limit: float | None = None


def extrapolate(found: Mapping[str, series.Series]) -> Iterator[Figure]:
    """Yields the figures of all roles from the series of a full run."""
    yield from _router(found)
    yield from _sidecar(found)
    yield from _platform(found)


def lines(figures: Iterable[Figure]) -> Iterator[str]:
    """Yields the figures as a Markdown table."""
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
    link_memory = found['links.router idle resident'].slope * size.ROUTER_LINKS
    control = (
        found['links.router idle resident'].base
        + link_memory
        + _config_bytes(found)
    )
    yield Figure(
        role, 'memory of control', control, 'bytes', BUDGET.memory_bytes
    )
    yield Figure(role, 'memory of streams', streams * memory.slope, 'bytes')
    idle = found['links.router idle core'].at(size.ROUTER_LINKS)
    hosts = _value_at_target(
        found, 'store.host list read core'
    ) / _value_at_target(found, 'store.host list interval')
    cost = idle + hosts + _install_core(found)
    yield Figure(role, 'control', cost, 'cores', BUDGET.core)
    yield from _sum_figures(
        role,
        [
            (
                'links at rest',
                found['links.router idle wire'].at(size.ROUTER_LINKS),
            ),
            ('host list', _host_list_bytes_per_s(found)),
            ('head of the configuration', HEAD_READ_BYTES / POLL_INTERVAL_S),
            ('scan of the routers', SCAN_BYTES_PER_S),
            ('edits, read from the store', _edit_bytes_per_s(found)),
            (
                'edits, given to sidecars',
                _edit_bytes_per_s(found) * SIDECARS_PER_ROUTER,
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
    control = links.at(size.SIDECAR_LINKS) + _config_bytes(found)
    yield Figure(
        role, 'memory of control', control, 'bytes', BUDGET.memory_bytes
    )
    streams = SIDECAR_TOKENS * TOKEN_S
    memory = found['throughput.sidecar resident'].slope * streams
    yield Figure(role, 'memory of streams', memory, 'bytes')
    idle = found['links.sidecar idle core'].at(size.SIDECAR_LINKS)
    yield Figure(
        role, 'control', idle + _install_core(found), 'cores', BUDGET.core
    )
    yield from _sum_figures(
        role,
        [
            (
                'links at rest',
                found['links.sidecar idle wire'].at(size.SIDECAR_LINKS),
            ),
            ('edits', _edit_bytes_per_s(found)),
        ],
    )


def _platform(found: Mapping[str, series.Series]) -> Iterator[Figure]:
    heartbeat_s = _last_value(found, 'store.heartbeat interval')
    scan_s = max(heartbeat_s, TARGET.routers * 250 / SCAN_BYTES_PER_S)
    reads = TARGET.routers * (
        1 / POLL_INTERVAL_S + 1 / heartbeat_s + 1 / scan_s
    )
    yield Figure('platform', 'reads at rest', reads, '1/s', 2000)
    writes = TARGET.routers / heartbeat_s
    yield Figure('platform', 'writes at rest', writes, '1/s', 350)
    yield Figure(
        'platform',
        'wait for a journal write',
        _last_value(found, 'store.journal interval'),
        's',
    )
    edit_s = found['edits.median time, whole document'].points[0][1]
    yield Figure('platform', 'edit in force', edit_s, 's', BUDGET.edit_s)


def _sum_figures(role: str, parts: list[tuple[str, float]]) -> Iterator[Figure]:
    for name, value in parts:
        yield Figure(role, f'control, {name}', value, 'bytes/s')
    total = sum(value for _, value in parts)
    yield Figure(role, 'control, in all', total, 'bytes/s', BUDGET.bytes_per_s)


def _config_bytes(found: Mapping[str, series.Series]) -> float:
    names = ('configuration.memory, whole', 'configuration.document, whole')
    return sum(found[name].base for name in names)


def _install_core(found: Mapping[str, series.Series]) -> float:
    return found['configuration.install, whole'].base * TARGET.edits_per_s


def _edit_bytes_per_s(found: Mapping[str, series.Series]) -> float:
    document = found['edits.bytes to a sidecar, whole document'].points[0][1]
    return document * TARGET.edits_per_s


def _host_list_bytes_per_s(found: Mapping[str, series.Series]) -> float:
    read = _value_at_target(found, 'store.host list read')
    return read / _value_at_target(found, 'store.host list interval')


def _value_at_target(found: Mapping[str, series.Series], name: str) -> float:
    """Returns the value at the largest measured size, the target size."""
    return max(found[name].points)[1]


def _last_value(found: Mapping[str, series.Series], name: str) -> float:
    return found[name].points[-1][1]
