"""Links at the target size, computed with the router's own subset choice."""

from __future__ import annotations

import collections
import statistics
import time
from typing import TYPE_CHECKING

from quetzalsill_dev.bench.capacity import fleet, series, size
from quetzalsill_router.peer import subset

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from quetzalsill.config import model

    Links = dict[str, set[str]]

__all__ = ['measure']

SUBSET_SIZES = (4, 8, 16)
LOST_ZONES = fleet.ZONES[:1]
LOST_REGION = fleet.ZONES[:3]


def measure() -> Iterator[series.Series]:
    """Counts links by subset size, with all zones and with a zone lost."""
    upstreams = fleet.fleet()
    cfg = fleet.configuration(0, upstreams)
    parts = {
        name: series.Series(f'subset.{name}', unit, 'subset', linear=False)
        for name, unit in (
            ('links per router', 'links'),
            ('links per router at most', 'links'),
            ('links per sidecar', 'links'),
            ('links per sidecar at most', 'links'),
            ('sidecars without a link', 'sidecars'),
            ('links in the own zone', '1'),
            ('least upstreams of a model, own zone lost', 'upstreams'),
            ('least upstreams of a model, a region lost', 'upstreams'),
            ('links moved when a zone is lost', '1'),
            ('links moved when one server is lost', 'links'),
            ('time to choose', 's of a core'),
        )
    }
    for subset_size in SUBSET_SIZES:
        cfg.policies.subset = subset_size
        for name, value in _count(cfg, upstreams):
            parts[name].add(subset_size, value)
    yield from parts.values()


def _count(
    cfg: model.Configuration, upstreams: dict[str, model.Upstream]
) -> Iterator[tuple[str, float]]:
    began = time.process_time()
    links = _choose_links(cfg, ())
    yield 'time to choose', (time.process_time() - began) / len(links)
    counts = [len(chosen) for chosen in links.values()]
    yield 'links per router', statistics.fmean(counts)
    yield 'links per router at most', max(counts)
    sidecar_links = collections.Counter(
        name for chosen in links.values() for name in chosen
    )
    yield 'links per sidecar', sum(counts) / len(upstreams)
    yield 'links per sidecar at most', max(sidecar_links.values())
    yield (
        'sidecars without a link',
        len(upstreams.keys() - sidecar_links.keys()),
    )
    yield 'links in the own zone', _local_fraction(links, upstreams)
    for name, lost in (
        ('own zone', LOST_ZONES),
        ('a region', LOST_REGION),
    ):
        key = f'least upstreams of a model, {name} lost'
        yield key, _fewest_left(links, upstreams, lost)
    yield from _count_moved(cfg, upstreams, links)


def _choose_links(cfg: model.Configuration, passive: Iterable[str]) -> Links:
    """Chooses the upstreams of every router."""
    passive = set(passive)
    return {
        node: subset.select_upstreams(node, zone, cfg, passive) - passive
        for node, zone in _routers()
    }


def _routers() -> Iterator[tuple[str, str]]:
    for number in range(size.TARGET.routers):
        yield f'entry-{number:03d}', fleet.ZONES[number % len(fleet.ZONES)]


def _local_fraction(
    links: Links, upstreams: dict[str, model.Upstream]
) -> float:
    local = sum(
        upstreams[name].availability_zone == zone
        for node, zone in _routers()
        for name in links[node]
    )
    return local / sum(map(len, links.values()))


def _fewest_left(
    links: Links,
    upstreams: dict[str, model.Upstream],
    lost: tuple[str, ...],
) -> int:
    """Returns the fewest upstreams of a model that a router has left.

    The routers of the first lost zone are assumed to be alive but disconnected
    from the upstreams there, which is their worst case.
    """
    left = []
    for node, zone in _routers():
        if zone != lost[0]:
            continue
        models = collections.Counter(
            upstreams[name].models[0]
            for name in links[node]
            if upstreams[name].availability_zone not in lost
        )
        left.append(min(models[name] for name in fleet.MODELS))
    return min(left)


def _count_moved(
    cfg: model.Configuration,
    upstreams: dict[str, model.Upstream],
    links: Links,
) -> Iterator[tuple[str, float]]:
    lost = {
        name
        for name, spec in upstreams.items()
        if spec.availability_zone in LOST_ZONES
    }
    after = _choose_links(cfg, lost)
    new = sum(len(after[node] - links[node]) for node in links)
    yield 'links moved when a zone is lost', new / sum(map(len, links.values()))
    first = min(upstreams)
    after = _choose_links(cfg, {first})
    new = sum(len(after[node] - links[node]) for node in links)
    yield 'links moved when one server is lost', new
