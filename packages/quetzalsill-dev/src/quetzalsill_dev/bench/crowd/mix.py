"""Mixes of requests: who asks what, how long it is, and when."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['MIXES', 'Ask', 'Kind', 'Mix', 'arrivals', 'greedy']

CHARACTERS_PER_TOKEN = 4
GREED = 10


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """One kind of request.

    Attributes:
      name: Name in the results.
      share: Part of all requests.
      accounts: Client accounts that send it, in turn at random.
      profile: Profile asked for.
      prompt_tokens: Length of its prompt.
      median: Median of its answer's length, in tokens.
      sigma: Spread of the logarithm of the length.
      longest: Longest answer.
    """

    name: str
    share: float
    accounts: tuple[str, ...]
    profile: str
    prompt_tokens: int
    median: float
    sigma: float
    longest: int


@dataclasses.dataclass(slots=True, frozen=True)
class Mix:
    """Traffic of one firm."""

    name: str
    kinds: tuple[Kind, ...]

    @property
    def accounts(self) -> set[str]:
        """All client accounts that send something."""
        return {name for kind in self.kinds for name in kind.accounts}


@dataclasses.dataclass(slots=True)
class Ask:
    """One request of a run.

    Attributes:
      at_s: When it is sent, in seconds from the start.
      kind: What it is.
      account: Who sends it.
      tokens: True length of its answer.
      prompt: Its prompt, which fixes the length for the stand-in.
    """

    at_s: float
    kind: Kind
    account: str
    tokens: int
    prompt: str


DEPOTS = ('lekki-depot', 'surulere-depot', 'yaba-depot')
STUDIOS = ('studio-one', 'studio-two', 'studio-three')
MIXES = {
    'board': Mix(
        'board',
        (
            Kind('slot query', 0.70, ('retailers', 'canteens'), 'prompt',
                 16, 24, 0.6, 256),
            Kind('audit note', 0.18, DEPOTS, 'verdict', 32, 40, 0.7, 400),
            Kind('loading plan', 0.12, DEPOTS, 'patient',
                 120, 260, 1.0, 1500),
        ),
    ),
    'noorani': Mix(
        'noorani',
        (
            Kind('proof', 0.55, ('portals', 'small-portal'), 'prompt',
                 12, 16, 0.5, 128),
            Kind('tag check', 0.25, STUDIOS, 'verdict', 48, 24, 0.6, 200),
            Kind('scene brief', 0.20, STUDIOS, 'patient',
                 80, 220, 1.1, 1500),
        ),
    ),
}  # fmt: skip


def greedy(mix: Mix, rate: float, length_s: float, seed: int) -> list[Ask]:
    """Arrivals in which one account asks ten times its share of prompt work."""
    asks = list(arrivals(mix, rate, length_s, seed))
    prompt = mix.kinds[0]
    large = dataclasses.replace(prompt, accounts=prompt.accounts[:1])
    extra = Mix(mix.name, (large,))
    added = rate * prompt.share / len(prompt.accounts) * (GREED - 1)
    asks += arrivals(extra, added, length_s, seed + 1000)
    return sorted(asks, key=lambda ask: ask.at_s)


def arrivals(
    mix: Mix, rate: float, length_s: float, seed: int
) -> Iterator[Ask]:
    """Yields Poisson arrivals with heavy-tailed lengths.

    Args:
      mix: Which traffic.
      rate: Requests a second.
      length_s: Length of the run in seconds.
      seed: Same seed, same requests.
    """
    rng = random.Random(f'{mix.name}/{seed}')
    at_s = rng.expovariate(rate)
    while at_s < length_s:
        yield _ask(mix, at_s, rng)
        at_s += rng.expovariate(rate)


def _ask(mix: Mix, at_s: float, rng: random.Random) -> Ask:
    weights = [kind.share for kind in mix.kinds]
    (kind,) = rng.choices(mix.kinds, weights)
    drawn = rng.lognormvariate(math.log(kind.median), kind.sigma)
    tokens = min(max(int(drawn), 2), kind.longest)
    unique = f'{rng.getrandbits(32):08x} [[tokens={tokens}]] '
    filler = kind.prompt_tokens * CHARACTERS_PER_TOKEN - len(unique)
    prompt = unique + 'x' * max(0, filler)
    return Ask(at_s, kind, rng.choice(kind.accounts), tokens, prompt)
