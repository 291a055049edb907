"""What callers ask: the two firms' mixes, with orders and keys."""

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

__all__ = ['KINDS', 'ORDER', 'Ask', 'Kind', 'arrivals', 'configuration']

ORDER = 'order'
# Part of all requests that are orders of the plain service.
ORDERS = 0.15


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """One kind of request.

    Attributes:
      name: Name in the results.
      profile: Profile asked for; empty for an order.
      once: It may not run twice.
      durable: It is accepted first, and its answer fetched later.
      keyed: Part of them that carry an idempotency key, so that their
        callers may repeat them.
    """

    name: str
    profile: str
    once: bool = False
    durable: bool = False
    keyed: float = 0.5


@dataclasses.dataclass(slots=True)
class Ask:
    """One request of a run.

    Attributes:
      at_s: When it is sent, in seconds from the start.
      kind: What it is.
      name: Its name, unique in the run; the id of an order.
      prompt: Its prompt, unique too; empty for an order.
      tokens: Length of its answer; 0 for an order.
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
) -> Iterator[Ask]:
    """Yields a firm's generations and orders, in the order of their times.

    Args:
      mix: Name of the mix of `bench.crowd`.
      rate: Requests a second.
      length_s: Length of the run, in seconds.
      seed: Same seed, same requests.
    """
    rng = random.Random(f'{mix}/{seed}')
    asks = crowd_mix.arrivals(
        crowd_mix.MIXES[mix], rate * (1 - ORDERS), length_s, seed
    )
    generations = (
        _ask(rng, asked.at_s, KINDS[asked.kind.name], asked) for asked in asks
    )
    orders = _orders(rng, rate * ORDERS, length_s)
    yield from heapq.merge(generations, orders, key=lambda ask: ask.at_s)


def _orders(rng: random.Random, rate: float, length_s: float) -> Iterator[Ask]:
    at_s = rng.expovariate(rate)
    while at_s < length_s:
        yield _ask(rng, at_s, KINDS[ORDER])
        at_s += rng.expovariate(rate)


def _ask(
    rng: random.Random,
    at_s: float,
    kind: Kind,
    generation: crowd_mix.Request | None = None,
) -> Ask:
    name = f'{kind.name.replace(" ", "-")}-{rng.getrandbits(48):012x}'
    key = name if rng.random() < kind.keyed else ''
    if generation is None:
        return Ask(at_s, kind, name, '', 0, key)
    prompt = f'{name} {generation.prompt}'
    return Ask(at_s, kind, name, prompt, generation.tokens, key)


def configuration() -> model.Configuration:
    """The Board's configuration, with profiles for what may not run twice."""
    cfg = board.configuration()
    cfg.profiles['tag'] = model.Profile(idempotent=False, priority=4)
    cfg.profiles['brief'] = model.Profile(
        idempotent=False, durable=True, delivery='whole', deadline_s=3600.0
    )
    return cfg
