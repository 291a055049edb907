"""Measures the cost of a revision, by accounts and by upstreams."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING

from quetzalsill.config import document, holder, reference
from quetzalsill.telemetry import log
from quetzalsill_dev.bench.capacity import fleet, series, size
from quetzalsill_router.peer import subset

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from quetzalsill.config import model

__all__ = ['measure']

ACCOUNTS = (10, 100, 500, 1500, 3500)
UPSTREAMS = (10, 100, 400, 1400)
REPEATS = 5
FIGURES = (
    ('document', 'bytes'),
    ('parse', 's of a core'),
    ('check references', 's of a core'),
    ('install', 's of a core'),
    ('render', 's of a core'),
    ('choose links', 's of a core'),
    ('memory', 'bytes'),
)


def measure() -> Iterator[series.Series]:
    """Measures documents with more accounts, then with more upstreams."""
    log.configure('error')
    for by, sizes in (('accounts', ACCOUNTS), ('upstreams', UPSTREAMS)):
        found = {
            name: series.Series(f'configuration.{name} by {by}', unit, by)
            for name, unit in FIGURES
        }
        for count in sizes:
            counts = {'accounts': 0, 'upstreams': 0} | {by: count}
            cfg = fleet.configuration(
                counts['accounts'], fleet.fleet(counts['upstreams'])
            )
            for name, value in _measure_figures(cfg):
                found[name].add(count, value)
        yield from found.values()
    yield from _measure_full_size()


def _measure_full_size() -> Iterator[series.Series]:
    """Measures a document of the target size, as a check on the slopes."""
    cfg = fleet.configuration(size.TARGET.accounts, fleet.fleet())
    units = dict(FIGURES)
    for name, value in _measure_figures(cfg):
        found = series.Series(
            f'configuration.{name}, whole', units[name], 'documents'
        )
        found.add(1, value)
        yield found


def _measure_figures(cfg: model.Configuration) -> Iterator[tuple[str, float]]:
    data = document.render(cfg)
    yield 'document', len(data)
    yield 'parse', _min_core_s(lambda: document.parse(data, 1))
    yield (
        'check references',
        _min_core_s(lambda: reference.check_references(cfg)),
    )
    yield 'install', _min_core_s(lambda: holder.Holder().install(data, 1))
    yield 'render', _min_core_s(lambda: document.render(cfg))
    zone = fleet.ZONES[0]
    yield (
        'choose links',
        _min_core_s(
            lambda: subset.select_upstreams('entry-000', zone, cfg, ())
        ),
    )
    yield 'memory', _allocated_bytes(data)


def _min_core_s(work: Callable[[], object]) -> float:
    """Returns the least processor time of several runs, the least disturbed."""
    return min(_measure_core_s(work) for _ in range(REPEATS))


def _measure_core_s(work: Callable[[], object]) -> float:
    began = time.process_time()
    work()
    return time.process_time() - began


def _allocated_bytes(data: bytes) -> float:
    """Returns the memory that an active configuration occupies."""
    gc.collect()
    tracemalloc.start()
    try:
        config_holder = holder.Holder()
        config_holder.install(bytearray(data).decode().encode(), 1)
        gc.collect()
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
