"""Traffic of the callers: the request mixes, with orders and keys."""

from __future__ import annotations

import dataclasses
import heapq
import random
from typing import TYPE_CHECKING

from quetzalsill.config import model
from quetzalsill_dev import board
from quetzalsill_dev.bench.crowd import mix as crowd_mix

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['KINDS', 'ORDER', 'Kind', 'Request', 'arrivals', 'configuration']

ORDER = 'order'
# Fraction of all requests that are orders to the plain service.
ORDER_SHARE = 0.15


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """One kind of request.

    Attributes:
      name: Name in the results.
      profile: Requested profile; empty for an order.
      once: Whether it must not run twice.
      durable: Whether it is accepted first and its answer polled later.
      keyed: Fraction that has an idempotency key, so that callers may
        repeat them.
    """

    name: str
    profile: str
    once: bool = False
    durable: bool = False
    keyed: float = 0.5


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a run.

    Attributes:
      at_s: When it is sent, in seconds from the start.
      kind: Kind of request.
      name: Name, unique in the run; the id of an order.
      prompt: Prompt, unique in the run; empty for an order.
      tokens: Length of the answer; 0 for an order.
      key: Idempotency key; empty for none.
    """

    at_s: float
    kind: Kind
    name: str
    prompt: str
    tokens: int
    key: str


KINDS = {
    kind.name: kind
    for kind in (
        Kind('slot query', 'prompt', keyed=0),
        Kind('audit note', 'verdict'),
        Kind('loading plan', 'patient', durable=True),
        Kind('proof', 'prompt', keyed=0),
        Kind('tag check', 'tag', once=True),
        Kind('scene brief', 'brief', once=True, durable=True),
        Kind(ORDER, '', once=True),
    )
}


def arrivals(
    mix: str, rate: float, length_s: float, seed: int
) -> Iterator[Request]:
    """Yields the generations and orders of a mix, in the order of their times.

    Args:
      mix: Name of the mix of `bench.crowd`.
      rate: Requests per second.
      length_s: Length of the run, in seconds.
      seed: The same seed yields the same requests.
    """
    rng = random.Random(f'{mix}/{seed}')
    sources = crowd_mix.arrivals(
        crowd_mix.MIXES[mix], rate * (1 - ORDER_SHARE), length_s, seed
    )
    generations = (
        _make_request(rng, source.at_s, KINDS[source.kind.name], source)
        for source in sources
    )
    orders = _orders(rng, rate * ORDER_SHARE, length_s)
    yield from heapq.merge(
        generations, orders, key=lambda request: request.at_s
    )


def _orders(
    rng: random.Random, rate: float, length_s: float
) -> Iterator[Request]:
    at_s = rng.expovariate(rate)
    while at_s < length_s:
        yield _make_request(rng, at_s, KINDS[ORDER])
        at_s += rng.expovariate(rate)


def _make_request(
    rng: random.Random,
    at_s: float,
    kind: Kind,
    generation: crowd_mix.Request | None = None,
) -> Request:
    name = f'{kind.name.replace(" ", "-")}-{rng.getrandbits(48):012x}'
    key = name if rng.random() < kind.keyed else ''
    if generation is None:
        return Request(at_s, kind, name, '', 0, key)
    prompt = f'{name} {generation.prompt}'
    return Request(at_s, kind, name, prompt, generation.tokens, key)


def configuration() -> model.Configuration:
    """Returns the Board's configuration, with profiles that forbid reruns."""
    cfg = board.configuration()
    cfg.profiles['tag'] = model.Profile(idempotent=False, priority=4)
    cfg.profiles['brief'] = model.Profile(
        idempotent=False, durable=True, delivery='whole', deadline_s=3600.0
    )
    return cfg
