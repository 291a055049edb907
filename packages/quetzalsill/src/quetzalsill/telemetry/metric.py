"""Metrics of this process, in one registry."""

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
    """Returns the counter of this name: `inc(labels)`, `add(labels, n)`."""
    return _get(aioprometheus.Counter, name, doc)


def gauge(name: str, doc: str) -> aioprometheus.Gauge:
    """Returns the gauge of this name: `set(labels, value)`."""
    return _get(aioprometheus.Gauge, name, doc)


def histogram(
    name: str, doc: str, buckets: Sequence[float] = SECONDS
) -> aioprometheus.Histogram:
    """Returns the histogram of this name: `observe(labels, value)`.

    Args:
      name: Name, with its unit at the end (`_seconds`, `_tokens`).
      doc: One sentence for operators.
      buckets: Upper bounds, ascending, with infinity at the end.
    """
    return _get(aioprometheus.Histogram, name, doc, buckets=buckets)


def render() -> bytes:
    """Returns all metrics in the text form of Prometheus."""
    return formats.text.TextFormatter().marshall(_registry)


def _get(
    cls: type[Collector], name: str, doc: str, **extra: Sequence[float]
) -> Collector:
    known = _registry.collectors.get(name)
    if isinstance(known, cls):
        return known
    return cls(name, doc, registry=_registry, **extra)
