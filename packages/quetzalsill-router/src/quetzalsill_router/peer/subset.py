"""Selects the upstreams that a router keeps links to.

A full mesh of routers and sidecars is too expensive in a large fleet. Each
router keeps links to a few upstreams of each model, chosen by rendezvous
hashing: routers need no coordination, the upstreams are chosen about equally
often, and adding or removing an upstream changes at most one other choice.
"""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from quetzalsill.config import model

__all__ = ['choose', 'select_upstreams']

# One in this many upstreams of a subset is outside the router's availability
# zone, in case all upstreams of the zone fail together.
REMOTE_PART = 4


def choose(
    node: str, zone: str, zones: Mapping[str, str], size: int
) -> set[str]:
    """Chooses upstreams for a router.

    Most are in the router's own availability zone; the others are spread over
    the other zones. Adding or removing one upstream changes the choice by at
    most that upstream and one other.

    Args:
      node: Name of the router.
      zone: Its availability zone.
      zones: Availability zone of each upstream, by name.
      size: Number of upstreams to choose.
    """
    ranked = sorted(zones, key=lambda name: _score(node, name))
    local = [name for name in ranked if zones[name] == zone]
    remote = list(
        _interleave_zones(
            node, {name: zones[name] for name in ranked if zones[name] != zone}
        )
    )
    spare = max(1, size // REMOTE_PART) if size > 1 else 0
    from_remote = min(len(remote), max(spare, size - len(local)))
    return {*remote[:from_remote], *local[: size - from_remote]}


def select_upstreams(
    node: str, zone: str, cfg: model.Configuration, passive: Collection[str]
) -> set[str]:
    """Returns the names of all upstreams that a router should be linked to.

    Args:
      node: Name of the router.
      zone: Its availability zone.
      cfg: Current configuration.
      passive: Upstreams that accept no new work. They don't count towards
        the size of a subset, but links to them are kept, since they carry
        the configuration.
    """
    chosen: set[str] = set()
    for names in _group_by_target(cfg).values():
        zones = {name: cfg.upstreams[name].availability_zone for name in names}
        active = {
            name: zone for name, zone in zones.items() if name not in passive
        }
        size = cfg.policies.subset
        chosen |= choose(node, zone, active, size)
        chosen |= choose(node, zone, zones, size).intersection(passive)
    return chosen


def _group_by_target(cfg: model.Configuration) -> Mapping[str, list[str]]:
    """Groups upstreams by model or service, or under `''` if without."""
    groups = collections.defaultdict(list)
    for name, upstream in cfg.upstreams.items():
        for target in (*upstream.models, *upstream.services) or ('',):
            groups[target].append(name)
    return groups


def _interleave_zones(node: str, zones: Mapping[str, str]) -> Iterator[str]:
    """Yields upstreams by taking one from each zone in turn."""
    by_zone = collections.defaultdict(list)
    for name, zone in zones.items():
        by_zone[zone].append(name)
    order = sorted(by_zone, key=lambda zone: _score(node, zone))
    rounds = itertools.zip_longest(*(by_zone[zone] for zone in order))
    return filter(None, itertools.chain.from_iterable(rounds))


def _score(node: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{node}\0{name}'.encode()), name
