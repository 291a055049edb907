"""Metrics of this process, in a single registry."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import aioprometheus
from aioprometheus import collectors, formats

__all__ = ['CONTENT_TYPE', 'counter', 'gauge', 'histogram', 'render']

Collector = TypeVar('Collector', bound=collectors.Collector)

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
SECONDS = (0.001, 0.005, 0.02, 0.1, 0.5, 1, 2, 5, 10, 30, 120, float('inf'))

_registry = aioprometheus.Registry()


def counter(name: str, doc: str) -> aioprometheus.Counter:
    """Returns the named counter: `inc(labels)`, `add(labels, n)`."""
    return _get(aioprometheus.Counter, name, doc)


def gauge(name: str, doc: str) -> aioprometheus.Gauge:
    """Returns the named gauge: `set(labels, value)`."""
    return _get(aioprometheus.Gauge, name, doc)


def histogram(
    name: str, doc: str, buckets: Sequence[float] = SECONDS
) -> aioprometheus.Histogram:
    """Returns the named histogram: `observe(labels, value)`.

    Args:
      name: Name, ending in its unit (`_seconds`, `_tokens`).
      doc: Help text, one sentence.
      buckets: Upper bounds in ascending order, ending in infinity.
    """
    return _get(aioprometheus.Histogram, name, doc, buckets=buckets)


def render() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return formats.text.TextFormatter().marshall(_registry)


def _get(
    cls: type[Collector], name: str, doc: str, **extra: Sequence[float]
) -> Collector:
    known = _registry.collectors.get(name)
    if isinstance(known, cls):
        return known
    return cls(name, doc, registry=_registry, **extra)
